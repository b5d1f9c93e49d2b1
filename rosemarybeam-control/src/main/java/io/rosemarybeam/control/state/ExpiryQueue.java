package io.rosemarybeam.control.state;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;

/**
 * Keys in order of their expiry. A key that is added again with a later time remains at its earlier time too, so the
 * table compares its own deadline when a key is polled.
 *
 * <p>Not safe for use by several threads.
 *
 * @param <K> type of the keys
 */
final class ExpiryQueue<K> {
    private final TreeMap<Long, Set<K>> keysByTime = new TreeMap<>();

    void add(long time, K key) {
        keysByTime.computeIfAbsent(time, ignored -> new LinkedHashSet<>(1)).add(key);
    }

    List<K> pollExpired(long now) {
        List<K> expired = new ArrayList<>();
        while (!keysByTime.isEmpty() && keysByTime.firstKey() <= now) {
            expired.addAll(keysByTime.pollFirstEntry().getValue());
        }
        return expired;
    }

    long nextExpiry() {
        return keysByTime.isEmpty() ? Long.MAX_VALUE : keysByTime.firstKey();
    }

    void clear() {
        keysByTime.clear();
    }
}
