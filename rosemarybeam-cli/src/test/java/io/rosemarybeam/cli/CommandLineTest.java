package io.rosemarybeam.cli;

import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.rosemarybeam.cli.CommandRunner.Run;
import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.id.HostName;
import io.rosemarybeam.common.wire.CommonReply.DumpReply;
import io.rosemarybeam.common.wire.CommonReply.NotLeader;
import io.rosemarybeam.common.wire.CommonReply.Refused;
import io.rosemarybeam.common.wire.ControlReply.ApplyOutcome;
import io.rosemarybeam.common.wire.ControlReply.ApplyReply;
import io.rosemarybeam.common.wire.ControlReply.ConfigurationReply;
import io.rosemarybeam.common.wire.ControlReply.ConfigurationText;
import io.rosemarybeam.common.wire.ControlReply.StatusReply;
import io.rosemarybeam.common.wire.Message;
import io.rosemarybeam.common.wire.OperatorRequest.ApplyConfiguration;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against a change that is lost, sent twice with different content, or reported as applied when it is not, and
 * against wrong exit codes.
 */
class CommandLineTest {
    static final String TEXT = """
            {"number": 8,  // raised for the night
             "controlHosts": [{"name": "control-1", "address": "127.0.0.1:7401", "failureDomain": "amman-a"}],
             "services": {}}
            """;

    @TempDir
    private Path folder;

    private CommandRunner runner;
    private String file;

    @BeforeEach
    void writeText() throws IOException {
        runner = new CommandRunner(folder);
        file = runner.write("text.json", TEXT);
    }

    private static ApplyReply reply(ApplyOutcome outcome, boolean inForce, String... pending) {
        List<HostName> entries = List.of(pending).stream().map(HostName::of).toList();
        return new ApplyReply(outcome, 8, List.of(), Optional.empty(), inForce, entries);
    }

    private static NotLeader redirectTo(String address) {
        return new NotLeader(Optional.of("control-2"), Optional.of(address));
    }

    // Finding the leader, and retries after lost answers.

    @Test
    void shouldFollowRedirectionWhenTheHostIsNotTheLeader() {
        try (FakeControlHost leader = FakeControlHost.answering(reply(ApplyOutcome.ACCEPTED, true));
                FakeControlHost follower = FakeControlHost.answering(redirectTo(leader.address()))) {
            Run run = runner.runRemote(follower.address(), "apply", file);

            assertEquals(new Run(ExitCode.SUCCESS, "accepted: number 8\nin force: yes\n", ""), run);
            assertEquals(TEXT, ((ApplyConfiguration) leader.received().getFirst()).text());
        }
    }

    @Test
    void shouldSendTheSameTextAgainWhenTheAnswerIsLost() {
        try (FakeControlHost host = FakeControlHost.scripted((request, attempt) ->
                attempt == 1 ? Optional.empty() : Optional.of(reply(ApplyOutcome.RESENT, true)))) {
            Run run = runner.runRemote(host.address(), "apply", file);

            assertEquals(ExitCode.SUCCESS, run.code());
            assertTrue(run.out().contains("accepted before"), run.out());
            assertEquals(2, host.received().size());
            assertEquals(host.received().get(0), host.received().get(1));
        }
    }

    @Test
    void shouldTryTheNextHostWhenOneIsDownOrSilent() throws IOException {
        try (ServerSocket silent = new ServerSocket(0);
                FakeControlHost host = FakeControlHost.answering(new StatusReply("{\"leader\":\"control-1\"}"))) {
            String addresses = "127.0.0.1:1,127.0.0.1:" + silent.getLocalPort() + "," + host.address();

            Run run = runner.runRemote(addresses, "status");

            assertEquals(new Run(ExitCode.SUCCESS, "leader: control-1\n", ""), run);
        }
    }

    @Test
    void shouldRetryWhenAnElectionIsInProgress() {
        Message noLeader = new NotLeader(Optional.empty(), Optional.empty());
        Message lost = new Refused(ErrorCode.LEADERSHIP_LOST, "stepped down", 0);
        Message busy = new Refused(ErrorCode.OVERLOADED, "later", 10);
        try (FakeControlHost host = FakeControlHost.scripted((request, attempt) -> Optional.of(
                switch (attempt) {
                    case 1 -> noLeader;
                    case 2 -> lost;
                    case 3 -> busy;
                    default -> reply(ApplyOutcome.ACCEPTED, false);
                }))) {
            Run run = runner.runRemote(host.address(), "apply", file);

            assertEquals(ExitCode.SUCCESS, run.code());
            assertEquals(4, host.received().size());
        }
    }

    @Test
    void shouldExitAsUnreachableWhenHostsRedirectToEachOther() {
        String[] second = new String[1];
        try (FakeControlHost one = FakeControlHost.scripted((request, attempt) -> Optional.of(redirectTo(second[0])));
                FakeControlHost two = FakeControlHost.answering(redirectTo(one.address()))) {
            second[0] = two.address();

            Run run = runner.runRemote(one.address(), "status", "--timeout", "1");

            assertEquals(ExitCode.UNREACHABLE, run.code());
            assertTrue(run.err().contains("RB-3001 NOT_LEADER"), run.err());
        }
    }

