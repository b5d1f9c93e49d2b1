package io.rosemarybeam.edge;

import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against streams that hold events of two software versions because a caller resumed them at another edge. */
class ResumedStreamTest {
    private static final int BREAK = 4;
    private static final int ROUNDS = 6;

    /** Time between the crash of an endpoint and its restart, in milliseconds. */
    private static final long DOWN_MILLISECONDS = 200;

    private static final long HEARTBEAT_MILLISECONDS = 300;

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

    /** Begins a stream at the endpoint that is announced with v1, which crashes in it and runs other software afterwards. */
    private void crashAndRestart(String nextVersion) throws InterruptedException {
        release();
        newer.breakAfter(BREAK);
        older.crashAfter(BREAK);
        List<String> first = PlatformCluster.await("the stream begins at v1", () -> {
            List<String> events = begin(0, "stream");
            return events.contains("data: v1") ? events : null;
        });
        assertEquals(List.of("data: v1"), first.stream().distinct().toList());
        Thread.sleep(DOWN_MILLISECONDS);
        older.restart(nextVersion);
    }

    /** Guards against a stream that goes on at other software, because the former announcement of an endpoint is believed. */
    @Test
    void shouldNotResumeAtARestartedEndpointWhenItsHeartbeatIsLate() throws InterruptedException {
        crashAndRestart("v2");

        for (int edge = 0; edge < 2; edge++) {
            PlatformCluster.Stream rest = cluster.stream(edge, "again-" + edge, "stream", BREAK);
            assertEquals(List.of(), rest.events());
            assertEquals(503, rest.status());
        }
        cluster.announce("e-1", older.address(), 2, "v2");
        assertEquals(503, cluster.stream(1, "again", "stream", BREAK).status());
    }

    /** Guards against an edge that connects after the crash and believes the former announcement. */
    @Test
    void shouldNotResumeAtARestartedEndpointWhenTheEdgeHasStartedSince() throws InterruptedException {
        crashAndRestart("v2");
        cluster.startEdge(2);
        PlatformCluster.await("the edge serves", () -> cluster.request(2, "ready-2", "x") == 200 ? true : null);

        assertEquals(List.of(), cluster.stream(2, "again", "stream", BREAK).events());
    }

    /** Guards against an endpoint that restarts unnoticed because no request is running there when it crashes. */
    @Test
    void shouldNotResumeAtARestartedEndpointWhenNoRequestWasRunningThere() throws InterruptedException {
        older.breakAfter(BREAK);
        assertEquals(List.of("data: v1"), begin(0, "stream").stream().distinct().toList());
        older.breakAfter(StreamingEndpoint.EVENTS);
        release();
        awaitServedBy(older);

        older.crash();
        Thread.sleep(DOWN_MILLISECONDS);
        older.restart("v2");

        for (int edge = 0; edge < 2; edge++) {
            assertEquals(
                    List.of(),
                    cluster.stream(edge, "again-" + edge, "stream", BREAK).events());
        }
    }

    /** Leaves an idle connection of an edge to an endpoint. */
    private void awaitServedBy(StreamingEndpoint endpoint) {
        int before = endpoint.requests();
        PlatformCluster.await(
                "a complete answer",
                () -> cluster.request(0, "idle-" + System.nanoTime(), "x") == 200 && endpoint.requests() > before
                        ? true
                        : null);
    }

    /** Guards against streams that are refused for good because an endpoint restarted once. */
    @Test
    void shouldResumeAtARestartedEndpointWhenItAnnouncesTheSameVersion() throws InterruptedException {
        crashAndRestart("v1");
        cluster.announce("e-1", older.address(), 2, "v1");

        assertGoesOn();
    }

    /** Guards against streams that are refused for good because an endpoint refused connections for a moment. */
    @Test
    void shouldResumeAtAnEndpointWhenItsHeartbeatsGoOnAfterTheBreak() throws InterruptedException {
        crashAndRestart("v1");

        int[] sequence = {1};
        PlatformCluster.await("the stream goes on", () -> {
            sequence[0]++;
            cluster.announce("e-1", older.address(), 1, "v1", sequence[0]);
            Thread.sleep(HEARTBEAT_MILLISECONDS);
            return cluster.stream(1, "again-" + sequence[0], "stream", BREAK).status() == 200 ? true : null;
        });
    }

    /** Guards against a stream that is taken for one of the former version, although the restarted endpoint began it. */
    @Test
    void shouldNotResumeAtTheFormerVersionWhenTheStreamBeganAfterTheRestart() throws InterruptedException {
        crashAndRestart("v2");
        newer.close();
        older.breakAfter(BREAK);
        PlatformCluster.await("a stream begins at the restarted endpoint", () -> {
            return begin(0, "late").contains("data: v2") ? true : null;
        });
        try (StreamingEndpoint former = new StreamingEndpoint("v1")) {
            cluster.announce("e-2", former.address(), 1, "v1");
            older.crash();

            for (int round = 0; round < ROUNDS; round++) {
                List<String> rest =
                        cluster.stream(1, "again-" + round, "late", BREAK).events();
                assertFalse(rest.contains("data: v1"), rest::toString);
            }
        }
    }

    private void assertGoesOn() {
        PlatformCluster.Stream rest = PlatformCluster.await("the stream goes on", () -> {
            PlatformCluster.Stream tried = cluster.stream(1, "again-" + System.nanoTime(), "stream", BREAK);
            return tried.status() == 200 ? tried : null;
        });
        assertEquals(List.of("data: v1"), rest.events().stream().distinct().toList());
    }
}
