package io.rosemarybeam.consensus;

/**
 * Replication state that the leader maintains for another member.
 *
 * <p>While probing, the leader sends one append at a time to find the entry at which the logs match; after that it sends
 * appends without waiting for answers. A member whose next entry is compacted receives a snapshot in parts. Confined to the
 * thread of the log.
 */
final class Progress {
    /** Value of {@link #snapshotIndex} while no snapshot is sent; entries are numbered from 1. */
    private static final int NO_SNAPSHOT = 0;

    /** Last entry known to match and to be durable on the member. */
    long matchIndex;
    /** Next entry to send. */
    long nextIndex;

    boolean probing = true;
    boolean probeSent;
    /** Whether the member has answered since the last quorum check. */
    boolean recentlyActive;
    /** Last round of read confirmations that the member has answered. */
    long readRound;
    /** Last entry covered by the snapshot that is being sent. */
    long snapshotIndex = NO_SNAPSHOT;
    /** Offset of the part to send next, in bytes. */
    int snapshotOffset;

    int heartbeatsSincePart;

    Progress(long next) {
        this.nextIndex = next;
    }

    boolean isSendingSnapshot() {
        return snapshotIndex != NO_SNAPSHOT;
    }

    void startSnapshot(long index) {
        if (snapshotIndex != index) {
            snapshotIndex = index;
            snapshotOffset = 0;
        }
    }

    void recordMatch(long index) {
        matchIndex = Math.max(matchIndex, index);
        nextIndex = Math.max(nextIndex, matchIndex + 1);
        probing = false;
        probeSent = false;
        if (matchIndex >= snapshotIndex) {
            snapshotIndex = NO_SNAPSHOT;
        }
    }

    /**
     * Moves back to the hint of a rejected append.
     *
     * @param index the rejected previous index; an answer at or below the match index is outdated and ignored
     * @param hint largest index at which the logs may match
     */
    void recordRejection(long index, long hint) {
        if (index <= matchIndex) {
            return;
        }
        nextIndex = Math.max(matchIndex + 1, Math.min(index, hint + 1));
        probing = true;
        probeSent = false;
    }
}
