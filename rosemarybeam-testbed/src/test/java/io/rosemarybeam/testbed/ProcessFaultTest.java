package io.rosemarybeam.testbed;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.rosemarybeam.common.wire.ControlReply.ApplyOutcome;
import io.rosemarybeam.common.wire.ControlReply.StatusReply;
import io.rosemarybeam.common.wire.OperatorRequest;
import io.rosemarybeam.testbed.LoadReport.Outcome;
import org.asynchttpclient.Response;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against requests, orders and configurations that are lost, truncated, executed twice or reverted when real processes
 * are killed, suspended, isolated or restarted.
 */
class ProcessFaultTest {
    private static final int CALLERS = 6;
    private static final Duration ACTIVATION_TIMEOUT = Duration.ofSeconds(4);

    @TempDir
    Path folder;

    private Deployment deployment;
    private final LoadReport report = new LoadReport();
    private final AtomicBoolean stopRequested = new AtomicBoolean();
    private final List<Thread> callers = new ArrayList<>();

    @BeforeEach
    void start() {
        deployment = new Deployment(folder, 3);
        for (int index = 0; index < 3; index++) {
            deployment.startEntry(index);
        }
        var accepted = deployment.apply(deployment.configurationText(1, 256), Duration.ofSeconds(20));
        assertEquals(ApplyOutcome.ACCEPTED, accepted.outcome());
        assertTrue(Deployment.waitUntil(
                Duration.ofSeconds(20), () -> deployment.statusJson().contains("entry-2")));
        deployment.startEndpoints(6, 4);
        assertTrue(Deployment.waitUntil(Duration.ofSeconds(20), this::allEntriesServe), this::statusAndEntryLogs);
    }

    @AfterEach
    void stop() {
        deployment.close();
    }

    private String statusAndEntryLogs() {
        return "status " + deployment.statusJson() + "\n" + deployment.readLog("entry-0") + "\n"
                + deployment.readLog("entry-1") + "\n" + deployment.readLog("entry-2");
    }

    private boolean allEntriesServe() {
        for (String entry : deployment.entryAddresses()) {
            try {
                Response answer = complete(entry, "ready?").join();
                if (answer.getStatusCode() != 200) {
                    return false;
                }
            } catch (RuntimeException unreachable) {
                return false;
            }
        }
        return true;
    }

    private CompletableFuture<Response> complete(String entry, String prompt) {
        return deployment
                .client()
                .preparePost("http://" + entry + "/v1/completions")
                .setHeader("Content-Type", "application/json")
                .setRequestTimeout(Duration.ofSeconds(25))
                .setBody("{\"model\":\"brailler-lm\",\"max_tokens\":32,\"prompt\":\"" + prompt + "\"}")
                .execute()
                .toCompletableFuture();
    }

    private void startLoad() {
        CallerLoad load = new CallerLoad(
                deployment.client(),
                deployment.directory(),
                report,
                Deployment.MODEL_SERVICE,
                Deployment.PLAIN_SERVICE);
        for (int caller = 0; caller < CALLERS; caller++) {
            callers.add(Thread.ofVirtual().start(() -> {
                while (!stopRequested.get()) {
                    load.sendCompletion();
                    load.sendBooking();
                }
            }));
        }
    }

