package io.rosemarybeam.testbed;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoopGroup;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * A stand-in for an endpoint of a plain service: {@code POST /bookings} runs an order and must not be repeated,
 * {@code POST /score} scores a sample, {@code /runs} lists the number of runs of each order, and every other request is
 * answered with its path.
 *
 * <p>Invariant: every run of an order is counted in a map that all endpoints of the service share, so that a test can detect
 * an order that ran twice. Safe for use by several threads.
 */
public final class PlainEndpoint implements AutoCloseable {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Number of different scores, from 0 to just below 1. */
    private static final int SCORE_LEVELS = 1_000;

    private final EndpointSettings settings;
    private final Map<String, AtomicInteger> runsByOrder;
    private final StandInHttpServer server;
    private final AtomicInteger running = new AtomicInteger();
    private volatile boolean silent;

    /**
     * Starts an endpoint.
     *
     * @param eventLoops run the HTTP server
     * @param port port on loopback; zero selects a free port
     * @param settings identity, capacity and delays; the time per token is the service time of a request
     * @param runsByOrder number of runs of each order, shared by all endpoints of the service
     */
    public PlainEndpoint(
            EventLoopGroup eventLoops, int port, EndpointSettings settings, Map<String, AtomicInteger> runsByOrder) {
        this.settings = settings;
        this.runsByOrder = runsByOrder;
        this.server = new StandInHttpServer(eventLoops, port, this::handle);
    }

    /**
     * Returns an empty map for the number of runs of each order.
     *
     * @return a map that is safe for use by several threads
     */
    public static Map<String, AtomicInteger> newRunCounts() {
        return new ConcurrentHashMap<>();
    }

    public EndpointSettings settings() {
        return settings;
    }

    public String baseUrl() {
        return server.baseUrl();
    }

    /**
     * Sets whether the endpoint accepts requests without answering them.
     *
     * @param value true to answer no further request
     */
    public void setSilent(boolean value) {
        silent = value;
    }

    int runningCount() {
        return running.get();
    }

    @Override
    public void close() {
        server.close();
    }

    private void handle(HttpExchange exchange) {
        if (silent) {
            return;
        }
        if (exchange.uri().startsWith("/runs")) {
            exchange.respondJson(200, runsAsJson());
            return;
        }
        running.incrementAndGet();
        exchange.schedule(settings.tokenMilliseconds(), () -> {
            running.decrementAndGet();
            run(exchange);
        });
    }

    private String runsAsJson() {
        Map<String, Integer> runs = new ConcurrentHashMap<>();
        runsByOrder.forEach((order, count) -> runs.put(order, count.get()));
        return MAPPER.valueToTree(runs).toString();
    }

    private void run(HttpExchange exchange) {
        try {
            JsonNode body = exchange.body().length == 0 ? MAPPER.createObjectNode() : MAPPER.readTree(exchange.body());
            String attempt = exchange.header("X-Attempt-Id") == null ? "" : exchange.header("X-Attempt-Id");
            if (exchange.uri().endsWith("/bookings") && "POST".equals(exchange.method())) {
                String order = body.path("order").asText();
                int runs = runsByOrder
                        .computeIfAbsent(order, ignored -> new AtomicInteger())
                        .incrementAndGet();
                exchange.respondJson(
                        201, "{\"order\":\"" + order + "\",\"run\":" + runs + "}", "X-Attempt-Id", attempt);
            } else if (exchange.uri().endsWith("/score")) {
                exchange.respondJson(200, "{\"score\":" + score(body) + "}", "X-Attempt-Id", attempt);
            } else {
                exchange.respond(
                        200, "text/plain", exchange.uri().getBytes(StandardCharsets.UTF_8), "X-Attempt-Id", attempt);
            }
        } catch (IOException failure) {
            exchange.respondJson(400, "{\"error\":\"malformed body\"}");
        }
    }

    private static double score(JsonNode body) {
        byte[] text = body.path("text").asText().getBytes(StandardCharsets.UTF_8);
        return (MurmurHash3.hash32x86(text) & Integer.MAX_VALUE) % SCORE_LEVELS / (double) SCORE_LEVELS;
    }
}
