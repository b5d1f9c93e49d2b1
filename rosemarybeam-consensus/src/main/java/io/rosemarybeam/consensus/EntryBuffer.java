package io.rosemarybeam.consensus;

import java.util.ArrayList;
import java.util.List;

/**
 * The entries that a member keeps in memory.
 *
 * <p>Invariant: {@code base <= stable <= inProgress <= last}. Entries up to {@code stable} are durable, those up to
 * {@code inProgress} are being persisted, the rest is unstable. Confined to the thread of the log.
 */
final class EntryBuffer {
    static final long UNKNOWN_TERM = -1;

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

    /** Returns the term of an entry, or {@link #UNKNOWN_TERM} if it is not kept. */
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
        List<LogEntry> batch = between(persistingIndex + 1, last, Integer.MAX_VALUE);
        persistingIndex = last;
        return batch;
    }

    void finishPersisting() {
        durableIndex = persistingIndex;
    }

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
