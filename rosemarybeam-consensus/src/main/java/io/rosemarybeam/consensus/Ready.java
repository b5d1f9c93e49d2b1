package io.rosemarybeam.consensus;

import java.util.List;
import java.util.Optional;

import io.rosemarybeam.consensus.LogMessage.Envelope;

/**
 * What the driver of the log does next.
 *
 * <p>If {@link #needsPersisting} holds, the driver persists snapshot, hard state and entries in this order, installs the
 * snapshot, and calls {@link ReplicatedLog#persisted}. Messages may be sent at once: the log withholds messages that
 * depend on durable state until it is durable. Immutable.
 *
 * @param hardState term and vote to persist
 * @param snapshot snapshot from the leader to persist and install
 * @param entries entries to persist; they replace any with the same or a larger index
 * @param messages messages to send at once
 * @param committed entries to apply in order
 * @param reads reads that may be answered once the entry that they name is applied
 */
public record Ready(
        Optional<HardState> hardState,
        Optional<LogSnapshot> snapshot,
        List<LogEntry> entries,
        List<Envelope> messages,
        List<LogEntry> committed,
        List<ConfirmedRead> reads) {
    /**
     * A read that a majority confirmed.
     *
     * @param context as given to {@link ReplicatedLog#readIndex}
     * @param index entry that must be applied before the read is answered
     */
    public record ConfirmedRead(long context, long index) {}

    /**
     * Returns whether something must be persisted.
     *
     * @return true if {@link ReplicatedLog#persisted} must be called later
     */
    public boolean needsPersisting() {
        return hardState.isPresent() || snapshot.isPresent() || !entries.isEmpty();
    }
}
