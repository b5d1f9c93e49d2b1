package io.rosemarybeam.replay;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;

import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/**
 * Guards against a change of the cores that violates a promise or misses an expected outcome in any recorded trace, and
 * against replays that depend on anything but trace, seed and policy.
 */
class ReplayTest {
    private static final Path TRACES = Path.of("traces");

    @Test
    void shouldMeetStatedOutcomesWhenTracesAreReplayed() throws IOException {
        StringBuilder summary = new StringBuilder();
        try (Stream<Path> files = Files.list(TRACES)) {
            for (Path file : files.sorted().toList()) {
                summary.append(summary(Replay.run(Trace.read(file), 1, Replay.PolicyChoice.STANDARD, Set.of())));
            }
        }
        Approvals.verify(summary.toString());
    }

    @Test
    void shouldGiveTheSameReportWhenReplayedTwice() {
        Trace trace = Trace.read(TRACES.resolve("al-nour-fault-endpoint-crash.jsonl"));
        Report first = Replay.run(trace, 7, Replay.PolicyChoice.STANDARD, Set.of());
        Report second = Replay.run(trace, 7, Replay.PolicyChoice.STANDARD, Set.of());
        assertEquals(first.toText(), second.toText());
    }

    @Test
    void shouldPrintEverythingWhenReported() {
        Measures measures = new Measures();
        measures.checkPromise("every sample exactly once", true, "sample 0");
        measures.checkPromise("every sample exactly once", false, "sample 1");
        measures.count("samples submitted");
        measures.staleness.recordValue(1);
        measures.customerLatency.recordValue(250);
        Trace trace = new Trace(
                "example.jsonl",
                List.of(),
                List.of(
                        new TraceEvent.Outcome(10, "promisesBroken", 0.0, null),
                        new TraceEvent.Outcome(10, "goodputTokensPerSecond", null, 0.0)),
                10_000);
        Report report = Report.of(trace, 1, Replay.PolicyChoice.STANDARD, measures);
        Approvals.verify(report.toText() + report.toJson());
    }

    /** Summarizes a report without the measured values, which change with every improvement of a policy. */
    private static String summary(Report report) {
        StringBuilder text = new StringBuilder(report.trace()).append('\n');
        for (Map.Entry<String, String> promise : report.promises().entrySet()) {
            if (!promise.getValue().contains(" 0 broken")) {
                text.append("  BROKEN ").append(promise).append('\n');
            }
        }
        for (Report.JudgedOutcome outcome : report.outcomes()) {
            text.append("  ").append(outcome.met() ? "met" : "MISSED " + outcome.value());
            text.append(": ")
                    .append(outcome.measure())
                    .append(' ')
                    .append(outcome.bound())
                    .append('\n');
        }
        return text.toString();
    }
}
