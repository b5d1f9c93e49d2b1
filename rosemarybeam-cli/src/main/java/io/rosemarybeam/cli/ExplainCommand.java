package io.rosemarybeam.cli;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.error.SettingsException;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Traces a request or a configuration through the logs. Fields are set by args4j. Confined to the main thread. */
final class ExplainCommand extends Command {
    @Option(name = "--configuration", usage = "the identifier is the version of a configuration")
    private boolean configuration;

    @Argument(
            index = 0,
            metaVar = "REQUEST-ID",
            required = true,
            usage = "id of a request, a submission or an item, or the version of a configuration")
    private String identifier;

    @Argument(index = 1, metaVar = "LOG", required = true, multiValued = true, usage = "logs of the processes")
    private List<Path> logs = new ArrayList<>();

    @Override
    String description() {
        return "Follows a request, a submission, an item or a configuration through the logs of several processes. "
                + "Prints each decision on its path with its inputs, marked with an asterisk, between what the "
                + "processes believed meanwhile. Lines are ordered by the time of day of their hosts.";
    }

    @Override
    ExitCode run(Console console) {
        LogReader reader = new LogReader();
        logs.forEach(reader::read);
        Explanation explanation = configuration
                ? Explanation.ofConfiguration(version(), reader.records())
                : Explanation.ofRequest(identifier, reader.records());
        if (reader.skippedLines() > 0) {
            console.printNote(reader.skippedLines() + " lines hold no event and were skipped");
        }
        if (explanation.lines().isEmpty()) {
            throw new SettingsException(
                    ErrorCode.USAGE, "no line of the logs tells of " + explanation.subject() + "; are all logs given?");
        }
        if (json()) {
            console.printJson(tree(explanation));
        } else {
            print(console, explanation);
        }
        return ExitCode.SUCCESS;
    }

    private long version() {
        try {
            return Long.parseLong(identifier);
        } catch (NumberFormatException failure) {
            throw new SettingsException(
                    ErrorCode.USAGE,
                    "version \"" + identifier + "\" of a configuration is not a whole number",
                    failure);
        }
    }

    private static void print(Console console, Explanation explanation) {
        console.print(explanation.subject());
        for (Explanation.Line line : explanation.lines()) {
            LogRecord record = line.record();
            console.print((line.onPath() ? "* " : "  ") + record.time() + " " + record.process() + " " + record.name()
                    + " " + fields(record));
            record.failure()
                    .ifPresent(failure ->
                            console.print("      " + failure.lines().findFirst().orElse("")));
        }
        explanation.outcome().ifPresent(last -> console.print("last decision: " + last.name() + " " + fields(last)));
        explanation.lateSends().forEach(late -> console.print(late.describe()));
    }

    private static String fields(LogRecord record) {
        return record.fields().entrySet().stream()
                .map(field -> field.getKey() + "=" + quoted(field.getValue()))
                .collect(Collectors.joining(" "));
    }

    private static String quoted(String text) {
        return text.isEmpty() || text.contains(" ") ? "\"" + text + "\"" : text;
    }

    private static Map<String, Object> tree(Explanation explanation) {
        List<Map<String, Object>> lines = new ArrayList<>();
        for (Explanation.Line line : explanation.lines()) {
            Map<String, Object> fields = new LinkedHashMap<>();
            fields.put("onPath", line.onPath());
            fields.put("time", line.record().time().toString());
            fields.put("process", line.record().process());
            fields.put("event", line.record().number());
            fields.put("name", line.record().name());
            fields.put("fields", line.record().fields());
            line.record().failure().ifPresent(failure -> fields.put("failure", failure));
            lines.add(fields);
        }
        Map<String, Object> tree = new LinkedHashMap<>();
        tree.put("subject", explanation.subject());
        tree.put("lines", lines);
        tree.put(
                "sentAfterEnd",
                explanation.lateSends().stream().map(LateSend::describe).toList());
        return tree;
    }
}
