package io.rosemarybeam.entry;

import java.util.concurrent.atomic.AtomicLong;

/** Limits the total bytes of the request bodies that the process buffers. Safe for use by several threads. */
final class ByteBudget {
    private final long maximumBytes;
    private final AtomicLong used = new AtomicLong();

    ByteBudget(long maximumBytes) {
        this.maximumBytes = maximumBytes;
    }

    /**
     * Reserves bytes.
     *
     * @return false if they exceed the budget; nothing is reserved then
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
