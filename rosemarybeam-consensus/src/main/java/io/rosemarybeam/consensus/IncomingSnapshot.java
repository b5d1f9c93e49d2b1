package io.rosemarybeam.consensus;

import java.io.ByteArrayOutputStream;

/**
 * The parts of a snapshot that a follower has received so far.
 *
 * <p>Invariant: holds a prefix of the snapshot without gaps; a part that does not continue it is ignored. Confined to the
 * thread of the log.
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

    /** Takes a part and returns how many bytes are held then. */
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
