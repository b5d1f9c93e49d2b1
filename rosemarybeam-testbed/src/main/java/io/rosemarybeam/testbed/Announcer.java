package io.rosemarybeam.testbed;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.apache.commons.codec.digest.MurmurHash3;
import org.asynchttpclient.AsyncHttpClient;

/**
 * Announces a stand-in endpoint, renews the announcement and reports the load to the entry hosts that the answers to
 * earlier announcements assign.
 *
 * <p>Invariant: the sequence numbers of load reports and cache events only grow within an incarnation. The list of assigned
 * entry hosts is immutable and replaced on each change. Safe for use by several threads.
 */
public final class Announcer {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long INTERVAL_MILLISECONDS = 1_000;

    /** Range of the first delay, which spreads announcers over time; also how early a renewal may be sent. */
    private static final long JITTER_MILLISECONDS = 200;

    /**
     * State of an endpoint that goes into an announcement. Immutable.
     *
     * @param weightVersion weight version that is completely loaded; null if there is none
     * @param running number of running requests
     * @param waiting number of queued requests
     * @param newPrefixes prompts that entered the prefix cache since the last announcement
     */
    public record EndpointStatus(Long weightVersion, int running, int waiting, List<String> newPrefixes) {}

    private final AsyncHttpClient client;
    private final EndpointSettings settings;
    private final String address;
    private final long incarnation;
    private final boolean modelEngine;
    private final Supplier<EndpointStatus> status;
    private final List<String> bootstrapEntries;
    private final Map<String, Long> nextReportTimes = new ConcurrentHashMap<>();
    private final AtomicLong sequence = new AtomicLong();
    private final AtomicLong cacheSequence = new AtomicLong();
    private volatile List<String> assignedEntries = List.of();
    private volatile boolean stopped;
    private int bootstrapIndex;

    /**
     * Creates an announcer that sends nothing before {@link #start}.
     *
     * @param client sends the requests
     * @param settings identity and capacity of the endpoint
     * @param address base URL of the endpoint
     * @param incarnation incarnation of the endpoint; must grow with every restart
     * @param modelEngine whether the endpoint can resume and cancel completions
     * @param status returns the current state of the endpoint
     * @param bootstrapEntries entry addresses to use while no entry host is assigned
     */
    public Announcer(
            AsyncHttpClient client,
            EndpointSettings settings,
            String address,
            long incarnation,
            boolean modelEngine,
            Supplier<EndpointStatus> status,
            List<String> bootstrapEntries) {
        this.client = client;
        this.settings = settings;
        this.address = address;
        this.incarnation = incarnation;
        this.modelEngine = modelEngine;
        this.status = status;
        this.bootstrapEntries = List.copyOf(bootstrapEntries);
    }

    /**
     * Starts to announce the endpoint. Checks every second which entry hosts are due for a renewal.
     *
     * @param timer runs the checks
     */
    public void start(ScheduledExecutorService timer) {
        long offset = Math.floorMod(settings.id().hashCode(), (int) JITTER_MILLISECONDS);
        timer.scheduleAtFixedRate(this::announce, offset, INTERVAL_MILLISECONDS, TimeUnit.MILLISECONDS);
    }

    /** Stops announcing without a message to the entry hosts, as a crash does. */
    public void stop() {
        stopped = true;
    }

    /** Stops announcing and removes the endpoint from the entry hosts, as a graceful stop does. */
    public void announceDeparture() {
        stopped = true;
        for (String entry : targets()) {
            client.prepareDelete("http://" + entry + "/v1/endpoints/" + settings.id() + "?incarnation=" + incarnation)
                    .execute();
        }
    }

    /**
     * Builds an announcement, which advances the sequence numbers, and returns the size of its body.
     *
     * @return bytes
     */
    public int bodyBytes() {
        return announcement().toString().getBytes(StandardCharsets.UTF_8).length;
    }

    private List<String> targets() {
        List<String> assigned = assignedEntries;
        if (!assigned.isEmpty()) {
            return assigned;
        }
        bootstrapIndex = (bootstrapIndex + 1) % bootstrapEntries.size();
        return List.of(bootstrapEntries.get(bootstrapIndex));
    }

    private void announce() {
        if (stopped) {
            return;
        }
        String body = announcement().toString();
        long now = ModelEngine.nowMilliseconds();
        for (String entry : targets()) {
            if (now < nextReportTimes.getOrDefault(entry, 0L)) {
                continue;
            }
            client.preparePost("http://" + entry + "/v1/endpoints")
                    .setHeader("Content-Type", "application/json")
                    .setBody(body.getBytes(StandardCharsets.UTF_8))
                    .execute()
                    .toCompletableFuture()
                    .whenComplete((response, failure) -> {
                        if (failure != null) {
                            removeTarget(entry);
                        } else if (response.getStatusCode() == 200) {
                            applyResponse(entry, now, response.getResponseBody());
                        }
                    });
        }
    }

    private void applyResponse(String entry, long reportedAt, String responseBody) {
        try {
            JsonNode node = MAPPER.readTree(responseBody);
            long interval = node.path("renewMilliseconds").asLong();
            nextReportTimes.put(entry, reportedAt + interval - JITTER_MILLISECONDS);
            List<String> entries = new ArrayList<>();
            for (JsonNode target : node.path("reportTo")) {
                entries.add(target.asText());
            }
            if (!entries.isEmpty()) {
                assignedEntries = List.copyOf(entries);
            }
        } catch (IOException failure) {
            assignedEntries = List.of();
        }
    }

    private void removeTarget(String entry) {
        List<String> remaining = new ArrayList<>(assignedEntries);
        remaining.remove(entry);
        assignedEntries = List.copyOf(remaining);
    }

    private ObjectNode announcement() {
        EndpointStatus current = status.get();
        ObjectNode node = MAPPER.createObjectNode();
        node.put("id", settings.id().value());
        node.put("service", settings.service().value());
        node.put("address", address);
        node.put("failureDomain", settings.failureDomain().value());
        node.put("incarnation", incarnation);
        node.put("capacity", settings.capacity());
        node.put("fencing", settings.checksFencing());
        node.put("resume", modelEngine);
        node.put("cancel", modelEngine);
        node.put("keyValueTransfer", false);
        if (current.weightVersion() != null) {
            node.put("weightVersion", current.weightVersion());
        }
        ObjectNode load = node.putObject("load");
        load.put("running", current.running());
        load.put("waiting", current.waiting());
        load.put("sequence", sequence.incrementAndGet());
        ArrayNode events = node.putArray("cacheEvents");
        if (!current.newPrefixes().isEmpty()) {
            ObjectNode event = events.addObject();
            event.put("sequence", cacheSequence.incrementAndGet());
            ArrayNode added = event.putArray("added");
            current.newPrefixes().forEach(prefix -> added.add(prefixHash(prefix)));
            event.putArray("removed");
        }
        return node;
    }

    private static long prefixHash(String prompt) {
        return MurmurHash3.hash128x64(prompt.getBytes(StandardCharsets.UTF_8))[0];
    }
}
