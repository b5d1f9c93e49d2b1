package io.rosemarybeam.cli;

import java.time.Duration;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.rosemarybeam.common.error.ControlException;
import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.error.SettingsException;
import io.rosemarybeam.common.wire.ControlReply.HistoryLine;
import io.rosemarybeam.common.wire.ControlReply.HistoryReply;
import io.rosemarybeam.common.wire.Message;
import io.rosemarybeam.common.wire.OperatorRequest.ReadHistory;
import org.kohsuke.args4j.Option;

/** Lists the accepted operator configurations. Fields are set by args4j. Confined to the main thread. */
final class HistoryCommand extends ControlCommand {
    private static final int DEFAULT_LINES = 20;
    private static final int MAXIMUM_LINES = 1_000;
    private static final int SHOWN_DIGEST_CHARACTERS = 12;

    @Option(name = "--lines", metaVar = "COUNT", usage = "how many lines to show (default 20)")
    private int lines = DEFAULT_LINES;

    @Override
    String description() {
        return "Lists the accepted operator texts, newest first: number, time, operator and start of the digest.";
    }

    @Override
    ExitCode run(Console console) {
        if (lines < 1 || lines > MAXIMUM_LINES) {
            throw new SettingsException(
                    ErrorCode.USAGE, "--lines must be from 1 to " + MAXIMUM_LINES + ", is " + lines);
        }
        try (ControlClient client = client()) {
            Message reply = client.ask(() -> new ReadHistory(lines), Duration.ZERO);
            if (!(reply instanceof HistoryReply history)) {
                throw new ControlException(ErrorCode.INTERNAL, "unexpected answer " + reply);
            }
            show(console, history.lines());
            return ExitCode.SUCCESS;
        }
    }

    private void show(Console console, List<HistoryLine> history) {
        if (json()) {
            console.printJson(history.stream().map(HistoryCommand::fields).toList());
            return;
        }
        if (history.isEmpty()) {
            console.print("no configuration has been accepted yet");
            return;
        }
        List<List<String>> rows = new ArrayList<>();
        rows.add(List.of("number", "accepted", "operator", "digest"));
        for (HistoryLine line : history) {
            rows.add(List.of(Long.toString(line.number()), time(line), line.operator(), shortened(line.digest())));
        }
        console.printText(PlainTextFormatter.formatTable(rows, ""));
    }

    private static Map<String, Object> fields(HistoryLine line) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("number", line.number());
        fields.put("accepted", time(line));
        fields.put("operator", line.operator());
        fields.put("digest", line.digest());
        return fields;
    }

    private static String time(HistoryLine line) {
        return Instant.ofEpochMilli(line.acceptedAtMilliseconds())
                .truncatedTo(ChronoUnit.SECONDS)
                .toString();
    }

    private static String shortened(String digest) {
        return digest.substring(0, Math.min(digest.length(), SHOWN_DIGEST_CHARACTERS));
    }
}
