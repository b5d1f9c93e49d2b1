package io.rosemarybeam.control.state;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Tracks the version at which each row of one membership table changed, to compute changes after a version.
 *
 * <p>Invariant: every removal after the oldest covered version is stored, so the changes after it or any later version
 * can be computed. Confined to the thread of the state machine.
 *
 * @param <K> key of the table
 */
final class MembershipVersions<K extends Comparable<K>> {
    /** Maximum number of stored removals; an entry host that lags further behind receives a full copy. */
    static final int MAXIMUM_REMOVALS = 4_096;

    private final Map<K, Long> versionByKey = new TreeMap<>();
    private final Deque<Removal<K>> removals = new ArrayDeque<>();
    private long oldestCoveredVersion;

    void recordChange(K key, long version) {
        versionByKey.put(key, version);
    }

    void recordRemoval(K key, long version) {
        versionByKey.remove(key);
        removals.addLast(new Removal<>(key, version));
        while (removals.size() > MAXIMUM_REMOVALS) {
            oldestCoveredVersion = removals.removeFirst().version;
        }
    }

    /** Returns whether the changes after a version can be computed. */
    boolean covers(long version) {
        return version >= oldestCoveredVersion;
    }

    boolean isChangedSince(K key, long version) {
        return versionByKey.getOrDefault(key, 0L) > version;
    }

    List<K> removedSince(long version) {
        return removals.stream()
                .filter(removal -> removal.version > version && !versionByKey.containsKey(removal.key))
                .map(Removal::key)
                .distinct()
                .toList();
    }

    /** Starts with a table that was restored from a snapshot; requests for older versions need a full copy. */
    void restore(Iterable<K> keys, long version) {
        versionByKey.clear();
        removals.clear();
        oldestCoveredVersion = version;
        keys.forEach(key -> versionByKey.put(key, version));
    }

    /** A removed key. Immutable. */
    private record Removal<K>(K key, long version) {}
}
