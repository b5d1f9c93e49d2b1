package io.rosemarybeam.decision.batch;

/**
 * Limits how many runs of items a leader starts at once.
 *
 * <p>It answers the load of a leader that takes over with all slots free and hundreds of items waiting, after an election or a
 * restart of all store hosts. To start them all in one turn of its event loop took 0.6 s there, and to open their connections as
 * long again; meanwhile the other hosts closed their connections to it as silent. A leader that keeps up reaches all slots
 * within a few turns, and one that does not takes its turns less often and so starts fewer runs.
 *
 * <p>Invariant: a turn starts at most {@link #MAXIMUM_STARTS_PER_TURN} runs, and at most {@link #MAXIMUM_OPENING} connections for
 * runs are being opened. Confined to one thread.
 */
public final class StartPacing {
    /** Runs that one turn starts at most; each takes about half a millisecond of a small host's core once it is warm. */
    public static final int MAXIMUM_STARTS_PER_TURN = 12;

    /**
     * Connections that are being opened at most. Endpoints that do not answer hold them until the connection times out, so that
     * there must be more than a single endpoint has slots.
     */
    public static final int MAXIMUM_OPENING = 16;

    private int startsInTurn;

    /** Begins a turn of the event loop. */
    public void beginTurn() {
        startsInTurn = 0;
    }

    /**
     * Returns whether a further run may be started in this turn.
     *
     * @param opening number of runs whose connections are being opened
     * @return false if the run should wait for a later turn
     */
    public boolean mayStart(int opening) {
        return startsInTurn < MAXIMUM_STARTS_PER_TURN && opening < MAXIMUM_OPENING;
    }

    /** Records that a run was started. */
    public void recordStart() {
        startsInTurn++;
    }
}
