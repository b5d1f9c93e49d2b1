package io.rosemarybeam.edge;

import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against streams that hold events of two software versions because a caller resumed them at another edge. */
class ResumedStreamTest {
    private static final int BREAK = 4;
    private static final int ROUNDS = 6;

    @TempDir
    Path folder;

    private final StreamingEndpoint older = new StreamingEndpoint("v1");
    private final StreamingEndpoint newer = new StreamingEndpoint("v2");
    private PlatformCluster cluster;

    @BeforeEach
    void start() {
        cluster = new PlatformCluster(folder);
        cluster.startStore();
        cluster.configure("""
                {"Version":1,"Routes":[{"Name":"r","Hostname":"%s","PathPrefix":"/x/","RouteType":"streaming",
                "Resumable":true,"TimeoutMs":15000,"TargetLatencyMs":300,"Priority":0,"Backend":"desk","MaxAttempts":2}],
                "Services":[{"Name":"desk","HealthPath":"/healthz","MaxConnections":50,"Protocol":"h1","Tls":false}]}
                """.formatted(PlatformCluster.STORE_HOST));
        cluster.announce("e-1", older.address(), 1, "v1");
        cluster.startEdge(0);
        cluster.startEdge(1);
        awaitServed(0);
        awaitServed(1);
    }

    @AfterEach
    void close() {
        cluster.close();
        older.close();
        newer.close();
    }

    private void awaitServed(int edge) {
        PlatformCluster.await(
                "the edge serves", () -> cluster.request(edge, "ready-" + edge, "x") == 200 ? true : null);
    }

    /** Announces the newer endpoint and waits until both edges know it. */
    private void release() {
        cluster.announce("e-0", newer.address(), 1, "v2");
        for (int edge = 0; edge < 2; edge++) {
            int number = edge;
            PlatformCluster.await("the edge uses the newer endpoint", () -> {
                int before = newer.requests();
                cluster.request(number, "warm-" + number + "-" + System.nanoTime(), "x");
                return newer.requests() > before ? true : null;
            });
        }
    }

    /** Begins a stream at an edge and returns the data of its events. */
    private List<String> begin(int edge, String id) {
        return cluster.stream(edge, id, "", 0).events();
    }

    @Test
    void shouldResumeAtTheVersionThatBeganTheStreamWhenTheCallerMovesToAnotherEdge() {
        release();
        older.breakAfter(BREAK);
        newer.breakAfter(BREAK);
        for (int round = 0; round < ROUNDS; round++) {
            String id = "stream-" + round;
            List<String> first = begin(0, id);

            PlatformCluster.Stream rest = cluster.stream(1, id + "-again", id, BREAK);

            assertEquals(200, rest.status());
            assertEquals(
                    List.of(first.getFirst()), rest.events().stream().distinct().toList());
        }
    }

    /** The edge that began a stream may be gone when its caller comes back. */
    @Test
    void shouldResumeAtTheVersionThatBeganTheStreamWhenItsEdgeIsGone() {
        release();
        newer.breakAfter(BREAK);
        older.breakAfter(BREAK);
        List<String> first = begin(0, "stream");
        cluster.stopEdge(0);

        PlatformCluster.Stream rest = cluster.stream(1, "again", "stream", BREAK);

        assertEquals(200, rest.status());
        assertEquals(
                List.of(first.getFirst()), rest.events().stream().distinct().toList());
    }

    /** Store hosts that were restarted in turn know no streams, and two versions leave no guess. */
    @Test
    void shouldResumeAtTheVersionThatBeganTheStreamWhenTheStoreHostsHaveRestarted() {
        release();
        newer.breakAfter(BREAK);
        older.breakAfter(BREAK);
        List<String> first = begin(0, "stream");
        cluster.stopStore();
        cluster.startStore();

        PlatformCluster.Stream rest = PlatformCluster.await("the stream goes on", () -> {
            PlatformCluster.Stream tried = cluster.stream(1, "again-" + System.nanoTime(), "stream", BREAK);
            return tried.status() == 200 ? tried : null;
        });

        assertEquals(
                List.of(first.getFirst()), rest.events().stream().distinct().toList());
    }

    /** Restarts all processes; then only the newer endpoint announces itself, because heartbeats of the older one are late. */
    private void restartAllProcesses() {
        cluster.stopEdge(0);
        cluster.stopEdge(1);
        cluster.stopStore();
        cluster.startStore();
        cluster.startEdge(0);
        cluster.startEdge(1);
        cluster.announce("e-0", newer.address(), 1, "v2", 2);
        awaitServed(0);
        awaitServed(1);
    }

    /** After a restart of all processes, streams went on at the only version that had announced itself since. */
    @Test
    void shouldNotGuessTheVersionOfAnUnknownStreamWhenTwoHadServedBeforeARestart() {
        release();
        restartAllProcesses();

        assertEquals(503, cluster.stream(1, "again", "unknown", BREAK).status());
    }

    /** A service with one version must not lose its streams because its hosts were restarted. */
    @Test
    void shouldResumeAStreamOfUnknownOriginWhenOneVersionHadServedBeforeARestart() {
        cluster.stopEdge(1);
        cluster.stopStore();
        cluster.startStore();
        cluster.startEdge(1);
        cluster.announce("e-1", older.address(), 1, "v1", 2);
        awaitServed(1);

        assertEquals(200, cluster.stream(1, "again", "unknown", BREAK).status());
    }

    @Test
    void shouldResumeAStreamOfUnknownOriginWhenItsServiceHasOneVersion() {
        assertEquals(200, cluster.stream(1, "again", "unknown", BREAK).status());
    }

    @Test
    void shouldRefuseAtOnceWhenNoHostKnowsTheVersionOfTheStream() {
        release();
        int before = older.requests() + newer.requests();

        assertEquals(503, cluster.stream(1, "again", "unknown", BREAK).status());
        assertEquals(before, older.requests() + newer.requests());
    }

    @Test
    void shouldRefuseAtOnceWhenNoEndpointOfTheVersionIsLeft() {
        older.breakAfter(BREAK);
        begin(0, "stream");
        cluster.announce("e-1", newer.address(), 2, "v2");
        PlatformCluster.await("the edge knows the release", () -> {
            cluster.request(1, "warm-" + System.nanoTime(), "x");
            return newer.requests() > 0 ? true : null;
        });

        assertEquals(503, cluster.stream(1, "again", "stream", BREAK).status());
        assertTrue(newer.requests() > 0);
    }

    /** An edge without contact to the store hosts does not know which versions there are. */
    @Test
    void shouldRefuseAStreamOfUnknownOriginWhenNoStoreHostCanBeReached() throws InterruptedException {
        cluster.stopStore();
        Thread.sleep(2_000);

        assertEquals(503, cluster.stream(1, "again", "unknown", BREAK).status());
        cluster.startStore();
    }
}
