package io.rosemarybeam.decision.routing;

/**
 * Measures how long this process was unable to notice what others sent, so that it does not take them for silent.
 *
 * <p>It answers the load of a process that stalls for seconds while others work: what they have sent waits unread, and the
 * periodic work that looks for silent ones may run before it is read. The caller postpones its timeouts by the time of the
 * stall. Confined to one thread.
 */
public final class StallDetector {
    /** Delay of the periodic work that is not taken for a stall, in milliseconds. */
    private static final long TOLERATED_DELAY_MILLISECONDS = 200;

    private final long interval;
    private long last;
    private boolean hasStarted;

    /**
     * Creates a detector.
     *
     * @param intervalMilliseconds interval of the periodic work
     */
    public StallDetector(long intervalMilliseconds) {
        this.interval = intervalMilliseconds;
    }

    /**
     * Returns how long the process was stalled before this round of the periodic work; to be called in each round.
     *
     * @param now monotonic time, in milliseconds
     * @return the time by which the round is late, in milliseconds; 0 if it is about on time
     */
    public long stalledUntil(long now) {
        long late = hasStarted ? now - last - interval : 0;
        hasStarted = true;
        last = now;
        return late > TOLERATED_DELAY_MILLISECONDS ? late : 0;
    }
}
