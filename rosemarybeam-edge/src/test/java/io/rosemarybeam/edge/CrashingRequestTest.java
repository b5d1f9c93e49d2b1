package io.rosemarybeam.edge;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;

import io.rosemarybeam.edge.CrashingEndpoint.End;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a request that crashes every endpoint that runs it, because its caller sends it again and again. */
class CrashingRequestTest {
    private static final int EDGES = 3;
    private static final int ENDPOINTS = 8;
    private static final int RESENDS = 12;
    private static final int CALLERS = 3;
    private static final long RESTART_MILLISECONDS = 300;

    /** The users allow three endpoints to crash before the request must not run any more. */
    private static final int ALLOWED_CRASHES = 3;

    /** The request that silences the third endpoint may have been hedged to a fourth one before. */
    private static final int ALLOWED_CRASHES_WITH_HEDGE = 4;

    @TempDir
    Path folder;

    private final AtomicInteger crashes = new AtomicInteger();
    private final List<CrashingEndpoint> endpoints = new ArrayList<>();
    private PlatformCluster cluster;
    private int nextSequence = 2;
    private int nextCaller;

    @BeforeEach
    void startCluster() {
        cluster = new PlatformCluster(folder);
        cluster.startStore();
        cluster.configure("""
                {"Version":1,"Routes":[{"Name":"r","Hostname":"%s","PathPrefix":"/x/","RouteType":"idempotent",
                "TimeoutMs":2000,"TargetLatencyMs":300,"Priority":0,"Backend":"desk","MaxAttempts":2},
                {"Name":"o","Hostname":"%s","PathPrefix":"/o/","RouteType":"non_idempotent",
                "TimeoutMs":2000,"TargetLatencyMs":300,"Priority":0,"Backend":"desk","MaxAttempts":2}],
                "Services":[{"Name":"desk","HealthPath":"/healthz","MaxConnections":50,"Protocol":"h1","Tls":false}]}
                """.formatted(PlatformCluster.STORE_HOST, PlatformCluster.STORE_HOST));
    }

    private void startEndpointsAndEdges(End end) {
        for (int number = 0; number < ENDPOINTS; number++) {
            endpoints.add(new CrashingEndpoint(crashes, end));
            cluster.announce("e-" + number, endpoints.get(number).address(), 1);
        }
        for (int edge = 0; edge < EDGES; edge++) {
            cluster.startEdge(edge);
            awaitServed(edge);
        }
    }

    private void sendAgainAndAgain() {
        for (int resend = 0; resend < RESENDS; resend++) {
            cluster.request(resend % EDGES, "poison-" + resend, CrashingEndpoint.POISON);
            restartCrashedEndpoints(resend + 2L);
        }
    }

    /** Sends requests to an edge until told to stop, and records each that gets no complete answer. */
    private Thread startCaller(int edge, String path, String body, AtomicBoolean running, Answers answers) {
        String name = edge + path.substring(0, 2) + body + "-" + nextCaller++ + "-";
        return Thread.ofVirtual().start(() -> {
            for (int number = 0; running.get(); number++) {
                try {
                    answers.statuses.add(cluster.request(edge, path, name + number, body));
                } catch (IllegalStateException noAnswer) {
                    answers.missing.add(name + number + ": " + noAnswer.getMessage());
                }
            }
        });
    }

    /** The statuses of answers, and the requests that got none. Safe for use by several threads. */
    private record Answers(List<Integer> statuses, List<String> missing) {
        Answers() {
            this(new CopyOnWriteArrayList<>(), new CopyOnWriteArrayList<>());
        }
    }

    @AfterEach
    void close() {
        cluster.close();
        endpoints.forEach(CrashingEndpoint::close);
    }

    private void awaitServed(int edge) {
        PlatformCluster.await(
                "the edge serves", () -> cluster.request(edge, "ready-" + edge, "sound") == 200 ? true : null);
    }

    private void restartCrashedEndpoints(long started) {
        for (int number = 0; number < ENDPOINTS; number++) {
            if (!endpoints.get(number).isRunning()) {
                endpoints.get(number).restart();
                cluster.announce("e-" + number, endpoints.get(number).address(), started);
            }
        }
    }

    private void announceAll() {
        for (int number = 0; number < ENDPOINTS; number++) {
            cluster.announce("e-" + number, endpoints.get(number).address(), RESENDS + 2L);
        }
    }

