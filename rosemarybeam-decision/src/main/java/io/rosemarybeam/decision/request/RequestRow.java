package io.rosemarybeam.decision.request;

import java.util.HashSet;
import java.util.Set;

import io.rosemarybeam.common.configuration.ServiceConfiguration;
import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.WeightVersion;
import io.rosemarybeam.decision.request.RequestInput.Precedence;
import io.rosemarybeam.decision.request.RequestInput.RequestArrived;

/**
 * A request from its arrival to its final command.
 *
 * <p>Invariant: uses the service configuration that was in effect at its arrival. Confined to the thread of the core.
 */
final class RequestRow {
    /** Processing state of a request. */
    enum State {
        QUEUED,
        CLAIMING,
        RUNNING,
        /** Not queued; waits for the end of a retry delay, or for the refusal of a quarantined request. */
        WAITING_FOR_RETRY,
        DONE
    }

    final RequestArrived arrival;
    final ServiceRow service;
    final ServiceConfiguration configuration;
    final long sequence;
    final long arrivedAt;
    final Set<EndpointId> failedEndpoints = new HashSet<>(2);

    State state = State.QUEUED;
    AttemptRow attempt;
    int attempts;

    /**
     * Attempts that an endpoint refused before running, for example while it loads weights, and that were not counted.
     */
    int refusals;

    /** Whether the caller disconnected while an attempt that must not be repeated was open. */
    boolean callerDisconnected;

    boolean claimAnswered;
    boolean claimGranted;

    /** Time after which the claim permits no dispatch. */
    long claimDeadline = Long.MAX_VALUE;

    /** Whether any attempt may have run. */
    boolean mayHaveRun;

    /** Whether an endpoint sent a part of the answer, so that the request certainly ran. */
    boolean hasRun;

    /** Whether any part of the answer has been sent to the caller. */
    boolean reachedCaller;

    /** Tokens of the answer received so far. */
    int tokens;

    /** Weight version that produced them. */
    WeightVersion version;

    RequestRow(
            RequestArrived arrival, ServiceRow service, ServiceConfiguration configuration, long sequence, long now) {
        this.arrival = arrival;
        this.service = service;
        this.configuration = configuration;
        this.sequence = sequence;
        this.arrivedAt = now;
    }

    boolean isTraining() {
        return arrival.precedence() == Precedence.TRAINING;
    }

    /** Returns the run time of requests of the same kind; samples run far longer than answers to customers. */
    MovingAverage runTime() {
        return isTraining() ? service.trainingRunTime : service.customerRunTime;
    }

    String trainerName() {
        return arrival.trainer().map(trainer -> trainer.value()).orElse("");
    }

    boolean isClaimed() {
        return isClaimed(arrival);
    }

    /** Returns whether a request may run only under a claim. */
    static boolean isClaimed(RequestArrived arrival) {
        return !arrival.idempotent() && arrival.key().isPresent();
    }

    boolean needsClaim() {
        return isClaimed() && !claimGranted;
    }

    long deadline() {
        return arrival.deadlineMilliseconds();
    }

    int expectedTokens() {
        return Math.max(1, arrival.expectedTokens());
    }
}
