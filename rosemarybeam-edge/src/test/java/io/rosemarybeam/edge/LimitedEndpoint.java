package io.rosemarybeam.edge;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * An endpoint that names a rate limit or says that it leaves while it is told to, refuses requests for other endpoints and
 * records when its own arrive.
 * Safe for use by several threads.
 */
final class LimitedEndpoint implements AutoCloseable {
    private final HttpServer server;
    private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
    private volatile String limit = "";
    private volatile boolean leaving;
    private volatile String id = "";

    /** Monotonic times of the requests, in milliseconds. */
    final List<Long> requests = new CopyOnWriteArrayList<>();

    LimitedEndpoint() {
        try {
            server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 50);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
        server.setExecutor(threads);
        server.createContext("/", this::serve);
        server.start();
    }

    /** Sets the limit that answers name; empty for none. */
    void nameLimit(String requestsPerSecond) {
        limit = requestsPerSecond;
    }

    /** Sets whether answers say that the endpoint leaves. */
    void setLeaving(boolean leaves) {
        leaving = leaves;
    }

    /** Returns the number of requests that arrived at or after a time. */
    long requestsSince(long since) {
        return requests.stream().filter(arrival -> arrival >= since).count();
    }

    /** Sets the id of this endpoint, so that it refuses requests that expect another one; empty to run them all. */
    void runAs(String endpoint) {
        id = endpoint;
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Returns the largest number of requests that arrived in a window of the given length after a time. */
    long mostRequestsWithin(long milliseconds, long since) {
        List<Long> arrivals =
                requests.stream().filter(arrival -> arrival >= since).toList();
        return arrivals.stream()
                .mapToLong(start -> arrivals.stream()
                        .filter(arrival -> arrival >= start && arrival < start + milliseconds)
                        .count())
                .max()
                .orElse(0);
    }

    private void serve(HttpExchange exchange) throws IOException {
        exchange.getRequestBody().readAllBytes();
        String expected = exchange.getRequestHeaders().getFirst("Rosemarybeam-Expect-Instance");
        if (!id.isEmpty() && !id.equals(expected)) {
            exchange.sendResponseHeaders(421, -1);
            exchange.close();
            return;
        }
        requests.add(System.nanoTime() / 1_000_000);
        exchange.getResponseHeaders()
                .set("Rosemarybeam-Request-Id", exchange.getRequestHeaders().getFirst("Rosemarybeam-Request-Id"));
        exchange.getResponseHeaders().set("Rosemarybeam-Server-Stamp", "d");
        if (!limit.isEmpty()) {
            exchange.getResponseHeaders().set("Server-Limit", limit);
        }
        if (leaving) {
            exchange.getResponseHeaders().set("Server-Leaving", "1");
        }
        byte[] body = {'o', 'k'};
        exchange.sendResponseHeaders(200, body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }
}
