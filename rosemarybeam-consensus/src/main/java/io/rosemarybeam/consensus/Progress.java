package io.rosemarybeam.consensus;

/** What the leader knows of the log of another member. Confined to the thread of the log. */
final class Progress {
    private static final int NO_SNAPSHOT = 0;

    long matchIndex;
    long nextIndex;
    boolean probing = true;
    boolean probeSent;
    boolean recentlyActive;
    long readRound;
    long snapshotIndex = NO_SNAPSHOT;
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

    void recordRejection(long index, long hint) {
        if (index <= matchIndex) {
            return;
        }
        nextIndex = Math.max(matchIndex + 1, Math.min(index, hint + 1));
        probing = true;
        probeSent = false;
    }
}
