package io.rosemarybeam.entry;

import java.util.concurrent.TimeUnit;

/** A clock that never goes back and continues while the process is paused. Safe for use by several threads. */
@FunctionalInterface
interface MonotonicClock {
    /**
     * Returns the time.
     *
     * @return milliseconds since an arbitrary origin
     */
    long nowMilliseconds();

    /**
     * Returns the clock of the system.
     *
     * @return a clock whose first reading is at least one second, so that zero can mean "never"
     */
    static MonotonicClock system() {
        long startNanoseconds = System.nanoTime() - TimeUnit.SECONDS.toNanos(1);
        return () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanoseconds);
    }
}