    @Test
    void shouldExitAsUnreachableWhenNoHostListensOrNoAnswerArrives() throws IOException {
        try (ServerSocket silent = new ServerSocket(0)) {
            Run closed = runner.runRemote("127.0.0.1:1", "history", "--timeout", "1");
            Run unresponsive = runner.runRemote("127.0.0.1:" + silent.getLocalPort(), "history", "--timeout", "1");

            assertEquals(ExitCode.UNREACHABLE, closed.code());
            assertTrue(closed.err().contains("RB-2001 CONNECTION_FAILED"), closed.err());
            assertEquals(ExitCode.UNREACHABLE, unresponsive.code());
            assertTrue(unresponsive.err().contains("RB-2003 CONNECTION_SILENT"), unresponsive.err());
        }
    }

    @Test
    void shouldReportTheFailureOfEveryHostWhenNoLeaderIsFound() {
        Message noLeader = new NotLeader(Optional.empty(), Optional.empty());
        try (FakeControlHost host = FakeControlHost.answering(noLeader)) {
            Run run = runner.runRemote("127.0.0.1:1," + host.address(), "status", "--timeout", "1");

            assertEquals(ExitCode.UNREACHABLE, run.code());
            assertTrue(run.err().contains("RB-3001 NOT_LEADER"), run.err());
            assertTrue(run.err().contains("control host 127.0.0.1:1: cannot connect"), run.err());
            assertTrue(run.err().contains("control host " + host.address() + " does not lead"), run.err());
        }
    }

    @Test
    void shouldExitAsRefusedWhenTheTokenIsWrong() throws IOException {
        try (FakeControlHost host = FakeControlHost.answering(new StatusReply("{}"))) {
            Run run = runner.runRemote(
                    host.address(), runner.writeTokenFile("wrong", "another-token-of-the-test"), "status");

            assertEquals(ExitCode.REFUSED, run.code());
            assertTrue(run.err().contains("RB-2004 HANDSHAKE_REFUSED"), run.err());
            assertTrue(host.received().isEmpty());
        }
    }

    @Test
    void shouldReportTheFailureDomainWhenItsLossLeavesNoMajority() throws IOException {
        String host = "{\"name\": \"c%d\", \"address\": \"127.0.0.1:740%d\", \"failureDomain\": \"%s\"}";
        String hosts =
                host.formatted(1, 1, "fes") + "," + host.formatted(2, 2, "fes") + "," + host.formatted(3, 3, "ifrane");
        String text = "{\"number\": 1, \"controlHosts\": [" + hosts + "], \"services\": {}}";

        Run unbalanced = runner.run("validate", runner.write("lopsided.json", text));
        Run balanced = runner.run("validate", runner.write("spread.json", text.replaceFirst("fes", "tanger")));

        assertEquals(ExitCode.SUCCESS, unbalanced.code());
        assertEquals(
                "note: the loss of failure domain fes stops all new work, because it has 2 of 3 control hosts\n",
                unbalanced.err());
        assertEquals("", balanced.err());
    }

    // Exit code and report for each outcome of apply.

    @Test
    void shouldPrintTheWinningTextWhenTheNumberIsTaken() {
        ApplyReply conflict =
                new ApplyReply(ApplyOutcome.CONFLICT, 8, List.of(), Optional.of("{the other text}"), false, List.of());
        try (FakeControlHost host = FakeControlHost.answering(conflict)) {
            Run run = runner.runRemote(host.address(), "apply", file);
            Run json = runner.runRemote(host.address(), "apply", file, "--json");

            assertEquals(ExitCode.CONFLICT, run.code());
            assertEquals("{the other text}\n", run.out());
            assertTrue(run.err().contains("RB-1202 CONFIGURATION_CONFLICT"), run.err());
            assertEquals(ExitCode.CONFLICT, json.code());
            assertTrue(json.out().contains("\"winner\" : \"{the other text}\""), json.out());
        }
    }

    @Test
    void shouldListPendingEntriesAndExitAsRefusedWhenWaitTimesOut() {
        try (FakeControlHost host =
                FakeControlHost.answering(reply(ApplyOutcome.ACCEPTED, false, "entry-1", "entry-4"))) {
            Run waited = runner.runRemote(host.address(), "apply", file, "--wait", "1");
            Run unwaited = runner.runRemote(host.address(), "apply", file);

            assertEquals(ExitCode.REFUSED, waited.code());
            assertTrue(waited.out().endsWith("in force: not yet; waiting for entry-1, entry-4\n"), waited.out());
            assertEquals(ExitCode.SUCCESS, unwaited.code());
            long wait = ((ApplyConfiguration) host.received().getFirst()).waitMilliseconds();
            assertTrue(wait > 0 && wait <= 1_000, "wait " + wait);
        }
    }

