package io.rosemarybeam.edge;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;

import io.rosemarybeam.edge.CrashingEndpoint.End;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against an edge that fails its callers while it is cut off from the endpoints and other edges are not. */
class UnreachableEndpointsTest {
    private static final int EDGES = 3;
    private static final int ENDPOINTS = 4;
    private static final int REQUESTS = 20;
    private static final int CALLERS = 8;

    /** Edges learn of each other from the status of the store host, which it sends every 250 ms. */
    private static final long STATUS_MILLISECONDS = 1_000;

    @TempDir
    Path folder;

    private final List<CrashingEndpoint> endpoints = new ArrayList<>();
    private final List<Socket> queued = new ArrayList<>();
    private final Set<Integer> cutOff = ConcurrentHashMap.newKeySet();
    private volatile Optional<String> deadAddress = Optional.empty();
    private PlatformCluster cluster;
    private ServerSocket silentListener;

    @BeforeEach
    void startCluster() throws InterruptedException {
        cluster = new PlatformCluster(folder);
        cluster.startStore();
        cluster.configure("""
                {"Version":1,"Routes":[
                {"Name":"r","Hostname":"%s","PathPrefix":"/x/","RouteType":"idempotent",
                "TimeoutMs":1500,"TargetLatencyMs":300,"Priority":0,"Backend":"desk","MaxAttempts":2},
                {"Name":"o","Hostname":"%s","PathPrefix":"/o/","RouteType":"non_idempotent",
                "TimeoutMs":1500,"TargetLatencyMs":300,"Priority":0,"Backend":"desk","MaxAttempts":2}],
                "Services":[{"Name":"desk","HealthPath":"/healthz","MaxConnections":50,"Protocol":"h1","Tls":false}]}
                """.formatted(PlatformCluster.STORE_HOST, PlatformCluster.STORE_HOST));
        for (int number = 0; number < ENDPOINTS; number++) {
            endpoints.add(new CrashingEndpoint(new AtomicInteger(), End.CLOSED));
            cluster.announce("e-" + number, endpoints.get(number).address(), 1);
        }
        for (int edge = 0; edge < EDGES; edge++) {
            int number = edge;
            cluster.startEdge(edge, address -> destination(number, address));
            PlatformCluster.await(
                    "the edge serves", () -> cluster.request(number, "ready-" + number, "sound") == 200 ? true : null);
        }
        Thread.sleep(STATUS_MILLISECONDS);
    }

    @AfterEach
    void close() throws IOException {
        cluster.close();
        endpoints.forEach(CrashingEndpoint::close);
        for (Socket socket : queued) {
            socket.close();
        }
        if (silentListener != null) {
            silentListener.close();
        }
    }

    /** Connections to the listener are not answered, because its queue is full. */
    private void letConnectionsHang() throws IOException {
        silentListener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        for (int connection = 0; connection < 2; connection++) {
            queued.add(new Socket(InetAddress.getLoopbackAddress(), silentListener.getLocalPort()));
        }
        deadAddress = Optional.of("127.0.0.1:" + silentListener.getLocalPort());
    }

    private void letConnectionsBeRefused() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            deadAddress = Optional.of("127.0.0.1:" + socket.getLocalPort());
        }
    }

    /** Edges are on other loopback addresses than endpoints, and reach each other all the time. */
    private String destination(int edge, String address) {
        boolean isOfEndpoint = address.startsWith("127.0.0.1:");
        return isOfEndpoint && cutOff.contains(edge) ? deadAddress.orElse(address) : address;
    }

    /** Cuts edges off. The connections that they hold are closed by the endpoints, which run on. */
    private void cutOff(Integer... edges) {
        cutOff.addAll(Set.of(edges));
        endpoints.forEach(CrashingEndpoint::restart);
    }

    private List<Integer> statuses(int edge, String path) {
        return IntStream.range(0, REQUESTS)
                .mapToObj(number -> cluster.request(edge, path, path.charAt(1) + "-" + number, "sound"))
                .toList();
    }

    private void assertServed(int edge) {
        List<Integer> statuses = statuses(edge, "/x/1");
        assertEquals(List.of(200), statuses.stream().distinct().toList(), statuses.toString());
    }

    @Test
    void shouldServeCallersWhenConnectionsOfAnEdgeToEndpointsHang() throws IOException {
        letConnectionsHang();
        cutOff(0);

        assertServed(0);
    }

    @Test
    void shouldServeCallersWhenConnectionsOfMostEdgesToEndpointsAreRefused() throws IOException {
        letConnectionsBeRefused();
        cutOff(0, 1);

        assertServed(0);
        assertServed(1);
    }

    @Test
    void shouldServeOrdersWhenConnectionsOfAnEdgeToEndpointsAreRefused() throws IOException {
        letConnectionsBeRefused();
        cutOff(0);

        List<Integer> statuses = statuses(0, "/o/1");

        assertEquals(List.of(200), statuses.stream().distinct().toList(), statuses.toString());
    }

    /** Two edges that hand a request to each other would occupy both until its deadline. */
    @Test
    void shouldRefuseWithinItsTargetWhenNoEdgeReachesAnEndpoint() throws IOException {
        letConnectionsBeRefused();
        cutOff(0, 1, 2);
        cluster.request(0, "first", "sound");
        long startedAt = System.nanoTime();

        Set<Integer> statuses = new TreeSet<>(statuses(0, "/x/1"));

        long elapsed = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt);
        assertEquals(Set.of(503), statuses);
        assertTrue(elapsed <= 300L * REQUESTS, elapsed + " ms for " + REQUESTS + " refusals");
    }

    @Test
    void shouldServeCallersWhenTheLinksOfAnEdgeAreWholeAgain() throws IOException {
        letConnectionsBeRefused();
        cutOff(0);
        assertServed(0);

        cutOff.clear();

        assertServed(0);
    }

    /** A request that another edge serves depends on that edge too. */
    @Test
    void shouldAnswerEveryRequestWhenAnEdgeThatServesThoseOfAnotherOneStops() throws Exception {
        letConnectionsBeRefused();
        cutOff(0);
        assertServed(0);
        List<Integer> statuses = new CopyOnWriteArrayList<>();
        List<String> missing = new CopyOnWriteArrayList<>();
        AtomicBoolean running = new AtomicBoolean(true);
        List<Thread> callers = IntStream.range(0, CALLERS)
                .mapToObj(caller -> Thread.ofVirtual().start(() -> {
                    for (int number = 0; running.get(); number++) {
                        String id = "c-" + caller + "-" + number;
                        try {
                            statuses.add(cluster.request(0, caller % 2 == 0 ? "/x/1" : "/o/1", id, "slow"));
                        } catch (IllegalStateException noAnswer) {
                            missing.add(id + ": " + noAnswer.getMessage());
                        }
                    }
                }))
                .toList();

        Thread.sleep(STATUS_MILLISECONDS);
        cluster.stopEdge(1);
        Thread.sleep(STATUS_MILLISECONDS);
        running.set(false);
        for (Thread caller : callers) {
            caller.join();
        }

        assertEquals(List.of(), missing);
        long served = statuses.stream().filter(status -> status == 200).count();
        assertTrue(served > statuses.size() / 2, statuses::toString);
    }
}