    private void stopLoad() {
        stopRequested.set(true);
        callers.forEach(caller -> {
            try {
                caller.join();
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        });
        deployment.runsByOrder().values().forEach(runs -> {
            if (runs.get() > 1) {
                report.count(Outcome.RAN_TWICE);
            }
        });
    }

    /** Stops the load and asserts that it observed no violated guarantee. */
    private void assertLoadPassed() {
        stopLoad();
        assertTrue(report.passed(), report::render);
    }

    @Test
    void shouldLoseNoAcceptedChangeWhenLeaderIsKilledDuringApplies() {
        startLoad();
        long slowest = 0;
        for (int number = 2; number <= 20; number++) {
            if (number == 8) {
                deployment.kill(deployment.leader());
            }
            long start = ModelEngine.nowMilliseconds();
            var reply = deployment.apply(deployment.configurationText(number, 256 + number), ACTIVATION_TIMEOUT);
            slowest = Math.max(slowest, ModelEngine.nowMilliseconds() - start);
            boolean accepted = reply.outcome() == ApplyOutcome.ACCEPTED || reply.outcome() == ApplyOutcome.RESENT;
            assertTrue(accepted, reply::toString);
            assertTrue(reply.inForce(), reply::toString);
        }
        System.out.println("slowest apply with the leader killed: " + slowest + " ms");

        assertTrue(slowest <= 5_000, "slowest apply took more than 5000 ms: " + slowest);
        assertEquals(20, deployment.history().lines().size());
        assertLoadPassed();
    }

    @Test
    void shouldElectOtherLeaderAndAnswerNoStaleReadWhenLeaderIsFrozenAndReturns() {
        String frozen = deployment.leader();
        deployment.signal(frozen, "STOP");
        String next = Deployment.waitUntil(
                        Duration.ofSeconds(10), () -> !deployment.leader().equals(frozen))
                ? deployment.leader()
                : frozen;
        deployment.apply(deployment.configurationText(2, 300), Duration.ofSeconds(8));
        deployment.signal(frozen, "CONT");

        String address = deployment.controlAddresses().get(frozen.charAt(frozen.length() - 1) - '0');
        var stale = deployment.sendOperatorRequest(address, new OperatorRequest.ReadStatus(), Duration.ofSeconds(2));

        assertFalse(frozen.equals(next));
        assertFalse(stale.isPresent() && stale.get() instanceof StatusReply, "the deposed leader answered a read");
        assertEquals(2, deployment.configuration().configuration().orElseThrow().number());
    }

    @Test
    void shouldLoseNothingWhenEntriesAreRestartedOneByOneUnderLoad() {
        startLoad();
        for (int index = 0; index < 3; index++) {
            String name = "entry-" + index;
            assertTrue(deployment.stop(name, Duration.ofSeconds(40)), name + " did not stop");
            deployment.startEntry(index);
            int restarted = index;
            assertTrue(Deployment.waitUntil(Duration.ofSeconds(20), () -> {
                try {
                    return complete(deployment.entryAddresses().get(restarted), "back?")
                                    .join()
                                    .getStatusCode()
                            == 200;
                } catch (RuntimeException unreachable) {
                    return false;
                }
            }));
        }
        stopLoad();

        assertTrue(report.passed(), report::render);
        assertEquals(0, report.countOf(Outcome.OUTCOME_UNKNOWN), report::render);
    }

    @Test
    void shouldRunNoOrderTwiceWhenEntryIsKilledUnderLoad() {
        startLoad();
        Deployment.pause(2_000);
        deployment.kill("entry-1");
        Deployment.pause(3_000);

        assertLoadPassed();
    }

    @Test
    void shouldRunNoOrderTwiceWhenEntryIsFrozenPastItsLease() {
        startLoad();
        Deployment.pause(1_500);
        deployment.signal("entry-1", "STOP");
        Deployment.pause(6_000);
        deployment.signal("entry-1", "CONT");
        Deployment.pause(2_000);

        assertLoadPassed();
        assertTrue(
                deployment.readLog("entry-1").contains("LEASE_LAPSED"),
                "the frozen entry did not report that its lease had lapsed");
    }

    @Test
    void shouldAnswerEveryRequestWhenEndpointsCrashGoSilentAndCutStreams() {
        startLoad();
        Deployment.pause(1_000);
        deployment.engines().get(0).crash();
        deployment.announcer("brailler-lm-0").stop();
        deployment.engines().get(1).setFault(ModelEngine.Fault.SILENT);
        deployment.engines().get(2).setFault(ModelEngine.Fault.NO_END_MARK);
        deployment.engines().get(3).setFault(ModelEngine.Fault.WRONG_ATTEMPT);
        Deployment.pause(6_000);

        assertLoadPassed();
    }

    @Test
    void shouldCrashAtMostTwoEndpointsWhenOneRequestCrashesEveryEndpointThatRunsIt() {
        startLoad();
        Deployment.pause(500);
        Response last = null;
        for (int resend = 0; resend < 6; resend++) {
            last = complete(deployment.entryAddresses().get(resend % 3), Deployment.CRASH_PROMPT)
                    .join();
        }
        long crashed =
                deployment.engines().stream().filter(ModelEngine::isCrashed).count();

        assertTrue(crashed <= 2, crashed + " endpoints crashed");
        assertTrue(last.getResponseBody().contains("REQUEST_QUARANTINED"), last.getResponseBody());
        assertLoadPassed();
    }

    @Test
    void shouldSendNoWorkWhenEndpointHasAnnouncedDeparture() {
        startLoad();
        Deployment.pause(1_000);
        ModelEngine leaving = deployment.engines().get(2);
        deployment.announcer("brailler-lm-2").announceDeparture();
        Deployment.pause(2_000);
        long before = leaving.generatedTokens();
        Deployment.pause(2_000);

        assertEquals(before, leaving.generatedTokens());
        assertLoadPassed();
    }

    @Test
    void shouldRunOrderOnceWhenSeveralEntriesReceiveSameKeyAtOnce() {
        for (int round = 0; round < 20; round++) {
            String order = "race-" + round;
            List<CompletableFuture<Response>> answers = new ArrayList<>();
            for (String entry : deployment.entryAddresses()) {
                answers.add(deployment
                        .client()
                        .preparePost("http://" + entry + "/services/workshop-app/bookings")
                        .setHeader("Content-Type", "application/json")
                        .setHeader("Idempotency-Key", order)
                        .setBody("{\"order\":\"" + order + "\"}")
                        .execute()
                        .toCompletableFuture());
            }
            answers.forEach(CompletableFuture::join);

            assertEquals(1, deployment.runsByOrder().get(order).get());
        }
    }

    @Test
    void shouldRetainEveryChangeWhenDataFolderIsErasedAndSecondHostIsKilled() {
        String erased = deployment.leader().equals("control-0") ? "control-1" : "control-0";
        int index = erased.charAt(erased.length() - 1) - '0';
        for (int number = 2; number <= 120; number++) {
            deployment.apply(deployment.configurationText(number, 256 + number), Duration.ZERO);
        }
        String erasedIncarnation = voterIncarnation(erased);
        deployment.kill(erased);
        deployment.eraseDataFolder(index);
        deployment.startControl(index);
        assertTrue(
                Deployment.waitUntil(Duration.ofSeconds(25), () -> {
                    String incarnation = voterIncarnation(erased);
                    return !incarnation.isEmpty() && !incarnation.equals(erasedIncarnation);
                }),
                () -> deployment.statusJson());
        String secondKilled = "control-" + (index == 0 ? 1 : 0);
        deployment.kill(secondKilled);

        var reply = deployment.apply(deployment.configurationText(121, 300), Duration.ofSeconds(8));

        assertEquals(ApplyOutcome.ACCEPTED, reply.outcome());
        assertEquals(121, deployment.history().lines().size());
    }

    /** Returns the incarnation of a control host, or an empty string if the host is not a voter. */
    private String voterIncarnation(String name) {
        try {
            for (JsonNode host :
                    new ObjectMapper().readTree(deployment.statusJson()).path("controlHosts")) {
                if (host.path("name").asText().equals(name)
                        && host.path("voter").asBoolean()) {
                    return host.path("incarnation").asText();
                }
            }
            return "";
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }
}
