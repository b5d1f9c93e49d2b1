package io.rosemarybeam.decision.request;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The prompt prefixes that one endpoint is believed to hold.
 *
 * <p>Every gap in the events begins a new epoch. What was learned in earlier epochs is trusted half as much for each gap
 * since and dropped after a few; events and answers after the gap restore trust prefix by prefix. Invariant: every
 * prefix that is held here is listed in the index of the service, and no other. Confined to the thread of the core.
 */
final class CacheView {
    private static final int EPOCHS_KEPT = 3;

    /** Prefixes of all endpoints of a service together; bounds the memory. */
    private static final int PREFIXES_PER_SERVICE = 131_072;

    private static final int LEAST_PREFIXES = 64;
    private static final int MOST_PREFIXES = 4_096;

    private final EndpointRow endpoint;
    private final Map<Long, Integer> epochs = new LinkedHashMap<>(16, 0.75f, true);
    private int epoch;
    private long lastSequence = Long.MIN_VALUE;

    CacheView(EndpointRow endpoint) {
        this.endpoint = endpoint;
    }

    void report(RequestInput.CacheReported report) {
        if (report.sequence() <= lastSequence) {
            return;
        }
        if (lastSequence != Long.MIN_VALUE && report.sequence() != lastSequence + 1) {
            epoch++;
            dropOldEpochs();
        }
        lastSequence = report.sequence();
        report.removed().forEach(this::drop);
        report.added().forEach(this::hold);
    }

    /** Notes that the endpoint has just answered a request with these prefixes. */
    void answered(List<Long> prefixes) {
        prefixes.forEach(this::hold);
    }

    /** Returns how far the endpoint is trusted to hold a prefix, from 0 to 1. */
    double trust(Long prefix) {
        Integer learned = epochs.get(prefix);
        return learned == null ? 0 : Math.scalb(1.0, learned - epoch);
    }

    void clear() {
        new ArrayList<>(epochs.keySet()).forEach(this::drop);
    }

    int size() {
        return epochs.size();
    }

    private void hold(Long prefix) {
        if (epochs.put(prefix, epoch) == null) {
            endpoint.service
                    .prefixes
                    .computeIfAbsent(prefix, key -> new ArrayList<>(2))
                    .add(endpoint);
            int limit = Math.clamp(
                    PREFIXES_PER_SERVICE / Math.max(1, endpoint.service.endpoints.size()),
                    LEAST_PREFIXES,
                    MOST_PREFIXES);
            if (epochs.size() > limit) {
                drop(epochs.keySet().iterator().next());
            }
        }
    }

    private void drop(Long prefix) {
        if (epochs.remove(prefix) != null) {
            removeFromIndex(prefix);
        }
    }

    private void dropOldEpochs() {
        for (Iterator<Map.Entry<Long, Integer>> entries = epochs.entrySet().iterator(); entries.hasNext(); ) {
            Map.Entry<Long, Integer> entry = entries.next();
            if (epoch - entry.getValue() >= EPOCHS_KEPT) {
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
