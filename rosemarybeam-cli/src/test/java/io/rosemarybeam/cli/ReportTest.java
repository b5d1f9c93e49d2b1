package io.rosemarybeam.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

import io.rosemarybeam.cli.CommandRunner.Run;
import io.rosemarybeam.common.wire.ControlReply.ConfigurationReply;
import io.rosemarybeam.common.wire.ControlReply.ConfigurationText;
import io.rosemarybeam.common.wire.ControlReply.HistoryLine;
import io.rosemarybeam.common.wire.ControlReply.HistoryReply;
import io.rosemarybeam.common.wire.ControlReply.StatusReply;
import io.rosemarybeam.common.wire.Message;
import org.approvaltests.Approvals;
import org.approvaltests.core.Options;
import org.approvaltests.reporters.QuietReporter;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against unnoticed changes of the printed reports and against reports that omit what an operator needs. */
class ReportTest {
    private static final Options QUIET = new Options().withReporter(QuietReporter.INSTANCE);
    private static final String BEFORE = """
            {
              "number": 7,
              "controlHosts": [{"name": "control-1", "address": "127.0.0.1:7401", "failureDomain": "amman-a"}],
              "services": {
                "brailler-lm": {
                  "class": "model",
                  "limits": {"maximumConcurrent": 64},
                  "training": {"stalenessBoundVersions": 2, "trainerIdleWeight": 0.3, "stalenessWeight": 0.7,
                               "trainerShares": {"trainer-a": 1}},
                  "rollout": {"capacityFloorPercent": 60, "storeFetchesPerSecond": 2}
                },
                "old-app": {"class": "plain"}
              }
            }
            """;
    private static final String AFTER = """
            {
              "number": 8,
              "controlHosts": [{"name": "control-9", "address": "127.0.0.1:7409", "failureDomain": "amman-b"}],
              "entryHosts": {"draining": ["entry-2"]},
              "endpoints": {"draining": ["engine-3"], "roles": {"engine-4": "prefill"}},
              "services": {
                "brailler-lm": {
                  "class": "model",
                  // written out, but equal to the default and so no change
                  "retries": {"maximumAttempts": 3, "budgetPercent": 10},
                  "limits": {"maximumConcurrent": 128},
                  "training": {"stalenessBoundVersions": 2, "trainerIdleWeight": 0.5, "stalenessWeight": 0.7,
                               "trainerShares": {"trainer-a": 1, "trainer-b": 2}},
                  "rollout": {"capacityFloorPercent": 60, "storeFetchesPerSecond": 2}
                },
                "workshop-app": {
                  "class": "plain", "dependsOn": ["brailler-lm"],
                  "idempotentCalls": [{"method": "GET", "path": "/**"}]
                }
              }
            }
            """;

    @TempDir
    private Path folder;

    private CommandRunner runner;

    @BeforeEach
    void prepare() throws IOException {
        runner = new CommandRunner(folder);
    }

    private void verify(Message answer, String... arguments) {
        try (FakeControlHost host = FakeControlHost.answering(answer)) {
            Run run = runner.runRemote(host.address(), arguments);

            assertEquals(ExitCode.SUCCESS, run.code(), run.err());
            Approvals.verify(run.out() + run.err(), QUIET);
        }
    }

    private static Message accepted(String text) {
        return new ConfigurationReply(Optional.of(new ConfigurationText(7, text)));
    }

    @Test
    void shouldShowChangesByServiceAndKeyWhenTextsDiffer() throws IOException {
        verify(accepted(BEFORE), "diff", runner.write("after.json", AFTER));
    }

    @Test
    void shouldShowChangesForScriptsWhenTextsDiffer() throws IOException {
        verify(
                accepted(BEFORE),
                "diff",
                "--json",
                runner.write("after.json", BEFORE.replace("64}", "96}").replace("trainer-a", "trainer-b")));
    }

    @Test
    void shouldShowEverythingAsNewWhenNothingIsAccepted() throws IOException {
        verify(new ConfigurationReply(Optional.empty()), "diff", runner.write("before.json", BEFORE));
    }

    @Test
    void shouldAdviseAHigherNumberWhenOnlyACommentDiffers() throws IOException {
        verify(accepted(BEFORE), "diff", runner.write("same.json", "// comment\n" + BEFORE));
    }

    @Test
    void shouldShowTablesWhenStatusIsRead() {
        verify(new StatusReply("""
                        {"leader": "control-1", "term": 4, "revision": 8, "inForce": false,
                         "controlHosts": [
                           {"name": "control-1", "role": "voter", "failureDomain": "amman-a", "appliedIndex": 1200},
                           {"name": "control-22", "role": "learner", "failureDomain": "amman-b"}],
                         "entryHosts": [
                           {"name": "entry-1", "revision": 8, "draining": false, "services": ["guichet", "x"]},
                           {"name": "entry-2", "revision": 7, "draining": true, "services": []}],
                         "endpoints": [], "counts": {"claims": 3, "steps": {}}, "note": "a\\u001b[2Jb", "last": null}
                        """), "status");
    }

    @Test
    void shouldListNewestFirstWhenHistoryIsRead() {
        verify(
                new HistoryReply(List.of(
                        new HistoryLine(18, "00ff00ff00ff00ff", 1_796_351_400_123L, "layla"),
                        new HistoryLine(7, "abc", 1_796_265_000_000L, "idriss"))),
                "history");
    }

    @Test
    void shouldExplainEveryCommandWhenHelpIsAsked() {
        StringBuilder help = new StringBuilder(runner.run("--help").out());
        for (String command : List.of("validate", "diff", "apply", "status", "history", "dump")) {
            Run run = runner.run(command, "--help");
            assertEquals(ExitCode.SUCCESS, run.code());
            help.append("\n---\n").append(run.out());
        }
        Approvals.verify(help, QUIET);
    }
}
