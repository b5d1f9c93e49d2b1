package io.rosemarybeam.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
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

/** Guards against an explanation that does not show why an item or a score request was sent after the end of its submission. */
class LateSendTest {
    private static final Options QUIET = new Options().withReporter(QuietReporter.INSTANCE);

    private static final String LOG = String.join(
            "\n",
            line("edge-fes-1", "24.435", Event.END_REQUESTED, "request", "step", "caller", "c-1"),
            line("edge-fes-1", "25.735", Event.END_KEPT, "request", "step", "reason", "no leader is known"),
            line("storage-fes-2", "26.466", Event.SUBMISSION_ENDED, "request", "step", "term", "3"),
            line("edge-fes-1", "26.470", Event.END_DELIVERED, "request", "step", "outcome", "DONE"),
            line("storage-fes-2", "26.480", Event.SUBMISSION_ENDED, "request", "step-2", "term", "3"),
            run("storage-fes-2", "24.100", "early", "3", "12"),
            run("storage-fes-2", "25.000", "between", "3", "20"),
            line("storage-fes-1", "30.525", Event.LOOP_STALLED, "milliseconds", "13294"),
            run("storage-fes-1", "30.638", "late", "2", "13301"),
            line(
                    "storage-fes-1",
                    "30.700",
                    Event.SCORE_REQUESTED,
                    "submission",
                    "step",
                    "request",
                    "late",
                    "scorer",
                    "score-1",
                    "term",
                    "2",
                    "majorityAge",
                    "13363"),
            line("storage-fes-1", "30.836", Event.LEADERSHIP_LOST, "term", "3"));

    @TempDir
    Path folder;

    private CommandRunner commands;
    private String log;

    private static String line(String process, String time, Event event, String... fields) {
        String fieldsJson = IntStream.range(0, fields.length / 2)
                .mapToObj(index -> "\"" + fields[2 * index] + "\":\"" + fields[2 * index + 1] + "\"")
                .collect(Collectors.joining(","));
        return "1.00 " + process + " {\"time\":\"2026-12-04T06:00:" + time + "Z\",\"event\":" + event.number()
                + ",\"name\":\"" + event.name() + "\",\"fields\":{" + fieldsJson + "}}";
    }

    private static String run(String process, String time, String item, String term, String majorityAge) {
        return line(
                process,
                time,
                Event.ITEM_RUN_STARTED,
                "submission",
                "step",
                "request",
                item,
                "term",
                term,
                "majorityAge",
                majorityAge);
    }

    @BeforeEach
    void writeLog() throws IOException {
        commands = new CommandRunner(folder);
        log = commands.write("stores.log", LOG);
    }

    /** Guards against an explanation that blames a host for work that it withheld. */
    @Test
    void shouldNotNameWorkThatWasWithheld() throws IOException {
        List<String> withheld = List.of(
                line("storage-fes-2", "24.000", Event.SUBMISSION_ENDED, "request", "step", "term", "3"),
                run("storage-fes-1", "30.638", "late", "2", "13301"),
                line("storage-fes-1", "30.640", Event.ITEM_RUN_ENDED, "request", "late", "outcome", "WITHHELD"),
                line(
                        "storage-fes-1",
                        "30.700",
                        Event.SCORE_REQUESTED,
                        "submission",
                        "step",
                        "request",
                        "late",
                        "scorer",
                        "score-1"),
                line("storage-fes-1", "30.701", Event.ATTEMPT_FAILED, "request", "score-1", "outcome", "withheld"));

        String text = explain("explain", "late", commands.write("withheld.log", String.join("\n", withheld) + "\n"));

        assertFalse(text.contains("sent after the end"), text);
    }

    private String explain(String... arguments) {
        Run run = commands.run(arguments);
        assertEquals(ExitCode.SUCCESS, run.code(), run.err());
        return run.out();
    }

    @Test
    void shouldShowPathAndCauseWhenAnItemWasSentAfterTheEnd() {
        Approvals.verify(explain("explain", "late", log), QUIET);
    }

    @Test
    void shouldNameSenderAndCauseWhenAnItemWasSentAfterTheEnd() {
        String text = explain("explain", "late", log);
        assertTrue(
                text.contains(
                        "sent after the end: ITEM_RUN_STARTED of late 4172 ms after SUBMISSION_ENDED at storage-fes-2,"
                                + " from storage-fes-1 in term 2, last word of a majority 13301 ms old;"
                                + " LOOP_STALLED 113 ms before it for 13294 ms; LEADERSHIP_LOST 198 ms after it"),
                text);
        assertTrue(text.contains("sent after the end: SCORE_REQUESTED of late 4234 ms after SUBMISSION_ENDED"), text);
    }

    @Test
    void shouldShowTheEndOfItsSubmissionOnThePathOfAnItem() {
        String text = explain("explain", "late", log);
        for (Event event :
                new Event[] {Event.END_REQUESTED, Event.END_KEPT, Event.SUBMISSION_ENDED, Event.END_DELIVERED}) {
            assertTrue(
                    text.lines().anyMatch(line -> line.startsWith("* ") && line.contains(" " + event.name() + " ")),
                    event + " is missing in " + text);
        }
        assertFalse(text.contains("step-2"), text);
    }

    @Test
    void shouldSayNothingWhenAnItemWasSentBeforeTheEnd() {
        assertFalse(explain("explain", "early", log).contains("sent after the end"));
    }

    @Test
    void shouldNameTheRequestOfTheEndWhenNoLeaderHadEndedTheSubmission() {
        String text = explain("explain", "between", log);
        assertTrue(text.contains("ITEM_RUN_STARTED of between 565 ms after END_REQUESTED at edge-fes-1"), text);
        assertTrue(text.contains("no LEADERSHIP_LOST or LOOP_STALLED of the sender within 2 s"), text);
    }

    @Test
    void shouldListLateSendsWhenJsonIsAsked() {
        assertTrue(explain("explain", "--json", "late", log).contains("sent after the end: ITEM_RUN_STARTED"));
    }
}
