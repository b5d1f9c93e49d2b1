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
 * Announces a stand-in endpoint, renews its announcement and reports its load to the entries that the system names.
 *
 * <p>Invariant: the sequence of load reports and cache events only grows within an incarnation. The endpoint list is
 * replaced as a whole; safe for use by several threads.
 */
public final class Announcer {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long INTERVAL_MILLISECONDS = 1_000;
    private static final long JITTER_MILLISECONDS = 200;

    /**
     * What an endpoint reports. Immutable.
     *
     * @param weightVersion whole weight version, or null
     * @param running requests that it runs
     * @param waiting requests that wait
     * @param newPrefixes prompts that entered its cache
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
     * Creates an announcer; {@link #start} begins its work.
     *
     * @param client sends the requests
     * @param settings the endpoint
     * @param address base URL of the endpoint
     * @param incarnation grows with every restart
     * @param modelEngine whether it is a model engine
     * @param status reads the state of the endpoint
     * @param bootstrapEntries entry addresses to announce to first
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
     * Announces now and then once per second.
     *
     * @param timer runs the renewals
     */
    public void start(ScheduledExecutorService timer) {
        long offset = Math.floorMod(settings.id().hashCode(), (int) JITTER_MILLISECONDS);
        timer.scheduleAtFixedRate(this::announce, offset, INTERVAL_MILLISECONDS, TimeUnit.MILLISECONDS);
    }

    /** Stops announcing without a word, as a crash does. */
    public void stop() {
        stopped = true;
    }

    /** Says that the endpoint leaves and stops announcing. */
    public void announceDeparture() {
        stopped = true;
        for (String entry : targets()) {
            client.prepareDelete("http://" + entry + "/v1/endpoints/" + settings.id() + "?incarnation=" + incarnation)
                    .execute();
        }
    }

    /**
     * Returns the size of an announcement.
     *
     * @return bytes of its body
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
