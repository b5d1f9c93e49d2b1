package io.rosemarybeam.decision.request;

/** What the outcomes of attempts say about one endpoint. Confined to the thread of the core. */
final class EndpointHealth {
    private static final double FAILURE_WEIGHT = 0.1;
    private static final double PACE_WEIGHT = 0.05;
    private static final int FIRST_SLOTS = 1;

    /** Whether an endpoint gets work. */
    enum State {
        HEALTHY,
        EJECTED,
        RECOVERING
    }

    State state = State.HEALTHY;
    Average failureRate = new Average(FAILURE_WEIGHT);

    /** Run time per unit of size, in milliseconds: per token of a model, per answer of a plain service. */
    Average pace = new Average(PACE_WEIGHT);

    int consecutiveFailures;
    int ejections;
    long ejectedAt;
    long ejectedUntil;
    int recoveringSlots = Integer.MAX_VALUE;

    /** Lets a returning endpoint prove itself with a single attempt; old outcomes no longer count. */
    void startRecovery() {
        state = State.RECOVERING;
        recoveringSlots = FIRST_SLOTS;
        forgetOutcomes();
    }

    void forgetOutcomes() {
        failureRate = new Average(FAILURE_WEIGHT);
        pace = new Average(PACE_WEIGHT);
        consecutiveFailures = 0;
    }

    /** Doubles the attempts that a returning endpoint may run, until it may run all. */
    void succeedInRecovery(int fullSlots) {
        recoveringSlots *= 2;
        if (recoveringSlots >= fullSlots) {
            recoveringSlots = Integer.MAX_VALUE;
            state = State.HEALTHY;
        }
    }
}
