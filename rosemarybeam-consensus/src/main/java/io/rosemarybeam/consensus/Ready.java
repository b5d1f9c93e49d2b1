package io.rosemarybeam.consensus;

import java.util.List;
import java.util.Optional;

import io.rosemarybeam.consensus.LogMessage.Envelope;

/**
 * Pending work that the log returns to its driver.
 *
 * <p>If {@link #needsPersisting} is true, the driver persists snapshot, hard state and entries in this order, installs the
 * snapshot, and calls {@link ReplicatedLog#persisted}. Messages may be sent at once: the log defers a message that depends
 * on durable state until that state is durable. Immutable.
 *
 * @param hardState term and vote to persist
 * @param snapshot snapshot of the leader to persist and install
 * @param entries entries to persist; they replace entries with the same or a larger index
 * @param messages messages to send
 * @param committed committed entries to apply in this order
 * @param reads confirmed reads, which may be answered once the entry at their index is applied
 * @param snapshotReads parts of the stored snapshot to read, after what was to be persisted before, and to pass to
 *     {@link ReplicatedLog#snapshotRead}; one that the storage does not hold any more is dropped
 */
public record Ready(
        Optional<HardState> hardState,
        Optional<LogSnapshot> snapshot,
        List<LogEntry> entries,
        List<Envelope> messages,
        List<LogEntry> committed,
        List<ConfirmedRead> reads,
        List<SnapshotRead> snapshotReads) {
    /**
     * A read for which a majority has confirmed the leader.
     *
     * @param context number passed to {@link ReplicatedLog#readIndex}
     * @param index index of the entry that must be applied before the read is answered
     */
    public record ConfirmedRead(long context, long index) {}

    /**
     * A part of the encoded state of the stored snapshot that a member needs. Immutable.
     *
     * @param member the member
     * @param index index of the last entry that the snapshot covers
     * @param stateBytes size of the encoded state, in bytes
     * @param offset offset of the part in the encoded state, in bytes
     * @param length size of the part, in bytes
     */
    public record SnapshotRead(MemberId member, long index, int stateBytes, int offset, int length) {}

    /** Returns whether there is anything to persist, after which {@link ReplicatedLog#persisted} must be called. */
    public boolean needsPersisting() {
        return hardState.isPresent() || snapshot.isPresent() || !entries.isEmpty();
    }
}
