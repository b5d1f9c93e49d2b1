package io.rosemarybeam.consensus;

import java.io.ByteArrayOutputStream;

/**
 * A snapshot that a follower is receiving in parts.
 *
 * <p>Invariant: holds a prefix of the snapshot without gaps; a part that does not start at the end of the prefix is ignored.
 * Confined to the thread of the log.
 */
final class IncomingSnapshot {
    private final long index;
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

    IncomingSnapshot(long index) {
        this.index = index;
    }

    long index() {
        return index;
    }

    /** Adds a part and returns the number of bytes received so far, which is the offset of the next part. */
    int append(LogMessage.SnapshotPart part) {
        if (part.offset() == bytes.size()) {
            bytes.writeBytes(part.data());
        }
        return bytes.size();
    }

    LogSnapshot complete(LogMessage.SnapshotPart last) {
        return new LogSnapshot(index, last.snapshotTerm(), last.membership(), bytes.toByteArray());
    }
}
