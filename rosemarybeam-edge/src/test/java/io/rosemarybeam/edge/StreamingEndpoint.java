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

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * An endpoint that streams events whose data are its software version, and can break off its streams. Safe for use by several
 * threads.
 */
final class StreamingEndpoint implements AutoCloseable {
    static final int EVENTS = 10;

    private final HttpServer server;
    private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
    private final String softwareVersion;
    private final AtomicInteger requests = new AtomicInteger();
    private volatile int breaksAfter = EVENTS;

    StreamingEndpoint(String softwareVersion) {
        this.softwareVersion = softwareVersion;
        try {
            server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 50);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
        server.setExecutor(threads);
        server.createContext("/", this::serve);
        server.start();
    }

    /** Makes the endpoint close the connection of each stream after an event. */
    void breakAfter(int event) {
        breaksAfter = event;
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
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
                exchange.close();
                return;
            }
        }
        body.close();
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }
}
