package io.rosemarybeam.consensus;

/** What the leader knows of the log of another member. Confined to the thread of the log. */
final class Progress {
    private static final int NO_SNAPSHOT = 0;

    long match;
    long next;
    boolean probing = true;
    boolean probeSent;
    boolean active;
    long readRound;
    long snapshotIndex = NO_SNAPSHOT;
    int snapshotOffset;
    int heartbeatsSincePart;

    Progress(long next) {
        this.next = next;
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

    void matched(long index) {
        match = Math.max(match, index);
        next = Math.max(next, match + 1);
        probing = false;
        probeSent = false;
        if (match >= snapshotIndex) {
            snapshotIndex = NO_SNAPSHOT;
        }
    }

    void refused(long index, long hint) {
        if (index <= match) {
            return;
        }
        next = Math.max(match + 1, Math.min(index, hint + 1));
        probing = true;
        probeSent = false;
    }
}
