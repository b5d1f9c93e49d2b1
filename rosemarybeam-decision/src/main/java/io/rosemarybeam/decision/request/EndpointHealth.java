package io.rosemarybeam.decision.request;

/** The health of one endpoint as seen from the outcomes of attempts. Confined to the thread of the core. */
final class EndpointHealth {
    /** Weight of the latest outcome in the averages, between 0 and 1. */
    private static final double FAILURE_WEIGHT = 0.1;

    private static final double UNIT_RUN_TIME_WEIGHT = 0.05;

    /** Concurrent attempts of an endpoint that was just readmitted. */
    private static final int INITIAL_RECOVERY_SLOTS = 1;

    /** Whether an endpoint gets new work. */
    enum State {
        HEALTHY,
        EJECTED,
        RECOVERING
    }

    State state = State.HEALTHY;
    MovingAverage failureRate = new MovingAverage(FAILURE_WEIGHT);

    /** Run time per unit of work, in milliseconds: per token of a model, per answer of a plain service. */
    MovingAverage unitRunTime = new MovingAverage(UNIT_RUN_TIME_WEIGHT);

    int consecutiveFailures;

    /** Ejections since the last reset of the backoff. */
    int ejections;

    long ejectedAt;
    long ejectedUntil;

    /** Limit of concurrent attempts during recovery. */
    int recoverySlots = Integer.MAX_VALUE;

    /** Readmits an endpoint with a single slot and discards its earlier outcomes. */
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

    /** Doubles the slots of a recovering endpoint, until it is healthy at its maximum. */
    void recordRecoverySuccess(int maximumSlots) {
        recoverySlots *= 2;
        if (recoverySlots >= maximumSlots) {
            recoverySlots = Integer.MAX_VALUE;
            state = State.HEALTHY;
        }
    }
}
