package io.rosemarybeam.control;

/**
 * Time of a leader, put into its commands.
 *
 * <p>Invariant: it starts at the time of the last applied command and runs at the speed of the monotonic clock, so it
 * never goes back and never runs ahead of real time when leadership moves. It stands still while no host leads, which
 * only delays expiry. Confined to the control executor.
 */
public final class LeaderClock {
    private final MonotonicClock monotonic;
    private final long electedAt;
    private final long base;

    /**
     * Starts the clock of a new leader.
     *
     * @param monotonic time of this machine
     * @param base time of the last applied command, in milliseconds
     */
    public LeaderClock(MonotonicClock monotonic, long base) {
        this.monotonic = monotonic;
        this.electedAt = monotonic.milliseconds();
        this.base = base;
    }

    /**
     * Returns the time of this machine.
     *
     * @return the time, in milliseconds
     */
    public long now() {
        return monotonic.milliseconds();
    }

    /**
     * Returns the time of the leader.
     *
     * @return the time, in milliseconds
     */
    public long leaderTime() {
        return base + monotonic.milliseconds() - electedAt;
    }
}
