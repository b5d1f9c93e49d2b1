package io.rosemarybeam.entry;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** Counts the HTTP requests whose answers have not been sent in full. Safe for use by several threads. */
final class OpenCalls {
    private final AtomicInteger count = new AtomicInteger();

    /**
     * Counts a request as open.
     *
     * @return a task that ends the count of this request; a second run has no effect
     */
    Runnable enter() {
        count.incrementAndGet();
        AtomicBoolean released = new AtomicBoolean();
        return () -> {
            if (released.compareAndSet(false, true)) {
                count.decrementAndGet();
            }
        };
    }

    int count() {
        return count.get();
    }
}
