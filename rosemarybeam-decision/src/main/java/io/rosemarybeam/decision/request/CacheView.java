package io.rosemarybeam.decision.request;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * An estimate of the prompt prefixes that one endpoint has cached.
 *
 * <p>Every gap in the sequence of cache events begins a new epoch. Each gap halves the confidence in the prefixes seen
 * before it, and prefixes that were not seen for {@link #RETAINED_EPOCHS} epochs are removed; an event or an answer
 * with the prefix restores full confidence. Invariant: the index of the service lists this endpoint under exactly the
 * prefixes in this view. Confined to the thread of the core.
 */
final class CacheView {
    /** Epochs after which a prefix that was not seen again is removed. */
    private static final int RETAINED_EPOCHS = 3;

    /** Prefixes of all endpoints of a service together; bounds the memory of the index. */
    private static final int MAXIMUM_PREFIXES_PER_SERVICE = 131_072;

    /** Bounds of the number of prefixes of one endpoint. */
    private static final int MINIMUM_PREFIXES = 64;

    private static final int MAXIMUM_PREFIXES = 4_096;

    private final EndpointRow endpoint;

    /** The epoch in which each prefix was last seen, least recently used first. */
    private final Map<Long, Integer> epochByPrefix = new LinkedHashMap<>(16, 0.75f, true);

    private int epoch;
    private long lastSequence = Long.MIN_VALUE;

    CacheView(EndpointRow endpoint) {
        this.endpoint = endpoint;
    }

    void apply(RequestInput.CacheReported report) {
        if (report.sequence() <= lastSequence) {
            return;
        }
        if (lastSequence != Long.MIN_VALUE && report.sequence() != lastSequence + 1) {
            epoch++;
            removeOldEpochs();
        }
        lastSequence = report.sequence();
        report.removed().forEach(this::remove);
        report.added().forEach(this::add);
    }

    /** Adds the prefixes of a request that the endpoint has just answered. */
    void recordAnswered(List<Long> prefixes) {
        prefixes.forEach(this::add);
    }

    /** Returns the confidence that the endpoint has a prefix cached, from 0 to 1. */
    double confidence(Long prefix) {
        Integer lastSeenEpoch = epochByPrefix.get(prefix);
        return lastSeenEpoch == null ? 0 : Math.scalb(1.0, lastSeenEpoch - epoch);
    }

    void clear() {
        new ArrayList<>(epochByPrefix.keySet()).forEach(this::remove);
    }

    int size() {
        return epochByPrefix.size();
    }

    private void add(Long prefix) {
        if (epochByPrefix.put(prefix, epoch) == null) {
            endpoint.service
                    .prefixes
                    .computeIfAbsent(prefix, key -> new ArrayList<>(2))
                    .add(endpoint);
            int limit = Math.clamp(
                    MAXIMUM_PREFIXES_PER_SERVICE / Math.max(1, endpoint.service.endpoints.size()),
                    MINIMUM_PREFIXES,
                    MAXIMUM_PREFIXES);
            if (epochByPrefix.size() > limit) {
                remove(epochByPrefix.keySet().iterator().next());
            }
        }
    }

    private void remove(Long prefix) {
        if (epochByPrefix.remove(prefix) != null) {
            removeFromIndex(prefix);
        }
    }

    private void removeOldEpochs() {
        for (Iterator<Map.Entry<Long, Integer>> entries =
                        epochByPrefix.entrySet().iterator();
                entries.hasNext(); ) {
            Map.Entry<Long, Integer> entry = entries.next();
            if (epoch - entry.getValue() >= RETAINED_EPOCHS) {
                entries.remove();
                removeFromIndex(entry.getKey());
            }
        }
    }

    private void removeFromIndex(Long prefix) {
        List<EndpointRow> holders = endpoint.service.prefixes.get(prefix);
        holders.remove(endpoint);
        if (holders.isEmpty()) {
            endpoint.service.prefixes.remove(prefix);
        }
    }
}
