package io.rosemarybeam.common.collection;

import java.util.concurrent.atomic.AtomicLong;

/** Limits the total bytes of what a process buffers, such as request bodies. Safe for use by several threads. */
public final class ByteBudget {
    private final long maximumBytes;
    private final AtomicLong used = new AtomicLong();

    /**
     * Creates a budget of which nothing is used.
     *
     * @param maximumBytes the budget, in bytes
     */
    public ByteBudget(long maximumBytes) {
        this.maximumBytes = maximumBytes;
    }

    /**
     * Reserves bytes.
     *
     * @param bytes number of bytes
     * @return false if they exceed the budget; nothing is reserved then
     */
    public boolean reserve(long bytes) {
        if (used.addAndGet(bytes) > maximumBytes) {
            used.addAndGet(-bytes);
            return false;
        }
        return true;
    }

    /**
     * Returns bytes to the budget.
     *
     * @param bytes number of bytes, which were reserved before
     */
    public void release(long bytes) {
        used.addAndGet(-bytes);
    }

    /**
     * Returns what is reserved.
     *
     * @return number of bytes
     */
    public long usedBytes() {
        return used.get();
    }
}
