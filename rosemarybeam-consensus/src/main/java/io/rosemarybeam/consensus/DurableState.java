package io.rosemarybeam.consensus;

import java.util.List;
import java.util.Optional;

/**
 * State that a member loads from its storage when it starts. Immutable and safe for use by several threads.
 *
 * @param hardState term and vote
 * @param snapshot the newest snapshot
 * @param entries the stored entries in ascending order, without a gap between them and the snapshot; the first ones may
 *     precede the end of the snapshot
 */
public record DurableState(HardState hardState, Optional<LogSnapshot> snapshot, List<LogEntry> entries) {
    /** Copies the list. */
    public DurableState {
        entries = List.copyOf(entries);
    }

    /** Returns the state of an empty data folder. */
    public static DurableState empty() {
        return new DurableState(HardState.initial(), Optional.empty(), List.of());
    }

    /** Returns whether there is neither a snapshot nor an entry; the term and vote do not count. */
    public boolean isEmpty() {
        return snapshot.isEmpty() && entries.isEmpty();
    }
}
