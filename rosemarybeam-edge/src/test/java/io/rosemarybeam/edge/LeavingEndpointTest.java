package io.rosemarybeam.edge;

import java.nio.file.Path;
import java.util.stream.IntStream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against requests to an endpoint whose answers have said that it leaves, whatever its heartbeats say. */
class LeavingEndpointTest {
    private static final int REQUESTS = 30;

    /** Time for an edge to learn from the store what another edge has read. */
    private static final long PROPAGATION_MILLISECONDS = 500;

    @TempDir
    Path folder;

    private final LimitedEndpoint leaving = new LimitedEndpoint();
    private final LimitedEndpoint staying = new LimitedEndpoint();
    private PlatformCluster cluster;
    private int requests;

    @BeforeEach
    void start() {
        cluster = new PlatformCluster(folder);
        cluster.startStore();
        cluster.configure("""
                {"Version":1,"Routes":[{"Name":"r","Hostname":"%s","PathPrefix":"/x/","RouteType":"idempotent",
                "TimeoutMs":2000,"TargetLatencyMs":300,"Priority":0,"Backend":"desk","MaxAttempts":2}],
                "Services":[{"Name":"desk","HealthPath":"/healthz","MaxConnections":50,"Protocol":"h1","Tls":false}]}
                """.formatted(PlatformCluster.STORE_HOST));
        cluster.announce("e-1", leaving.address(), 1);
        cluster.announce("e-2", staying.address(), 1);
        startEdge(0);
        startEdge(1);
    }

    @AfterEach
    void close() {
        cluster.close();
        leaving.close();
        staying.close();
    }

    private void startEdge(int edge) {
        cluster.startEdge(edge);
        PlatformCluster.await("the edge serves", () -> send(edge) == 200 ? true : null);
    }

    private int send(int edge) {
        return cluster.request(edge, "r-" + requests++, "x");
    }

    /** Sends requests to some edges, which must be served, and checks that the leaving endpoint gets none of them. */
    private void checkUnused(int... edges) {
        int before = leaving.requests.size();
        for (int edge : edges) {
            IntStream.range(0, REQUESTS).forEach(ignored -> assertEquals(200, send(edge)));
        }
        assertEquals(before, leaving.requests.size());
    }

    /** Lets the endpoint leave, and sends requests until one of its answers has said so. */
    private void leave(int edge) {
        long since = now();
        leaving.setLeaving(true);
        PlatformCluster.await("the endpoint has answered", () -> {
            assertEquals(200, send(edge));
            return leaving.requestsSince(since) > 0 ? true : null;
        });
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }

    private static void awaitPropagation() throws InterruptedException {
        Thread.sleep(PROPAGATION_MILLISECONDS);
    }

    @Test
    void shouldSendNoRequestWhenAnAnswerSaidThatTheEndpointLeaves() {
        leave(0);

        checkUnused(0);
    }

    @Test
    void shouldSendNoRequestWhenAnotherEdgeReadThatTheEndpointLeaves() throws InterruptedException {
        leave(0);
        awaitPropagation();

        checkUnused(1);
    }

    @Test
    void shouldSendNoRequestWhenNoStoreIsReachable() {
        cluster.stopStore();
        leave(0);

        checkUnused(0);
        cluster.startStore();
    }

    @Test
    void shouldSendNoRequestWhenALaterHeartbeatSaysThatTheEndpointIsReady() throws InterruptedException {
        leave(0);
        awaitPropagation();
        cluster.announce("e-1", leaving.address(), 1, "v1", 2);
        awaitPropagation();

        checkUnused(0, 1);
    }

    /** The store holds announcements in memory only, so a restarted one learns from the edges that the endpoint leaves. */
    @Test
    void shouldSendNoRequestWhenTheStoreHasRestarted() throws InterruptedException {
        leave(0);
        cluster.stopStore();
        cluster.startStore();
        cluster.announce("e-1", leaving.address(), 1, "v1", 3);
        cluster.announce("e-2", staying.address(), 1, "v1", 3);
        startEdge(2);
        awaitPropagation();

        checkUnused(2, 0);
    }

    /** Fails in the wait, if the restarted endpoint is never used. */
    @Test
    void shouldSendRequestsAgainWhenTheEndpointHasRestartedUnderItsIdAndAddress() {
        leave(0);
        leaving.setLeaving(false);
        long since = now();
        cluster.announce("e-1", leaving.address(), 2);

        PlatformCluster.await("the restarted endpoint is used", () -> {
            assertEquals(200, send(0));
            return leaving.requestsSince(since) > 0 ? true : null;
        });
    }
}
