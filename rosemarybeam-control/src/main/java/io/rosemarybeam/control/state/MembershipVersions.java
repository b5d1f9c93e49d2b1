package io.rosemarybeam.control.state;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Numbers the changes of one table of the membership.
 *
 * <p>Invariant: every removal after {@code floor} is remembered, so a change from any version at or after it can be told.
 * Confined to the thread of the state machine.
 *
 * @param <K> key of the table
 */
final class MembershipVersions<K extends Comparable<K>> {
    /** Removals that are remembered; an entry that is further behind gets a full copy. */
    static final int MAXIMUM_REMOVALS = 4_096;

    private final Map<K, Long> changed = new TreeMap<>();
    private final Deque<Removal<K>> removals = new ArrayDeque<>();
    private long floor;

    void changed(K key, long version) {
        changed.put(key, version);
    }

    void removed(K key, long version) {
        changed.remove(key);
        removals.addLast(new Removal<>(key, version));
        while (removals.size() > MAXIMUM_REMOVALS) {
            floor = removals.removeFirst().version;
        }
    }

    boolean covers(long version) {
        return version >= floor;
    }

    boolean isChangedSince(K key, long version) {
        return changed.getOrDefault(key, 0L) > version;
    }

    List<K> removedSince(long version) {
        return removals.stream()
                .filter(removal -> removal.version > version && !changed.containsKey(removal.key))
                .map(Removal::key)
                .distinct()
                .toList();
    }

    /** Starts with a table that was restored from a snapshot; older versions get a full copy. */
    void restore(Iterable<K> keys, long version) {
        changed.clear();
        removals.clear();
        floor = version;
        keys.forEach(key -> changed.put(key, version));
    }

    /** A removed key. Immutable. */
    private record Removal<K>(K key, long version) {}
}