    @Test
    void shouldNotCrashMoreEndpointsWhenACrashingRequestIsSentAgainAtEveryEdge() {
        startEndpointsAndEdges(End.CLOSED);

        sendAgainAndAgain();

        assertTrue(crashes.get() <= ALLOWED_CRASHES, crashes + " endpoints crashed");
        assertEquals(200, cluster.request(0, "sound", "sound"));
    }

    @Test
    void shouldNotCrashMoreEndpointsWhenTheyFallSilentInsteadOfClosingTheirPorts() {
        startEndpointsAndEdges(End.SILENT);

        sendAgainAndAgain();

        assertTrue(crashes.get() <= ALLOWED_CRASHES_WITH_HEDGE, crashes + " endpoints crashed");
        assertEquals(200, cluster.request(0, "sound", "sound"));
    }

    @Test
    void shouldNotCrashMoreEndpointsWhenAnotherProcessAcceptsAtTheirAddressesAtOnce() {
        startEndpointsAndEdges(End.REPLACED);

        sendAgainAndAgain();

        assertTrue(crashes.get() <= ALLOWED_CRASHES, crashes + " endpoints crashed");
        assertEquals(200, cluster.request(0, "sound", "sound"));
    }

    /** All connections of the endpoint end with it, and its callers must not be taken for gone. */
    @ParameterizedTest
    @EnumSource(End.class)
    void shouldAnswerEveryRequestWhenACrashingRequestSharesItsEndpoints(End end) throws InterruptedException {
        startEndpointsAndEdges(end);
        AtomicBoolean running = new AtomicBoolean(true);
        Answers sound = new Answers();
        Answers crashing = new Answers();
        List<Thread> callers = new ArrayList<>();
        for (int edge = 0; edge < EDGES; edge++) {
            callers.add(startCaller(edge, "/x/1", CrashingEndpoint.POISON, running, crashing));
            for (int caller = 0; caller < CALLERS; caller++) {
                callers.add(startCaller(edge, "/x/1", CrashingEndpoint.SLOW, running, sound));
                callers.add(startCaller(edge, "/o/1", CrashingEndpoint.SLOW, running, sound));
            }
        }

        for (int resend = 0; resend < RESENDS; resend++) {
            Thread.sleep(RESTART_MILLISECONDS);
            restartCrashedEndpoints(resend + 2L);
        }
        running.set(false);
        for (Thread caller : callers) {
            caller.join();
        }

        assertEquals(List.of(), sound.missing);
        assertEquals(List.of(), crashing.missing);
        assertTrue(crashes.get() > 0, "no endpoint crashed");
        long served = sound.statuses.stream().filter(status -> status == 200).count();
        assertTrue(
                served > sound.statuses.size() / 2, () -> countByStatus(sound).toString());
    }

    private static Map<Integer, Long> countByStatus(Answers answers) {
        return answers.statuses.stream()
                .collect(Collectors.groupingBy(status -> status, TreeMap::new, Collectors.counting()));
    }

    /** Connections of sound requests break too, and their endpoints go on sending heartbeats. */
    @Test
    void shouldRunARequestAgainWhenTheSuspectedEndpointsSendHeartbeats() {
        startEndpointsAndEdges(End.REPLACED);
        PlatformCluster.await("the request is refused", () -> {
            int status = cluster.request(0, "broken-" + nextSequence, CrashingEndpoint.POISON);
            return status == 503 ? true : null;
        });

        PlatformCluster.await("the request runs again", () -> {
            int sequence = nextSequence++;
            for (int number = 0; number < ENDPOINTS; number++) {
                cluster.announce("e-" + number, endpoints.get(number).address(), 1, "v1", sequence);
            }
            return cluster.request(0, "again-" + sequence, CrashingEndpoint.POISON) == 502 ? true : null;
        });
    }

    @Test
    void shouldRefuseACrashingRequestWhenEdgeAndStoreStartAfterItsQuarantine() {
        startEndpointsAndEdges(End.CLOSED);
        for (int resend = 0; resend < ALLOWED_CRASHES; resend++) {
            cluster.request(0, "poison-" + resend, CrashingEndpoint.POISON);
            restartCrashedEndpoints(resend + 2L);
        }
        assertEquals(ALLOWED_CRASHES, crashes.get());

        cluster.stopStore();
        cluster.startStore();
        announceAll();
        cluster.stopEdge(1);
        cluster.startEdge(1);
        awaitServed(1);

        assertEquals(503, cluster.request(1, "poison-again", CrashingEndpoint.POISON));
        assertEquals(ALLOWED_CRASHES, crashes.get());
    }
}
