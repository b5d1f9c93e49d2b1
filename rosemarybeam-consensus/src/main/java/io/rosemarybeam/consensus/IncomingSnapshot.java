package io.rosemarybeam.consensus;

/**
 * A snapshot that a follower is receiving in parts.
 *
 * <p>Invariant: holds a prefix of the snapshot without gaps; a part that does not start at the end of the prefix is ignored.
 * Takes the size of the encoded state from the first part on, and never a copy of it. Confined to the thread of the log.
 */
final class IncomingSnapshot {
    private final long index;
    private final byte[] state;
    private int received;

    IncomingSnapshot(long index, int total) {
        this.index = index;
        this.state = new byte[total];
    }

    /** Returns whether a part belongs to this snapshot; the encoding of another leader may have another size. */
    boolean contains(LogMessage.SnapshotPart part) {
        return part.index() == index && part.total() == state.length;
    }

    /** Adds a part and returns the number of bytes received so far, which is the offset of the next part. */
    int append(LogMessage.SnapshotPart part) {
        if (part.offset() == received && part.data().length <= state.length - received) {
            System.arraycopy(part.data(), 0, state, received, part.data().length);
            received += part.data().length;
        }
        return received;
    }

    /** Returns the complete snapshot; nothing may be added after it. */
    LogSnapshot complete(LogMessage.SnapshotPart last) {
        return new LogSnapshot(index, last.snapshotTerm(), last.membership(), state);
    }
}
