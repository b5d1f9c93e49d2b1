package io.rosemarybeam.common.wire;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Counts the bytes that wait in this process until sockets take them, and tells when they are too many.
 *
 * <p>Invariant: bytes are counted from the write to a connection until the socket has taken them or the connection is
 * closed. Nothing is refused here; senders of large answers that can be asked for again look at {@link #isFull}. Safe for
 * use by several threads.
 */
public final class OutputBacklog {
    /**
     * Share of the heap from which on the bytes that wait are too many. A store host has a heap of about 180 MB, an edge
     * one of 192 MB; about 22 MB are 25 of the largest pages of results.
     */
    private static final int HEAP_DIVISOR = 8;

    private static final OutputBacklog PROCESS =
            new OutputBacklog(Runtime.getRuntime().maxMemory() / HEAP_DIVISOR);

    private final long maximumBytes;
    private final AtomicLong bytes = new AtomicLong();

    private OutputBacklog(long maximumBytes) {
        this.maximumBytes = maximumBytes;
    }

    /**
     * Creates an empty backlog.
     *
     * @param maximumBytes number of bytes from which on it is full
     * @return the backlog
     * @throws IllegalArgumentException if the number is not positive
     */
    public static OutputBacklog of(long maximumBytes) {
        if (maximumBytes <= 0) {
            throw new IllegalArgumentException("maximum of " + maximumBytes + " bytes is not positive");
        }
        return new OutputBacklog(maximumBytes);
    }

    /** Returns the backlog of all connections of this process. */
    public static OutputBacklog ofProcess() {
        return PROCESS;
    }

    /**
     * Counts bytes that begin to wait.
     *
     * @param addedBytes number of bytes
     */
    public void add(long addedBytes) {
        bytes.addAndGet(addedBytes);
    }

    /**
     * Counts bytes that wait no more.
     *
     * @param removedBytes number of bytes, which were added before
     */
    public void remove(long removedBytes) {
        bytes.addAndGet(-removedBytes);
    }

    /** Returns the number of bytes that wait. */
    public long bytes() {
        return bytes.get();
    }

    /** Returns whether so many bytes wait that answers that can be asked for again are refused. */
    public boolean isFull() {
        return bytes.get() >= maximumBytes;
    }
}
