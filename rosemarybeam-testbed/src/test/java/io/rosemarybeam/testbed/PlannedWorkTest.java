package io.rosemarybeam.testbed;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.net.URI;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

import io.rosemarybeam.platform.PlatformHeaders;
import io.rosemarybeam.testbed.KeptConnection.Answer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against requests that end without a complete answer while edges get SIGTERM, SIGHUP and configurations, one after the
 * other and at the same time. Callers use their connections until the process is gone.
 */
class PlannedWorkTest {
    private static final int EDGES = 3;
    private static final int CALLERS_OF_AN_EDGE = 6;
    private static final int ENDPOINTS = 8;
    private static final int ROUNDS = 3;
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(20);

    /** Time within which a request that meets the close of its connection is not passed on, in milliseconds. */
    private static final long CROSSING_MILLISECONDS = 200;

    private static final int CONFIGURATION_MILLISECONDS = 300;
    private static final int SIGNAL_MILLISECONDS = 150;
    private static final int HEARTBEAT_MILLISECONDS = 400;
    private static final int READY_TIMEOUT_MILLISECONDS = 30_000;

    @TempDir
    Path folder;

    private final SoakReport report = new SoakReport();
    private final Map<String, AtomicInteger> outcomes = new ConcurrentSkipListMap<>();
    private final List<String> lost = new CopyOnWriteArrayList<>();
    private final List<Thread> threads = new ArrayList<>();
    private SoakDeployment deployment;
    private volatile boolean running = true;

    @BeforeEach
    void start() {
        deployment = new SoakDeployment(folder, 1, EDGES);
        deployment.start(report, ENDPOINTS, 0);
        repeat(HEARTBEAT_MILLISECONDS, deployment::announceEndpoints);
        for (int edge = 0; edge < EDGES; edge++) {
            awaitServed(edge);
        }
    }

    @AfterEach
    void stop() throws InterruptedException {
        running = false;
        for (Thread thread : threads) {
            thread.join();
        }
        deployment.close();
    }

    private void repeat(long milliseconds, Runnable action) {
        threads.add(Thread.ofVirtual().start(() -> {
            while (running) {
                action.run();
                SoakTraffic.pause(milliseconds);
            }
        }));
    }

    private InetSocketAddress addressOf(int edge) {
        URI uri = URI.create(deployment.toEdge(edge, "GET", "/").build().getUrl());
        return new InetSocketAddress(uri.getHost(), uri.getPort());
    }

    private void awaitServed(int edge) {
        long deadline = SoakReport.now() + READY_TIMEOUT_MILLISECONDS;
        while (SoakReport.now() < deadline) {
            try (KeptConnection connection = new KeptConnection(addressOf(edge))) {
                connection.send(request(SoakDeployment.LOOKUP_PATH, "ready-" + SoakReport.now(), ""));
                if (connection.read().status() == 200) {
                    return;
                }
            } catch (IOException notYet) {
                Thread.onSpinWait();
            }
            SoakTraffic.pause(50);
        }
        throw new AssertionError("edge " + edge + " does not serve");
    }

    private void startCallers() {
        for (int edge = 0; edge < EDGES; edge++) {
            for (int caller = 0; caller < CALLERS_OF_AN_EDGE; caller++) {
                int number = edge;
                Caller traffic = new Caller(number, "c" + number + "-" + caller, new Random(31L * edge + caller));
                threads.add(Thread.ofVirtual().start(traffic::run));
            }
        }
    }

    private static String request(String path, String id, String headers) {
        String body = "body of " + id;
        return "POST " + path + "x HTTP/1.1\r\nHost: " + SoakDeployment.HOST + "\r\n" + PlatformHeaders.REQUEST_ID
                + ": " + id + "\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private void count(String outcome) {
        outcomes.computeIfAbsent(outcome, ignored -> new AtomicInteger()).incrementAndGet();
    }

