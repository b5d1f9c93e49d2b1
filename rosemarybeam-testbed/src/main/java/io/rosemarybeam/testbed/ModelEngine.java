package io.rosemarybeam.testbed;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;

/**
 * A stand-in for a model engine with continuous batching: the time per token grows with the size of the batch, and requests
 * beyond the capacity wait in a queue ordered by priority.
 *
 * <p>Invariant: each chunk carries the weight version that is loaded when the chunk is sent. The batch, the queue, the weight
 * version and the fencing number are guarded by the monitor of this object; any thread may set a fault.
 */
public final class ModelEngine implements AutoCloseable {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private static final int TOKENS_PER_CHUNK = 4;

    /** A fault that a test or the demo injects. */
    public enum Fault {
        /** No fault. */
        NONE,
        /** Leaves connections open and sends nothing. */
        SILENT,
        /** Takes ten times as long per token. */
        SLOW,
        /** Ends streams without the {@code [DONE]} event. */
        NO_END_MARK,
        /** Sends chunks with the identifier of another attempt. */
        WRONG_ATTEMPT,
        /** Starts to load new weights and never finishes; the engine then has no complete weight version. */
        PARTIAL_SWAP
    }

    /** A completion request in the batch or in the queue. Its position changes only on the event loop of its connection. */
    private static final class Generation {
        private final HttpExchange exchange;
        private final String attempt;
        private final String prompt;
        private final int length;
        private final int priority;
        private final long arrival;
        private int position;

        Generation(HttpExchange exchange, JsonNode body, long arrival) {
            this.exchange = exchange;
            this.attempt = exchange.header("X-Attempt-Id");
            this.prompt = body.path("prompt").asText();
            this.length = GeneratedText.length(prompt, body.path("max_tokens").asInt(16));
            this.priority = Optional.ofNullable(exchange.header("X-Priority"))
                    .map(Integer::parseInt)
                    .orElse(0);
            this.position = Optional.ofNullable(exchange.header("X-Resume-Offset"))
                    .map(Integer::parseInt)
                    .orElse(0);
            this.arrival = arrival;
        }
    }

    private final EndpointSettings settings;
    private final StandInHttpServer server;
    private final String crashPrompt;
    private final Map<String, Generation> running = new HashMap<>();
    private final PriorityQueue<Generation> waiting =
            new PriorityQueue<>(Comparator.comparingInt((Generation generation) -> generation.priority)
                    .thenComparingLong(generation -> generation.arrival));
    private final ConcurrentLinkedQueue<String> newPrefixes = new ConcurrentLinkedQueue<>();
    private final AtomicLong arrivalCount = new AtomicLong();
    private final LongAdder generatedTokens = new LongAdder();
    private volatile Fault fault = Fault.NONE;
    private volatile boolean crashed;
    private Optional<Long> weightVersion = Optional.of(1L);
    private long largestFencingNumber;

    /**
     * Starts an engine.
     *
     * @param eventLoops run the HTTP server
     * @param port port on loopback; zero selects a free port
     * @param settings identity, capacity and delays
     * @param crashPrompt the engine crashes when a prompt contains this text; empty for never
     */
    public ModelEngine(EventLoopGroup eventLoops, int port, EndpointSettings settings, String crashPrompt) {
        this.settings = settings;
        this.crashPrompt = crashPrompt;
        this.server = new StandInHttpServer(eventLoops, port, this::handle);
    }

    public EndpointSettings settings() {
        return settings;
    }

    public String baseUrl() {
        return server.baseUrl();
    }

    /**
     * Injects a fault.
     *
     * @param value the fault; {@link Fault#NONE} ends the previous one
     */
    public void setFault(Fault value) {
        fault = value;
    }

    /** Returns whether the engine has crashed or was closed. */
    public boolean isCrashed() {
        return crashed;
    }

    /**
     * Returns the weight version that is completely loaded.
     *
     * @return the version; empty while new weights load and after a partial swap
     */
    public synchronized Optional<Long> weightVersion() {
        return weightVersion;
    }

    /** Returns the number of tokens sent for all attempts, including attempts whose result is not used. */
    public long generatedTokens() {
        return generatedTokens.sum();
    }

    synchronized int runningCount() {
        return running.size();
    }

    synchronized int waitingCount() {
        return waiting.size();
    }

    /** Simulates a crash: closes the listener and all connections. */
    public void crash() {
        crashed = true;
        server.close();
    }

    @Override
    public void close() {
        crash();
    }

    private void handle(HttpExchange exchange) {
        if (fault == Fault.SILENT) {
            return;
        }
        try {
            if (exchange.uri().startsWith("/v1/completions")) {
                handleCompletion(exchange);
            } else if (exchange.uri().startsWith("/v1/attempts/")) {
                handleCancellation(exchange);
            } else if (exchange.uri().startsWith("/v1/orders")) {
                handleOrder(exchange);
            } else {
                exchange.respondJson(404, "{}");
            }
        } catch (IOException failure) {
            exchange.respondJson(400, "{\"error\":\"malformed body\"}", "X-Run", "not-run");
        }
    }

