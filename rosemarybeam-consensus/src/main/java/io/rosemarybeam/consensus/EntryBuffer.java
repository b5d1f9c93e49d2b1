package io.rosemarybeam.consensus;

import java.util.ArrayList;
import java.util.List;

/**
 * The entries of the log in memory, which start after the base index. Entries up to the base index are compacted.
 *
 * <p>Invariant: {@code baseIndex <= durableIndex <= persistingIndex <= lastIndex}. Entries up to {@code durableIndex} are
 * durable, those up to {@code persistingIndex} are being persisted, later ones have not been passed to the driver yet.
 * Confined to the thread of the log.
 */
final class EntryBuffer {
    /** Term of an entry that is compacted or does not exist. */
    static final long UNKNOWN_TERM = -1;

    /**
     * Maximum size of the entries that are persisted by one sync, in bytes; a larger entry is persisted alone. A batch is copied
     * while it is encoded, and a disk that returns after a stall would otherwise get all that has waited as one batch.
     */
    static final int MAXIMUM_BATCH_BYTES = 1024 * 1024;

    private final ArrayList<LogEntry> entries = new ArrayList<>();
    private long baseIndex;
    private long baseTerm;
    private long durableIndex;
    private long persistingIndex;

    void restore(long index, long term, List<LogEntry> restored) {
        reset(index, term);
        entries.addAll(restored);
        durableIndex = lastIndex();
        persistingIndex = durableIndex;
    }

    void reset(long index, long term) {
        entries.clear();
        baseIndex = index;
        baseTerm = term;
        durableIndex = index;
        persistingIndex = index;
    }

    long baseIndex() {
        return baseIndex;
    }

    long lastIndex() {
        return baseIndex + entries.size();
    }

    long lastTerm() {
        return term(lastIndex());
    }

    long durableIndex() {
        return durableIndex;
    }

    /** Returns the term of an entry, or {@link #UNKNOWN_TERM} if it is compacted or does not exist. */
    long term(long index) {
        if (index == baseIndex) {
            return baseTerm;
        }
        if (index < baseIndex || index > lastIndex()) {
            return UNKNOWN_TERM;
        }
        return get(index).term();
    }

    LogEntry get(long index) {
        return entries.get((int) (index - baseIndex - 1));
    }

    void append(LogEntry entry) {
        if (entry.index() != lastIndex() + 1) {
            throw new IllegalArgumentException("entry " + entry.index() + " does not follow " + lastIndex());
        }
        entries.add(entry);
    }

    void truncateFrom(long index) {
        entries.subList((int) (index - baseIndex - 1), entries.size()).clear();
        durableIndex = Math.min(durableIndex, index - 1);
        persistingIndex = Math.min(persistingIndex, index - 1);
    }

    /**
     * Returns entries from {@code first} to {@code last}, both included, as far as their total size stays within
     * {@code maximumBytes}. The first entry is returned whatever its size, so that replication always advances.
     */
    List<LogEntry> between(long first, long last, int maximumBytes) {
        List<LogEntry> result = new ArrayList<>();
        int bytes = 0;
        for (long index = first; index <= last; index++) {
            LogEntry entry = get(index);
            bytes += entry.data().length;
            if (!result.isEmpty() && bytes > maximumBytes) {
                break;
            }
            result.add(entry);
        }
        return result;
    }

    boolean hasEntriesToPersist() {
        return persistingIndex < lastIndex();
    }

    List<LogEntry> startPersisting(int maximumEntries) {
        long last = Math.min(lastIndex(), persistingIndex + Math.min(maximumEntries, entries.size()));
        List<LogEntry> batch = between(persistingIndex + 1, last, MAXIMUM_BATCH_BYTES);
        persistingIndex += batch.size();
        return batch;
    }

    void finishPersisting() {
        durableIndex = persistingIndex;
    }

    /** Discards the entries up to an index. Does nothing if it is compacted already or not durable. */
    void compact(long index) {
        if (index <= baseIndex || index > durableIndex) {
            return;
        }
        long term = term(index);
        entries.subList(0, (int) (index - baseIndex)).clear();
        entries.trimToSize();
        baseIndex = index;
        baseTerm = term;
    }

    List<LogEntry> all() {
        return entries;
    }
}
