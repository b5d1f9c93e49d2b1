package io.rosemarybeam.edge;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against requests without an answer when the stop time of an edge ends before they do. */
class EdgeStopTest {
    private static final int TIMEOUT_SECONDS = 10;

    /** Time in which a request that was sent is read by the edge, in milliseconds. */
    private static final long READ_MILLISECONDS = 200;

    private static final int LONG_STOP_SECONDS = 8;

    /** Callers use an address for up to three lifetimes of one second after the stop began. */
    private static final long LATE_MILLISECONDS = 3_300;

    @TempDir
    Path folder;

    private final CountDownLatch arrived = new CountDownLatch(1);

    /** All that the endpoint has read; the store host asks it for reports too. */
    private final StringBuffer received = new StringBuffer();

    private PlatformCluster cluster;
    private ServerSocket silentEndpoint;
    private int callerPort;

    @BeforeEach
    void startCluster() throws IOException {
        cluster = new PlatformCluster(folder);
        cluster.startStore();
        cluster.configure(
                """
                {"Version":1,"Routes":[
                {"Name":"o","Hostname":"%s","PathPrefix":"/x/","RouteType":"non_idempotent",
                "TimeoutMs":5000,"TargetLatencyMs":300,"Priority":0,"Backend":"desk","MaxAttempts":2},
                {"Name":"s","Hostname":"%s","PathPrefix":"/short/","RouteType":"non_idempotent",
                "TimeoutMs":500,"TargetLatencyMs":300,"Priority":0,"Backend":"desk","MaxAttempts":2},
                {"Name":"t","Hostname":"%s","PathPrefix":"/t/","RouteType":"rollout",
                "TimeoutMs":5000,"TargetLatencyMs":400,"RunAimMs":4000,"KeepS":60,"Backend":"desk","MaxAttempts":2}],
                "Services":[{"Name":"desk","HealthPath":"/healthz","MaxConnections":50,"Protocol":"h1","Tls":false,
                "Engine":{"Capacity":4,"Models":[{"Name":"model"}]}}]}
                """.formatted(PlatformCluster.STORE_HOST, PlatformCluster.STORE_HOST, PlatformCluster.STORE_HOST));
        silentEndpoint = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Thread.ofVirtual().start(this::acceptAndStaySilent);
        cluster.announce("e-0", "127.0.0.1:" + silentEndpoint.getLocalPort(), 1);
        cluster.startEdge(0);
        PlatformCluster.await("the edge serves", () -> cluster.request(0, "/none/", "", "") == 404 ? true : null);
    }

    @AfterEach
    void close() throws IOException {
        cluster.close();
        silentEndpoint.close();
    }

    private void acceptAndStaySilent() {
        try {
            while (true) {
                Socket connection = silentEndpoint.accept();
                Thread.ofVirtual().start(() -> readUntilClosed(connection));
            }
        } catch (IOException closed) {
            arrived.countDown();
        }
    }

    private void readUntilClosed(Socket connection) {
        try (connection) {
            int next = connection.getInputStream().read();
            while (next >= 0) {
                received.append((char) next);
                arrived.countDown();
                next = connection.getInputStream().read();
            }
        } catch (IOException reset) {
            arrived.countDown();
        }
    }

    private CompletableFuture<Integer> request(String path, String id, String body) {
        CompletableFuture<Integer> status = new CompletableFuture<>();
        Thread.ofVirtual().start(() -> {
            try {
                status.complete(cluster.request(0, path, id, body));
            } catch (IllegalStateException noAnswer) {
                status.completeExceptionally(noAnswer);
            }
        });
        return status;
    }

    /** Stops an edge with a long stop time; returns when it has served for most of the time in which callers still use it. */
    private CompletableFuture<Void> stopLate() throws InterruptedException {
        cluster.setStopSeconds(LONG_STOP_SECONDS);
        cluster.startEdge(1);
        PlatformCluster.await("the edge serves", () -> cluster.request(1, "/none/", "", "") == 404 ? true : null);
        callerPort = cluster.callerPort(1);
        CompletableFuture<Void> stopped = CompletableFuture.runAsync(() -> cluster.stopEdge(1));
        Thread.sleep(LATE_MILLISECONDS);
        return stopped;
    }

    /** Guards against a request that is taken late in a planned stop, runs, and is cut off when the stop time ends. */
    @Test
    void shouldRefuseAtOnceWhenALateRequestMayOutlastTheStop() throws Exception {
        CompletableFuture<Void> stopped = stopLate();

        int status = cluster.requestAt(callerPort, "/x/1", "late-1", "body");

        assertEquals(503, status);
        assertFalse(received.toString().contains("late-1"), "the request was refused as not run");
        stopped.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    @Test
    void shouldServeALateRequestWhenItEndsBeforeTheStop() throws Exception {
        CompletableFuture<Void> stopped = stopLate();

        int status = cluster.requestAt(callerPort, "/short/1", "late-2", "body");

        assertEquals(504, status, "the endpoint is silent, so the request ends at its timeout");
        assertTrue(received.toString().contains("late-2"), "the request did not reach an endpoint");
        stopped.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** The endpoint may run the request, so neither a refusal nor a closed connection may end it. */
    @Test
    void shouldAnswerARequestThatAnEndpointRunsWhenTheStopTimeEnds() throws Exception {
        CompletableFuture<Integer> status = request("/x/1", "r-1", "body");
        assertTrue(arrived.await(TIMEOUT_SECONDS, TimeUnit.SECONDS), "the request did not reach the endpoint");

        cluster.stopEdge(0);

        assertEquals(504, status.get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
    }

    /** A submission waits for the next leader for longer than the stop time is. */
    @Test
    void shouldAnswerASubmissionWhenTheStopTimeEndsWithoutALeader() throws Exception {
        cluster.stopStore();
        String items =
                "{\"Id\":\"i-1\",\"Path\":\"/t/\",\"Headers\":{\"Rosemarybeam-Model\":\"model\"},\"Body\":\"eA==\","
                        + "\"TokenCount\":1,\"Group\":\"g\"}";
        CompletableFuture<Integer> status = request(
                "/t/1",
                "s-1",
                "{\"Step\":0,\"Model\":\"model\",\"OldestVersion\":1,\"GroupCount\":1,\"Items\":[" + items + "]}");
        Thread.sleep(READ_MILLISECONDS);

        cluster.stopEdge(0);

        assertEquals(504, status.get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        cluster.startStore();
    }
}