    private void handleCompletion(HttpExchange exchange) throws IOException {
        Generation generation =
                new Generation(exchange, MAPPER.readTree(exchange.body()), arrivalCount.incrementAndGet());
        if (!crashPrompt.isEmpty() && generation.prompt.contains(crashPrompt)) {
            crash();
            return;
        }
        synchronized (this) {
            if (weightVersion.isEmpty()) {
                exchange.respondJson(503, "{\"error\":\"loading weights\"}", "X-Run", "not-run");
                return;
            }
            if (running.size() >= settings.capacity()) {
                waiting.add(generation);
                return;
            }
        }
        start(generation);
    }

    private void start(Generation generation) {
        synchronized (this) {
            running.put(String.valueOf(generation.attempt), generation);
        }
        generation.exchange.startStream(generation.attempt);
        scheduleChunk(generation);
    }

    private void scheduleChunk(Generation generation) {
        int batch = runningCount();
        long perToken = settings.tokenMilliseconds() * (long) (settings.capacity() + batch) / settings.capacity();
        long delay = perToken * TOKENS_PER_CHUNK * (fault == Fault.SLOW ? 10 : 1);
        generation.exchange.schedule(Math.max(1, delay), () -> sendChunk(generation));
    }

    private void sendChunk(Generation generation) {
        if (!isRunning(generation)) {
            return;
        }
        if (!generation.exchange.isOpen()) {
            remove(generation);
            return;
        }
        if (fault == Fault.SILENT) {
            generation.exchange.schedule(100, () -> sendChunk(generation));
            return;
        }
        int count = Math.min(TOKENS_PER_CHUNK, generation.length - generation.position);
        if (count > 0) {
            generation.exchange.sendEvent(chunk(generation, count));
            generation.position += count;
            generatedTokens.add(count);
        }
        if (generation.position < generation.length) {
            scheduleChunk(generation);
            return;
        }
        if (fault != Fault.NO_END_MARK) {
            generation.exchange.sendEvent("[DONE]");
        }
        generation.exchange.endStream();
        remove(generation);
    }

    private String chunk(Generation generation, int count) {
        StringBuilder text = new StringBuilder();
        for (int offset = 0; offset < count; offset++) {
            text.append(GeneratedText.token(generation.prompt, generation.position + offset));
        }
        ObjectNode node = MAPPER.createObjectNode();
        node.put("id", fault == Fault.WRONG_ATTEMPT ? "other" : generation.attempt);
        node.put("index", generation.position);
        node.put("token_count", count);
        node.put("text", text.toString());
        weightVersion().ifPresent(version -> node.put("weight_version", version));
        return node.toString();
    }

    private synchronized boolean isRunning(Generation generation) {
        return running.get(String.valueOf(generation.attempt)) == generation;
    }

    private void remove(Generation generation) {
        Generation next;
        synchronized (this) {
            running.remove(String.valueOf(generation.attempt), generation);
            newPrefixes.add(generation.prompt);
            next = running.size() < settings.capacity() ? waiting.poll() : null;
        }
        if (next != null) {
            start(next);
        }
    }

    private void handleCancellation(HttpExchange exchange) {
        String attempt = exchange.uri().substring("/v1/attempts/".length());
        List<Generation> cancelled = new ArrayList<>();
        synchronized (this) {
            waiting.removeIf(generation -> attempt.equals(generation.attempt));
            Generation generation = running.get(attempt);
            if (generation != null) {
                cancelled.add(generation);
            }
        }
        for (Generation generation : cancelled) {
            remove(generation);
            generation.exchange.abort();
        }
        exchange.respondJson(200, "{}");
    }

    private void handleOrder(HttpExchange exchange) throws IOException {
        JsonNode order = MAPPER.readTree(exchange.body());
        long fencingNumber = order.path("fencingNumber").asLong();
        synchronized (this) {
            if (settings.checksFencing() && fencingNumber < largestFencingNumber) {
                exchange.respondJson(409, "{\"error\":\"old fencing number\"}");
                return;
            }
            largestFencingNumber = Math.max(largestFencingNumber, fencingNumber);
            if ("load-weights".equals(order.path("kind").asText())) {
                swapWeights(exchange, order.path("version").asLong());
            }
        }
        exchange.respondJson(202, "{}");
    }

    private void swapWeights(HttpExchange exchange, long version) {
        if (weightVersion.equals(Optional.of(version))) {
            return;
        }
        weightVersion = Optional.empty();
        if (fault != Fault.PARTIAL_SWAP) {
            exchange.schedule(settings.swapMilliseconds(), () -> {
                synchronized (this) {
                    weightVersion = Optional.of(version);
                }
            });
        }
    }

    /** Removes and returns the prompts that have left the batch since the last call; the endpoint reports them as cached. */
    List<String> pollNewPrefixes() {
        List<String> polled = new ArrayList<>();
        for (String prefix = newPrefixes.poll(); prefix != null; prefix = newPrefixes.poll()) {
            polled.add(prefix);
        }
        return polled;
    }

    static long nowMilliseconds() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }
}
