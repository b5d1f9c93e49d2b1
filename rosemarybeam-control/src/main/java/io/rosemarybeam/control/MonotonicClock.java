package io.rosemarybeam.control;

/** Time that never goes back. Implementations are safe for use by several threads. */
@FunctionalInterface
public interface MonotonicClock {
    /**
     * Returns the time since an arbitrary moment.
     *
     * @return the time, in milliseconds
     */
    long milliseconds();

    /**
     * Returns the clock of the machine.
     *
     * @return the clock
     */
    static MonotonicClock system() {
        return () -> System.nanoTime() / 1_000_000;
    }
}