    @Test
    void shouldExitAsRefusedWhenTheNumberIsTooLowOrATableIsFull() {
        Message full = new Refused(ErrorCode.TABLE_FULL, "the table of control hosts is full", 0);
        try (FakeControlHost low = FakeControlHost.answering(reply(ApplyOutcome.NUMBER_TOO_LOW, false));
                FakeControlHost filled = FakeControlHost.answering(full)) {
            Run lowRun = runner.runRemote(low.address(), "apply", file);
            Run fullRun = runner.runRemote(filled.address(), "apply", file);

            assertEquals(ExitCode.REFUSED, lowRun.code());
            assertTrue(lowRun.err().contains("RB-1203"), lowRun.err());
            assertEquals(ExitCode.REFUSED, fullRun.code());
            assertTrue(fullRun.err().contains("RB-3003 TABLE_FULL"), fullRun.err());
            assertEquals(1, filled.received().size());
        }
    }

    @Test
    void shouldSendNoRequestWhenTheTextIsInvalid() throws IOException {
        String broken = runner.write("broken.json", TEXT.replace("\"number\": 8", "\"number\": -8"));
        try (FakeControlHost host = FakeControlHost.answering(reply(ApplyOutcome.ACCEPTED, true))) {
            for (String command : List.of("apply", "diff")) {
                Run run = runner.runRemote(host.address(), command, broken);

                assertEquals(ExitCode.USAGE, run.code());
                assertTrue(run.err().startsWith("file " + broken + ", line 1, /number: must be from 1"), run.err());
            }
            assertTrue(host.received().isEmpty());
        }
    }

    // Commands that only read, and JSON output.

    @Test
    void shouldPrintTheAcceptedTextUnchangedWhenAskedForTheText() {
        Message accepted = new ConfigurationReply(Optional.of(new ConfigurationText(8, TEXT)));
        try (FakeControlHost host = FakeControlHost.answering(accepted);
                FakeControlHost empty = FakeControlHost.answering(new ConfigurationReply(Optional.empty()))) {
            Run none = runner.runRemote(empty.address(), "status", "--text");

            assertEquals(new Run(ExitCode.SUCCESS, TEXT, ""), runner.runRemote(host.address(), "status", "--text"));
            assertEquals(ExitCode.REFUSED, none.code());
            assertTrue(none.err().contains("RB-1204 CONFIGURATION_MISSING"), none.err());
        }
    }

    @Test
    void shouldWriteJsonThatScriptsCanReadWhenAsked() throws Exception {
        ObjectMapper mapper = new ObjectMapper();
        try (FakeControlHost host = FakeControlHost.answering(reply(ApplyOutcome.RESENT, false, "entry-1"))) {
            JsonNode applied = mapper.readTree(
                    runner.runRemote(host.address(), "apply", file, "--json").out());
            JsonNode failed = mapper.readTree(runner.runRemote("127.0.0.1:1", "status", "--json", "--timeout", "1")
                    .err());
            JsonNode valid =
                    mapper.readTree(runner.run("validate", file, "--json").out());

            assertEquals("resent", applied.get("outcome").asText());
            assertEquals("entry-1", applied.get("pendingEntries").get(0).asText());
            assertEquals("RB-2001", failed.get("error").get("code").asText());
            assertTrue(valid.get("valid").asBoolean());
        }
    }

    @Test
    void shouldConnectOnlyToTheGivenHostWhenDumpIsRead() {
        try (FakeControlHost host = FakeControlHost.answering(new DumpReply("{\"term\":3,\"entries\":[]}"))) {
            Run run = runner.run(
                    "dump", host.address(), "--token-file", runner.tokenFile().toString());

            assertEquals(new Run(ExitCode.SUCCESS, "{\n  \"term\" : 3,\n  \"entries\" : [ ]\n}\n", ""), run);
        }
    }

    @Test
    void shouldFailWithTypedErrorWhenAnswerIsOfAnotherKind() {
        try (FakeControlHost host = FakeControlHost.answering(new DumpReply("{}"))) {
            for (String command : List.of("status", "history")) {
                Run run = runner.runRemote(host.address(), command);

                assertEquals(ExitCode.REFUSED, run.code());
                assertTrue(run.err().contains("RB-9001 INTERNAL"), run.err());
            }
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "bogus",
                "status",
                "validate",
                "validate missing.json",
                "apply x.json --wait x",
                "dump localhost:1 --token-file t",
                "status --control 127.0.0.1:1, --token-file t",
                "status --control 127.0.0.1:1 --token-file @t",
                "status --control 127.0.0.1:1 --token-file t --timeout 0"
            })
    void shouldExitAsUsageWhenTheCommandLineIsWrong(String arguments) {
        Run run = runner.run(arguments.isEmpty() ? new String[0] : arguments.split(" "));

        assertEquals(ExitCode.USAGE, run.code());
        assertTrue(run.err().contains("RB-"), run.err());
        assertEquals("", run.out());
    }
}
