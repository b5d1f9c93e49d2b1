package io.rosemarybeam.edge;

import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * An endpoint that streams events whose data are its software version, and can break off its streams. Safe for use by several
 * threads.
 */
final class StreamingEndpoint implements AutoCloseable {
    static final int EVENTS = 10;

    /** Time in which an edge passes events on, in milliseconds; a crash discards those that it has not read. */
    private static final long PASS_MILLISECONDS = 150;

    private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
    private final AtomicReference<HttpServer> server;
    private final AtomicInteger requests = new AtomicInteger();
    private volatile String softwareVersion;
    private volatile int breaksAfter = EVENTS;
    private volatile boolean crashes;

    StreamingEndpoint(String softwareVersion) {
        this.softwareVersion = softwareVersion;
        try {
            server = new AtomicReference<>(open(0));
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    private HttpServer open(int port) throws IOException {
        HttpServer opened = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 50);
        opened.setExecutor(threads);
        opened.createContext("/", this::serve);
        opened.start();
        return opened;
    }

    /** Makes the endpoint close its port and all connections after an event of the next stream. */
    void crashAfter(int event) {
        breaksAfter = event;
        crashes = true;
    }

    /** Closes the port and all connections. */
    void crash() {
        server.get().stop(0);
    }

    /** Starts the endpoint again at its address after a crash. */
    void restart(String nextVersion) {
        int port = server.get().getAddress().getPort();
        softwareVersion = nextVersion;
        breaksAfter = EVENTS;
        crashes = false;
        server.set(PlatformCluster.await("the port is free", () -> open(port)));
    }

    /** Makes the endpoint close the connection of each stream after an event. */
    void breakAfter(int event) {
        breaksAfter = event;
    }

    String address() {
        return "127.0.0.1:" + server.get().getAddress().getPort();
    }

    int requests() {
        return requests.get();
    }

    private void serve(HttpExchange exchange) throws IOException {
        requests.incrementAndGet();
        exchange.getRequestBody().readAllBytes();
        String last = exchange.getRequestHeaders().getFirst("Last-Event-Id");
        exchange.getResponseHeaders()
                .set("Rosemarybeam-Request-Id", exchange.getRequestHeaders().getFirst("Rosemarybeam-Request-Id"));
        exchange.getResponseHeaders().set("Rosemarybeam-Server-Stamp", "d");
        exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
        exchange.sendResponseHeaders(200, 0);
        OutputStream body = exchange.getResponseBody();
        for (int event = last == null ? 1 : Integer.parseInt(last) + 1; event <= EVENTS; event++) {
            body.write(("id: " + event + "\ndata: " + softwareVersion + "\n\n").getBytes(StandardCharsets.UTF_8));
            body.flush();
            if (event == breaksAfter) {
                if (crashes) {
                    awaitPassedOn();
                    crash();
                }
                exchange.close();
                return;
            }
        }
        body.close();
    }

    private static void awaitPassedOn() {
        try {
            Thread.sleep(PASS_MILLISECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        server.get().stop(0);
        threads.shutdownNow();
    }
}
