package io.rosemarybeam.control;

/** A clock that never goes back. Implementations are safe for use by several threads. */
@FunctionalInterface
public interface MonotonicClock {
    /**
     * Returns the time since an arbitrary origin.
     *
     * @return the time, in milliseconds
     */
    long milliseconds();

    /** Returns a clock that reads {@link System#nanoTime}. */
    static MonotonicClock system() {
        return () -> System.nanoTime() / 1_000_000;
    }
}
