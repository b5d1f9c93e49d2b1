package io.rosemarybeam.edge;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against submissions without an answer because a message to the store hosts cannot carry them. */
class BatchRequestsTest {
    /** More than a message between processes may have, and less than a body of a caller may have. */
    private static final int BODY_CHARACTERS = 16 * 1_048_576;

    private static final int TIMEOUT_SECONDS = 10;

    /** Time in which an edge reads a long body, in milliseconds. */
    private static final long READ_MILLISECONDS = 500;

    @TempDir
    Path folder;

    private PlatformCluster cluster;

    @BeforeEach
    void startCluster() {
        cluster = new PlatformCluster(folder);
        cluster.startStore();
        cluster.configure("""
                {"Version":1,"Routes":[{"Name":"t","Hostname":"%s","PathPrefix":"/t/","RouteType":"rollout",
                "TimeoutMs":5000,"TargetLatencyMs":400,"RunAimMs":4000,"KeepS":60,"Backend":"desk","MaxAttempts":2}],
                "Services":[{"Name":"desk","HealthPath":"/healthz","MaxConnections":50,"Protocol":"h1","Tls":false,
                "Engine":{"Capacity":4,"Models":[{"Name":"model"}]}}]}
                """.formatted(PlatformCluster.STORE_HOST));
        cluster.startEdge(0);
        PlatformCluster.await("the edge serves", () -> cluster.request(0, "/none/", "", "") == 404 ? true : null);
    }

    @AfterEach
    void close() {
        cluster.close();
    }

    private int submitLongBatch() {
        return cluster.request(
                0,
                "/t/1",
                "s-1",
                "{\"Step\":0,\"Model\":\"model\",\"OldestVersion\":1,\"GroupCount\":1,\"Items\":[{\"Id\":\"i-1\","
                        + "\"Path\":\"/t/\",\"Headers\":{\"Rosemarybeam-Model\":\"model\"},\"Body\":\""
                        + "A".repeat(BODY_CHARACTERS) + "\",\"TokenCount\":1,\"Group\":\"g\"}]}");
    }

    @Test
    void shouldRejectASubmissionWhenItIsTooLongForTheStore() {
        assertEquals(413, submitLongBatch());
    }

    /** The first attempt waits for a leader, so that a later one finds that the message is too long. */
    @Test
    void shouldRejectALongSubmissionWhenALeaderIsElectedAfterItArrived() throws Exception {
        cluster.stopStore();
        CompletableFuture<Integer> status = CompletableFuture.supplyAsync(this::submitLongBatch);
        Thread.sleep(READ_MILLISECONDS);

        cluster.startStore();

        assertEquals(413, status.get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
    }

    /** A failure of the edge would make trainers repeat a call that can never succeed. */
    @Test
    void shouldRefuseReadWhenItsParametersAreMalformed() throws IOException {
        for (String query :
                new String[] {"After=x", "After=99999999999", "After=1.5", "After=%zz", "After=%", "After="}) {
            assertEquals("HTTP/1.1 400 Bad Request", cluster.read(0, "/api/lots/s-1?" + query), query);
        }
    }
}
