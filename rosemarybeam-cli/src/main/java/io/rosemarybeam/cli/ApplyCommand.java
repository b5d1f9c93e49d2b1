package io.rosemarybeam.cli;

import java.nio.file.Path;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

import io.rosemarybeam.common.configuration.ConfigurationParser.Result;
import io.rosemarybeam.common.error.ConfigurationException;
import io.rosemarybeam.common.error.ControlException;
import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.error.SettingsException;
import io.rosemarybeam.common.id.HostName;
import io.rosemarybeam.common.wire.ControlReply.ApplyOutcome;
import io.rosemarybeam.common.wire.ControlReply.ApplyReply;
import io.rosemarybeam.common.wire.Message;
import io.rosemarybeam.common.wire.OperatorRequest.ApplyConfiguration;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Applies an operator configuration. Fields are set by args4j. Confined to the main thread. */
final class ApplyCommand extends ControlCommand {
    private static final int MAXIMUM_WAIT_SECONDS = 3_600;

    @Argument(metaVar = "FILE", required = true, usage = "operator text")
    private Path file;

    @Option(
            name = "--wait",
            metaVar = "SECONDS",
            usage = "wait until every entry host with a live lease acts on the text")
    private int waitSeconds;

    @Override
    String description() {
        return "Applies an operator text. Sending the same text again is safe and reports the first outcome. "
                + "With --wait, ends with 1 if the text is accepted but not in force in time.";
    }

    @Override
    ExitCode run(Console console) {
        if (waitSeconds < 0 || waitSeconds > MAXIMUM_WAIT_SECONDS) {
            throw new SettingsException(
                    ErrorCode.USAGE,
                    "--wait must be from 0 to " + MAXIMUM_WAIT_SECONDS + " seconds, is " + waitSeconds);
        }
        ConfigurationFile read = ConfigurationFile.read(file);
        if (read.result() instanceof Result.Invalid invalid) {
            return read.printProblems(console, invalid.problems(), json());
        }
        Duration wait = Duration.ofSeconds(waitSeconds);
        long deadlineNanoseconds = System.nanoTime() + wait.toNanos();
        try (ControlClient client = client()) {
            Message reply = client.ask(() -> request(read.text(), deadlineNanoseconds), wait);
            if (!(reply instanceof ApplyReply applied)) {
                throw new ControlException(ErrorCode.INTERNAL, "unexpected answer " + reply);
            }
            return json() ? reportJson(console, applied) : report(console, applied);
        }
    }

    private static ApplyConfiguration request(String text, long deadlineNanoseconds) {
        long remaining = Math.max(
                0, Duration.ofNanos(deadlineNanoseconds - System.nanoTime()).toMillis());
        return new ApplyConfiguration(text, ControlClient.operatorName(), remaining);
    }

    private ExitCode exitCode(ApplyReply reply) {
        return switch (reply.outcome()) {
            case ACCEPTED, RESENT -> waitSeconds > 0 && !reply.inForce() ? ExitCode.REFUSED : ExitCode.SUCCESS;
            case CONFLICT -> ExitCode.CONFLICT;
            case NUMBER_TOO_LOW -> ExitCode.REFUSED;
            case INVALID -> ExitCode.USAGE;
        };
    }

    private ExitCode report(Console console, ApplyReply reply) {
        long number = reply.number();
        switch (reply.outcome()) {
            case ACCEPTED, RESENT -> {
                String resentNote = reply.outcome() == ApplyOutcome.RESENT ? " (it was accepted before)" : "";
                console.print("accepted: number " + number + resentNote);
                console.print("in force: " + inForce(reply));
            }
            case CONFLICT -> {
                console.printFailure(
                        new ConfigurationException(
                                ErrorCode.CONFIGURATION_CONFLICT,
                                "another text was accepted under number " + number + "; it follows"),
                        false);
                reply.winner().ifPresent(console::printText);
            }
            case NUMBER_TOO_LOW ->
                console.printFailure(
                        new ConfigurationException(
                                ErrorCode.CONFIGURATION_NUMBER_TOO_LOW,
                                "number " + number + " is lower than the accepted one and was never accepted; "
                                        + "choose a number above the first line of \"rosemarybeam history\""),
                        false);
            case INVALID ->
                console.printFailure(
                        new ConfigurationException(
                                ErrorCode.CONFIGURATION_INVALID, String.join("\n", reply.problems())),
                        false);
            default -> throw new IllegalStateException("outcome " + reply.outcome());
        }
        return exitCode(reply);
    }

    private String inForce(ApplyReply reply) {
        if (reply.inForce()) {
            return "yes";
        }
        if (reply.pendingEntries().isEmpty()) {
            return "not yet";
        }
        return "not yet; waiting for "
                + reply.pendingEntries().stream().map(HostName::value).collect(Collectors.joining(", "));
    }

    private ExitCode reportJson(Console console, ApplyReply reply) {
        Map<String, Object> report = new LinkedHashMap<>();
        report.put("outcome", reply.outcome().name().toLowerCase(Locale.ROOT).replace('_', '-'));
        report.put("number", reply.number());
        report.put("inForce", reply.inForce());
        report.put(
                "pendingEntries",
                reply.pendingEntries().stream().map(HostName::value).toList());
        report.put("problems", List.copyOf(reply.problems()));
        reply.winner().ifPresent(winner -> report.put("winner", winner));
        console.printJson(report);
        return exitCode(reply);
    }
}
