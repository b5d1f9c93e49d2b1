package io.rosemarybeam.entry;

import java.util.concurrent.atomic.AtomicLong;

/** Bounds the bytes of all bodies that the process holds at once. Safe for use by several threads. */
final class ByteBudget {
    private final long maximumBytes;
    private final AtomicLong used = new AtomicLong();

    ByteBudget(long maximumBytes) {
        this.maximumBytes = maximumBytes;
    }

    /**
     * Reserves bytes.
     *
     * @param bytes how many
     * @return false if they do not fit; nothing is reserved then
     */
    boolean reserve(long bytes) {
        if (used.addAndGet(bytes) > maximumBytes) {
            used.addAndGet(-bytes);
            return false;
        }
        return true;
    }

    void release(long bytes) {
        used.addAndGet(-bytes);
    }

    long usedBytes() {
        return used.get();
    }
}