    private void restart(int... edges) {
        List<Thread> stops = new ArrayList<>();
        for (int edge : edges) {
            stops.add(Thread.ofVirtual().start(() -> {
                boolean stopped = deployment.processes().stop(SoakDeployment.edge(edge), STOP_TIMEOUT);
                if (!stopped) {
                    lost.add("edge " + edge + " did not stop");
                }
            }));
            SoakTraffic.pause(SIGNAL_MILLISECONDS);
            deployment.processes().signal(SoakDeployment.edge(edge), "HUP");
        }
        try {
            for (Thread stop : stops) {
                stop.join();
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        for (int edge : edges) {
            deployment.startEdge(edge);
        }
        for (int edge : edges) {
            awaitServed(edge);
        }
    }

    private void assertNothingLost() {
        running = false;
        System.out.println("planned work: " + outcomes);
        assertEquals(List.of(), lost);
        // The endpoints answer within 60 ms, and a caller may not repeat an order that was answered 504.
        assertEquals(
                0, outcomes.getOrDefault("answered 504", new AtomicInteger()).get(), outcomes::toString);
        int served = outcomes.getOrDefault("answered 200", new AtomicInteger()).get();
        int all = outcomes.values().stream().mapToInt(AtomicInteger::get).sum();
        assertTrue(served > all / 2, () -> "few requests were served: " + outcomes);
    }

    @Test
    void shouldAnswerEveryRequestWhenEdgesGetSignalsAndConfigurations() {
        startCallers();
        AtomicInteger version = new AtomicInteger(1);
        repeat(
                CONFIGURATION_MILLISECONDS,
                () -> deployment.configure(version.incrementAndGet(), 800 + version.get() % 5));
        // Edge 2 is never stopped, so that SIGHUP always finds a process that has installed its handler.
        repeat(SIGNAL_MILLISECONDS, () -> deployment.processes().signal(SoakDeployment.edge(2), "HUP"));
        for (int round = 0; round < ROUNDS; round++) {
            restart(0);
            restart(0, 1);
        }

        assertNothingLost();
    }

    /** Sends requests on a kept connection, one after the other or two at once. */
    private final class Caller {
        private final int edge;
        private final String name;
        private final Random random;
        private int number;

        Caller(int edge, String name, Random random) {
            this.edge = edge;
            this.name = name;
            this.random = random;
        }

        void run() {
            while (running) {
                try (KeptConnection connection = new KeptConnection(addressOf(edge))) {
                    boolean isOpen = true;
                    while (running && isOpen) {
                        isOpen = send(connection);
                        SoakTraffic.pause(random.nextInt(20));
                    }
                } catch (ConnectException gone) {
                    SoakTraffic.pause(20);
                } catch (IOException broken) {
                    count("connection not opened");
                }
            }
        }

        private String nextRequest(String id) {
            return switch (random.nextInt(4)) {
                case 0 -> request(SoakDeployment.ORDER_PATH, id, "");
                case 1 -> request(SoakDeployment.STREAM_PATH, id, "");
                case 2 -> "GET /api/lots/" + id + "?After=0 HTTP/1.1\r\nHost: a\r\nRosemarybeam-Wait-Ms: 500\r\n\r\n";
                default -> request(SoakDeployment.LOOKUP_PATH, id, "");
            };
        }

        /** Returns whether the connection can carry another request. */
        private boolean send(KeptConnection connection) {
            int count = random.nextInt(5) == 0 ? 2 : 1;
            List<String> ids = new ArrayList<>();
            StringBuilder text = new StringBuilder();
            for (int request = 0; request < count; request++) {
                String id = name + "-" + number++;
                ids.add(id);
                text.append(nextRequest(id));
            }
            try {
                connection.send(text.toString());
            } catch (IOException notSent) {
                count("not sent");
                return false;
            }
            long sentAt = SoakReport.now();
            for (String id : ids) {
                try {
                    Answer answer = connection.read();
                    count("answered " + answer.status());
                    if (answer.closes()) {
                        // A request behind an answer that closes the connection is not to be run.
                        ids.subList(ids.indexOf(id) + 1, ids.size()).forEach(this::checkNotRun);
                        return false;
                    }
                } catch (IOException brokenOff) {
                    checkCrossed(id, sentAt, brokenOff);
                    return false;
                }
            }
            return true;
        }

        private void checkNotRun(String id) {
            count("behind the last answer");
            if (report.hasReached(id)) {
                lost.add(id + " ran behind an answer that closed the connection");
            }
        }

        private void checkCrossed(String id, long sentAt, IOException failure) {
            long elapsed = SoakReport.now() - sentAt;
            boolean isPassedOn = report.hasReached(id);
            count(failure instanceof SocketTimeoutException ? "no answer in time" : "crossed the close");
            if (isPassedOn || elapsed > CROSSING_MILLISECONDS) {
                lost.add(id + " at edge " + edge + " after " + elapsed + " ms, passed on: " + isPassedOn + ", "
                        + failure);
            }
        }
    }
}
