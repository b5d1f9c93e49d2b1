package io.rosemarybeam.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import io.rosemarybeam.cli.CommandRunner.Run;
import io.rosemarybeam.common.event.Event;
import org.approvaltests.Approvals;
import org.approvaltests.core.Options;
import org.approvaltests.reporters.QuietReporter;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against an explanation that omits a decision, orders decisions wrongly or includes other requests. */
class ExplainTest {
    private static final Options QUIET = new Options().withReporter(QuietReporter.INSTANCE);
    private static final String EDGE_LOG = String.join(
            "\n",
            line("06:00:00.100", Event.PROCESS_STARTED, "name", "edge-fes-1"),
            line("06:00:01.000", Event.CONFIGURATION_IN_USE, "version", "3", "former", "2"),
            line("06:00:09.500", Event.STORE_LOST, "store", "10.3.0.28:7140", "silent", "1201"),
            line(
                    "06:00:10.200",
                    Event.ATTEMPT_FAILED,
                    "request",
                    "c6d2",
                    "endpoint",
                    "i-1c",
                    "announced",
                    "7",
                    "outcome",
                    "cut",
                    "detail",
                    "connection reset"),
            line(
                    "06:00:10.300",
                    Event.REQUEST_FINISHED,
                    "request",
                    "other",
                    "configuration",
                    "3",
                    "outcome",
                    "answered",
                    "endpoints",
                    "[i-9]",
                    "milliseconds",
                    "20"),
            line(
                    "06:00:10.401",
                    Event.REQUEST_FINISHED,
                    "request",
                    "c6d2",
                    "route",
                    "r-5z",
                    "configuration",
                    "3",
                    "outcome",
                    "endpoints failed",
                    "status",
                    "502",
                    "sends",
                    "1",
                    "refusals",
                    "0",
                    "endpoints",
                    "[i-1c]",
                    "milliseconds",
                    "401"),
            "not a record");
    private static final String STORES_LOG = String.join(
            "\n",
            "17.20 storage-fes-1 " + line("06:00:05.000", Event.ENDPOINT_CHANGED, "endpoint", "i-1c", "state", "READY"),
            "17.25 storage-fes-1 " + line("06:00:05.050", Event.ENDPOINT_CHANGED, "endpoint", "i-9", "state", "READY"),
            "18.00 storage-ifrane-1 "
                    + line(
                            "06:00:05.800",
                            Event.CONTROL_REQUEST_FINISHED,
                            "path",
                            "/api/config/replace",
                            "outcome",
                            "DONE",
                            "version",
                            "3"),
            "22.00 storage-fes-1 " + line("06:00:09.800", Event.SUBMISSION_ACCEPTED, "request", "d9fa", "step", "2"),
            "22.50 storage-fes-1 "
                    + line(
                            "06:00:10.300",
                            Event.ITEM_RUN_ENDED,
                            "submission",
                            "d9fa",
                            "request",
                            "e5b2",
                            "endpoint",
                            "i-1c",
                            "outcome",
                            "broken",
                            "milliseconds",
                            "300"),
            "22.60 storage-fes-1 "
                    + line(
                            "06:00:10.400",
                            Event.REQUEST_FINISHED,
                            "request",
                            "40c8",
                            "outcome",
                            "answered",
                            "endpoints",
                            "[i-9]",
                            "milliseconds",
                            "50"),
            "22.70 storage-fes-1 "
                    + line(
                            "06:00:10.500",
                            Event.ITEM_LISTED,
                            "submission",
                            "d9fa",
                            "request",
                            "e5b2",
                            "scorer",
                            "40c8",
                            "completed",
                            "true"),
            "22.80 storage-fes-1 "
                    + line(
                            "06:00:10.600",
                            Event.ITEM_LISTED,
                            "submission",
                            "d9fa",
                            "request",
                            "f7a1",
                            "scorer",
                            "51d9",
                            "completed",
                            "true"));

    @TempDir
    Path folder;

    private CommandRunner commands;
    private String edge;
    private String stores;

    private static String line(String time, Event event, String... fields) {
        String fieldsJson = IntStream.range(0, fields.length / 2)
                .mapToObj(index -> "\"" + fields[2 * index] + "\":\"" + fields[2 * index + 1] + "\"")
                .collect(Collectors.joining(","));
        return "{\"time\":\"2026-12-04T" + time + "Z\",\"event\":" + event.number() + ",\"name\":\"" + event.name()
                + "\",\"fields\":{" + fieldsJson + "}}";
    }

    @BeforeEach
    void writeLogs() throws IOException {
        commands = new CommandRunner(folder);
        edge = commands.write("edge.log", EDGE_LOG);
        stores = commands.write("stores.log", STORES_LOG);
    }

    @Test
    void shouldShowPathAndContextWhenRequestFailed() {
        Run run = commands.run("explain", "c6d2", edge, stores);
        assertEquals(ExitCode.SUCCESS, run.code(), run.err());
        Approvals.verify(run.out(), QUIET);
    }

    @Test
    void shouldIncludeScorerButNoOtherItemWhenItemIsExplained() {
        Run run = commands.run("explain", "e5b2", edge, stores);
        assertTrue(run.out().contains("request=40c8"), run.out());
        assertFalse(run.out().contains("f7a1"), run.out());
    }

    @Test
    void shouldIncludeAllItemsWhenSubmissionIsExplained() {
        Run run = commands.run("explain", "d9fa", stores, edge);
        assertTrue(run.out().contains("SUBMISSION_ACCEPTED"), run.out());
        assertTrue(run.out().contains("e5b2"), run.out());
        assertTrue(run.out().contains("f7a1"), run.out());
    }

    @Test
    void shouldShowAcknowledgementAndUseWhenConfigurationIsExplained() {
        Run run = commands.run("explain", "--configuration", "3", edge, stores);
        assertTrue(run.out().contains("CONTROL_REQUEST_FINISHED"), run.out());
        assertTrue(run.out().contains("edge-fes-1 CONFIGURATION_IN_USE"), run.out());
    }

    @Test
    void shouldPrintReadableJsonWhenAsked() {
        Run run = commands.run("explain", "--json", "c6d2", edge, stores);
        assertTrue(
                run.out().contains("\"subject\": \"request c6d2\"")
                        || run.out().contains("\"subject\" : \"request c6d2\""),
                run.out());
    }

    @Test
    void shouldFailWithUsageWhenNoLineHasTheIdentifier() {
        Run run = commands.run("explain", "unknown", edge, stores);
        assertEquals(ExitCode.USAGE, run.code());
        assertTrue(run.err().contains("no line of the logs tells of request unknown"), run.err());
    }

    @Test
    void shouldFailWithUsageWhenLogIsMissing() {
        Run run = commands.run("explain", "c6d2", folder.resolve("missing.log").toString());
        assertEquals(ExitCode.USAGE, run.code());
        assertTrue(run.err().contains("missing.log"), run.err());
    }

    @Test
    void shouldFailWithUsageWhenVersionIsNotANumber() {
        Run run = commands.run("explain", "--configuration", "c6d2", edge);
        assertEquals(ExitCode.USAGE, run.code());
        assertTrue(run.err().contains("not a whole number"), run.err());
    }
}
