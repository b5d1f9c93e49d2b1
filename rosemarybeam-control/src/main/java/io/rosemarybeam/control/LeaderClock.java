package io.rosemarybeam.control;

/**
 * Clock of a leader; its time is part of every command.
 *
 * <p>Invariant: it starts at the time of the last applied command and advances at the rate of the monotonic clock, so
 * it never goes back and never runs ahead of real time when leadership moves. It does not advance while no host leads,
 * which only delays expiry. Confined to the control executor.
 */
public final class LeaderClock {
    private final MonotonicClock monotonic;
    private final long startTime;
    private final long baseTime;

    /**
     * Starts the clock of a new leader.
     *
     * @param monotonic monotonic clock of this machine
     * @param baseTime leader time of the last applied command, in milliseconds
     */
    public LeaderClock(MonotonicClock monotonic, long baseTime) {
        this.monotonic = monotonic;
        this.startTime = monotonic.milliseconds();
        this.baseTime = baseTime;
    }

    /**
     * Returns the time of the monotonic clock of this machine, which is not comparable between hosts.
     *
     * @return the time, in milliseconds
     */
    public long now() {
        return monotonic.milliseconds();
    }

    /**
     * Returns the leader time, which continues that of former leaders.
     *
     * @return the time, in milliseconds
     */
    public long leaderTime() {
        return baseTime + monotonic.milliseconds() - startTime;
    }
}
