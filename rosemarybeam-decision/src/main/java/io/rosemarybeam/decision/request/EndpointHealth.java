package io.rosemarybeam.decision.request;

/** What the outcomes of attempts say about one endpoint. Confined to the thread of the core. */
final class EndpointHealth {
    private static final double FAILURE_WEIGHT = 0.1;
    private static final double UNIT_RUN_TIME_WEIGHT = 0.05;
    private static final int INITIAL_RECOVERY_SLOTS = 1;

    /** Whether an endpoint gets work. */
    enum State {
        HEALTHY,
        EJECTED,
        RECOVERING
    }

    State state = State.HEALTHY;
    MovingAverage failureRate = new MovingAverage(FAILURE_WEIGHT);

    /** Run time per unit of size, in milliseconds: per token of a model, per answer of a plain service. */
    MovingAverage unitRunTime = new MovingAverage(UNIT_RUN_TIME_WEIGHT);

    int consecutiveFailures;
    int ejections;
    long ejectedAt;
    long ejectedUntil;
    int recoverySlots = Integer.MAX_VALUE;

    /** Lets a returning endpoint prove itself with a single attempt; old outcomes no longer count. */
    void startRecovery() {
        state = State.RECOVERING;
        recoverySlots = INITIAL_RECOVERY_SLOTS;
        resetOutcomes();
    }

    void resetOutcomes() {
        failureRate = new MovingAverage(FAILURE_WEIGHT);
        unitRunTime = new MovingAverage(UNIT_RUN_TIME_WEIGHT);
        consecutiveFailures = 0;
    }

    /** Doubles the attempts that a returning endpoint may run, until it may run all. */
    void recordRecoverySuccess(int fullSlots) {
        recoverySlots *= 2;
        if (recoverySlots >= fullSlots) {
            recoverySlots = Integer.MAX_VALUE;
            state = State.HEALTHY;
        }
    }
}
