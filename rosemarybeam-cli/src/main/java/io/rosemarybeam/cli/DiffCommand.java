package io.rosemarybeam.cli;

import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;

import io.rosemarybeam.common.configuration.ConfigurationParser;
import io.rosemarybeam.common.configuration.ConfigurationParser.Result;
import io.rosemarybeam.common.configuration.OperatorConfiguration;
import io.rosemarybeam.common.error.ControlException;
import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.wire.ControlReply.ConfigurationReply;
import io.rosemarybeam.common.wire.ControlReply.ConfigurationText;
import io.rosemarybeam.common.wire.Message;
import io.rosemarybeam.common.wire.OperatorRequest.ReadConfiguration;
import org.kohsuke.args4j.Argument;

/** Compares an operator configuration with the accepted one. Fields are set by args4j. Confined to the main thread. */
final class DiffCommand extends ControlCommand {
    @Argument(metaVar = "FILE", required = true, usage = "operator text")
    private Path file;

    @Override
    String description() {
        return "Shows what applying an operator text would change, by service and key. Defaults are filled in on both "
                + "sides, so only effective differences are shown. Changes nothing.";
    }

    @Override
    ExitCode run(Console console) {
        ConfigurationFile read = ConfigurationFile.read(file);
        return switch (read.result()) {
            case Result.Invalid invalid -> read.printProblems(console, invalid.problems(), json());
            case Result.Valid valid -> {
                compare(console, read.text(), valid.configuration());
                yield ExitCode.SUCCESS;
            }
        };
    }

    private void compare(Console console, String text, OperatorConfiguration proposed) {
        Optional<ConfigurationText> accepted = readAccepted();
        ConfigurationDifference difference =
                ConfigurationDifference.between(accepted.map(DiffCommand::parse), proposed);
        if (json()) {
            console.printJson(difference.fields());
        } else {
            console.printText(difference.text());
        }
        accepted.flatMap(before -> numberNote(before, text, proposed)).ifPresent(console::printNote);
    }

    private Optional<ConfigurationText> readAccepted() {
        try (ControlClient client = client()) {
            Message reply = client.ask(ReadConfiguration::new, Duration.ZERO);
            if (reply instanceof ConfigurationReply configurationReply) {
                return configurationReply.configuration();
            }
            throw new ControlException(ErrorCode.INTERNAL, "unexpected answer " + reply);
        }
    }

    private static OperatorConfiguration parse(ConfigurationText accepted) {
        return switch (ConfigurationParser.standard().parse(accepted.text())) {
            case Result.Valid valid -> valid.configuration();
            case Result.Invalid invalid ->
                throw new ControlException(
                        ErrorCode.INTERNAL,
                        "this program does not understand the accepted text: "
                                + invalid.problems().getFirst());
        };
    }

    /** Returns a note if the control hosts would not accept the text because its number is not above the accepted one. */
    private static Optional<String> numberNote(
            ConfigurationText accepted, String text, OperatorConfiguration proposed) {
        if (accepted.text().equals(text) || proposed.number().value() > accepted.number()) {
            return Optional.empty();
        }
        return Optional.of("note: number " + accepted.number()
                + " is accepted already; raise the number above it before " + "you apply this text");
    }
}
