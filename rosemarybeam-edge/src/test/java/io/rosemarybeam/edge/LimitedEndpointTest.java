package io.rosemarybeam.edge;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against edges that together send an endpoint more requests than the rate limit that it names. */
class LimitedEndpointTest {
    private static final int EDGES = 3;
    private static final long WINDOW_MILLISECONDS = 4_000;
    private static final long PRESSURE_MILLISECONDS = 7_000;
    private static final long PAUSE_MILLISECONDS = 25;

    /** The limit holds from this time after it is first named. */
    private static final long GRACE_MILLISECONDS = 3_000;

    @TempDir
    Path folder;

    private final LimitedEndpoint first = new LimitedEndpoint();
    private final LimitedEndpoint second = new LimitedEndpoint();
    private PlatformCluster cluster;

    @BeforeEach
    void start() {
        cluster = new PlatformCluster(folder);
        cluster.startStore();
        cluster.configure("""
                {"Version":1,"Routes":[{"Name":"r","Hostname":"%s","PathPrefix":"/x/","RouteType":"idempotent",
                "TimeoutMs":2000,"TargetLatencyMs":300,"Priority":0,"Backend":"desk","MaxAttempts":2}],
                "Services":[{"Name":"desk","HealthPath":"/healthz","MaxConnections":50,"Protocol":"h1","Tls":false}]}
                """.formatted(PlatformCluster.STORE_HOST));
        cluster.announce("e-1", first.address(), 1);
        cluster.announce("e-2", second.address(), 1);
        for (int edge = 0; edge < EDGES; edge++) {
            cluster.startEdge(edge);
            int number = edge;
            PlatformCluster.await(
                    "the edge serves", () -> cluster.request(number, "ready-" + number, "x") == 200 ? true : null);
        }
    }

    @AfterEach
    void close() {
        cluster.close();
        first.close();
        second.close();
    }

    /** Sends requests to all edges at once for some time; returns how often each status was answered. */
    private Map<Integer, AtomicInteger> press(long milliseconds) throws InterruptedException {
        Map<Integer, AtomicInteger> statuses = new ConcurrentHashMap<>();
        long end = System.nanoTime() / 1_000_000 + milliseconds;
        List<Thread> callers = new ArrayList<>();
        for (int edge = 0; edge < EDGES; edge++) {
            int number = edge;
            callers.add(Thread.ofVirtual().start(() -> {
                for (int request = 0; System.nanoTime() / 1_000_000 < end; request++) {
                    int status = cluster.request(number, "r-" + number + "-" + request, "x");
                    statuses.computeIfAbsent(status, ignored -> new AtomicInteger())
                            .incrementAndGet();
                    pause();
                }
            }));
        }
        for (Thread caller : callers) {
            caller.join();
        }
        return statuses;
    }

    private static void pause() {
        try {
            Thread.sleep(PAUSE_MILLISECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private static double allowed(double rate) {
        return 1.5 * rate * WINDOW_MILLISECONDS / 1_000 + 5;
    }

    @Test
    void shouldNotExceedTheLimitOfAnEndpointWhenSeveralEdgesSendRequests() throws InterruptedException {
        first.nameLimit("1.0");
        second.nameLimit("2.5");
        long since = System.nanoTime() / 1_000_000 + GRACE_MILLISECONDS;

        Map<Integer, AtomicInteger> statuses = press(GRACE_MILLISECONDS + PRESSURE_MILLISECONDS);

        long most = first.mostRequestsWithin(WINDOW_MILLISECONDS, since);
        long mostOfSecond = second.mostRequestsWithin(WINDOW_MILLISECONDS, since);
        assertTrue(most <= allowed(1), most + " requests in 4 s at a limit of 1");
        assertTrue(mostOfSecond <= allowed(2.5), mostOfSecond + " requests in 4 s at a limit of 2.5");
        assertEquals(List.of(200, 503), statuses.keySet().stream().sorted().toList(), "the rest is refused as not run");
        assertTrue(most + mostOfSecond >= 10, most + mostOfSecond + " requests in 4 s; the limit is to be used");
    }

    @Test
    void shouldUseTheEndpointWithoutALimitWhenAnotherNamesOne() throws InterruptedException {
        first.nameLimit("1.0");
        long since = System.nanoTime() / 1_000_000 + GRACE_MILLISECONDS;

        Map<Integer, AtomicInteger> statuses = press(GRACE_MILLISECONDS + WINDOW_MILLISECONDS);

        assertTrue(first.mostRequestsWithin(WINDOW_MILLISECONDS, since) <= allowed(1));
        assertEquals(List.of(200), List.copyOf(statuses.keySet()));
    }

    @Test
    void shouldServeAllRequestsAgainWhenTheLimitIsWithdrawn() throws InterruptedException {
        first.nameLimit("2.0");
        second.nameLimit("2.0");
        press(GRACE_MILLISECONDS);
        first.nameLimit("");
        second.nameLimit("");
        press(GRACE_MILLISECONDS);

        assertEquals(List.of(200), List.copyOf(press(GRACE_MILLISECONDS).keySet()));
    }

    /** A store host that starts hears of the limits from the edges before it hears of the endpoints. */
    @Test
    void shouldKeepTheLimitWhenTheStoreRestarts() throws InterruptedException {
        first.nameLimit("1.0");
        second.nameLimit("1.0");
        press(GRACE_MILLISECONDS);
        long since = System.nanoTime() / 1_000_000;
        cluster.stopStore();
        cluster.startStore();

        press(WINDOW_MILLISECONDS);

        assertTrue(
                first.mostRequestsWithin(WINDOW_MILLISECONDS, since) <= allowed(1),
                first.mostRequestsWithin(WINDOW_MILLISECONDS, since) + " requests in 4 s at a limit of 1");
    }

    @Test
    void shouldRefuseAtOnceWhenNoStoreLeaderGrantsPermits() throws InterruptedException {
        first.nameLimit("1.0");
        second.nameLimit("1.0");
        press(GRACE_MILLISECONDS);
        cluster.stopStore();
        long since = System.nanoTime() / 1_000_000;

        press(WINDOW_MILLISECONDS);
        assertTrue(first.mostRequestsWithin(WINDOW_MILLISECONDS, since) <= allowed(1));
        cluster.startStore();
    }
}
