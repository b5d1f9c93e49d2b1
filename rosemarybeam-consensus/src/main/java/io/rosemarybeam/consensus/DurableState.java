package io.rosemarybeam.consensus;

import java.util.List;
import java.util.Optional;

/**
 * What storage holds when a member starts. Immutable and safe for use by several threads.
 *
 * @param hardState term and vote
 * @param snapshot the newest snapshot
 * @param entries the entries that are kept, in order; they reach back to the snapshot or further
 */
public record DurableState(HardState hardState, Optional<LogSnapshot> snapshot, List<LogEntry> entries) {
    /** Copies the list. */
    public DurableState {
        entries = List.copyOf(entries);
    }

    /**
     * Returns the state of an empty data folder.
     *
     * @return the state
     */
    public static DurableState empty() {
        return new DurableState(HardState.initial(), Optional.empty(), List.of());
    }

    /**
     * Returns whether the member holds nothing of any log.
     *
     * @return true if there is neither a snapshot nor an entry
     */
    public boolean isEmpty() {
        return snapshot.isEmpty() && entries.isEmpty();
    }
}
