package io.rosemarybeam.decision.request;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.rosemarybeam.common.configuration.OperatorConfiguration;
import io.rosemarybeam.common.id.AttemptId;
import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.Fingerprint;
import io.rosemarybeam.common.id.IdempotencyKey;
import io.rosemarybeam.common.id.RequestId;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.id.TrainerName;
import io.rosemarybeam.common.id.WeightVersion;
import io.rosemarybeam.common.wire.ControlReply.ClaimState;
import io.rosemarybeam.common.wire.MembershipDelta;
import io.rosemarybeam.common.wire.RequestOutcome;

/** What the request core learns from outside. Immutable and safe for use by several threads. */
public sealed interface RequestInput {
    /** The timer fired. */
    record Tick() implements RequestInput {}

    // ---- Requests ----

    /** Whose work a request is; customers go before training. */
    enum Precedence {
        /** Work for a customer. */
        CUSTOMER,
        /** A sample for a trainer. */
        TRAINING
    }

    /**
     * A request arrived.
     *
     * @param request its id
     * @param service the service that is asked
     * @param precedence whose work it is
     * @param trainer the trainer, for training work
     * @param idempotent whether it may be run more than once
     * @param key key under which the caller resends a non-idempotent request
     * @param fingerprint digest of service and body
     * @param prefixHashes hashes of ever longer prefixes of the prompt, shortest first
     * @param expectedTokens how many tokens the answer is expected to have; 1 for plain services
     * @param deadlineMilliseconds when the answer must be complete
     * @param minimumVersion oldest weight version that may serve it
     * @param avoid endpoints that must not serve it, because another attempt of the same sample runs there
     */
    record RequestArrived(
            RequestId request,
            ServiceName service,
            Precedence precedence,
            Optional<TrainerName> trainer,
            boolean idempotent,
            Optional<IdempotencyKey> key,
            Fingerprint fingerprint,
            List<Long> prefixHashes,
            int expectedTokens,
            long deadlineMilliseconds,
            Optional<WeightVersion> minimumVersion,
            Set<EndpointId> avoid)
            implements RequestInput {
        /** Copies the collections. */
        public RequestArrived {
            prefixHashes = List.copyOf(prefixHashes);
            avoid = Set.copyOf(avoid);
        }
    }

    /**
     * The caller went away, or the step core no longer wants the sample.
     *
     * @param request the request
     */
    record RequestCancelled(RequestId request) implements RequestInput {}

    /**
     * The control process answered a claim.
     *
     * @param request the request
     * @param state what is known of the claim
     * @param outcome the recorded outcome, if completed
     * @param dispatchDeadlineMilliseconds after this time the entry must not dispatch
     */
    record ClaimAnswered(
            RequestId request, ClaimState state, Optional<RequestOutcome> outcome, long dispatchDeadlineMilliseconds)
            implements RequestInput {}

    /**
     * The claim could not be agreed: no reply or a refusal.
     *
     * @param request the request
     */
    record ClaimFailed(RequestId request) implements RequestInput {}

    // ---- Attempts ----

    /**
     * The request was written to the connection; from now on it may have run.
     *
     * @param attempt the attempt
     */
    record AttemptSent(AttemptId attempt) implements RequestInput {}

    /**
     * The endpoint sent a part of the answer.
     *
     * @param attempt the attempt
     * @param tokens tokens since the start of the answer, including resumed ones; bytes for plain services
     * @param version weight version that the engine stamped
     * @param reachedCaller whether any part of the answer has been passed on
     */
    record AttemptProgressed(AttemptId attempt, int tokens, Optional<WeightVersion> version, boolean reachedCaller)
            implements RequestInput {}

    /**
     * The endpoint sent the whole answer with its end mark.
     *
     * @param attempt the attempt
     * @param tokens tokens of the whole answer
     */
    record AttemptCompleted(AttemptId attempt, int tokens) implements RequestInput {}

    /** Why an attempt failed. */
    enum AttemptFailure {
        /** No connection; nothing was sent. */
        CONNECT_FAILED,
        /** The endpoint refused before running. */
        REFUSED_NOT_RUN,
        /** The connection broke before the end mark. */
        BROKEN,
        /** No byte within the progress deadline. */
        SILENT,
        /** The endpoint answered with an error after it may have run the request. */
        ERROR_ANSWER,
        /** The answer belongs to another attempt or is malformed. */
        MISMATCHED
    }

    /**
     * An attempt ended without the whole answer.
     *
     * @param attempt the attempt
     * @param failure the reason
     */
    record AttemptFailed(AttemptId attempt, AttemptFailure failure) implements RequestInput {}

    // ---- Endpoints ----

    /**
     * The known endpoints changed.
     *
     * @param delta the change
     */
    record MembershipChanged(MembershipDelta delta) implements RequestInput {}

    /**
     * An endpoint reported its load.
     *
     * @param endpoint the endpoint
     * @param incarnation its incarnation
     * @param sequence grows with each report of the incarnation
     * @param running requests that it runs
     * @param waiting requests that wait in it
     * @param measuredAtMilliseconds when the report was received, less the known lag
     */
    record LoadReported(
            EndpointId endpoint, long incarnation, long sequence, int running, int waiting, long measuredAtMilliseconds)
            implements RequestInput {}

    /**
     * An endpoint reported changes of its prefix cache.
     *
     * @param endpoint the endpoint
     * @param incarnation its incarnation
     * @param sequence number of the event; a jump means that events were lost
     * @param added prefixes that it now holds
     * @param removed prefixes that it dropped
     */
    record CacheReported(EndpointId endpoint, long incarnation, long sequence, List<Long> added, List<Long> removed)
            implements RequestInput {}

    /**
     * An endpoint is out of service while its weights are swapped, or back in service.
     *
     * @param endpoint the endpoint
     * @param inService whether it may get work
     */
    record EndpointAvailability(EndpointId endpoint, boolean inService) implements RequestInput {}

    // ---- State from the control process ----

    /**
     * A configuration takes effect; requests in progress keep theirs.
     *
     * @param configuration the configuration
     */
    record ConfigurationActivated(OperatorConfiguration configuration) implements RequestInput {}

    /**
     * The configuration lease was renewed.
     *
     * @param validUntilMilliseconds when it lapses
     */
    record LeaseRenewed(long validUntilMilliseconds) implements RequestInput {}

    /**
     * Shares of the limits were lent to this entry.
     *
     * @param concurrentByService requests that this entry may run at once, by service
     */
    record SharesAssigned(Map<ServiceName, Integer> concurrentByService) implements RequestInput {}

    /**
     * The quarantined requests changed. Replaces what was named before; what this core found itself stays.
     *
     * @param quarantined fingerprints by service that must not be run
     * @param candidates fingerprints that may run, but never two on one endpoint
     */
    record QuarantineChanged(Map<ServiceName, Set<Fingerprint>> quarantined, Set<Fingerprint> candidates)
            implements RequestInput {}

    /** This entry is draining: no new work from callers, work in progress finishes. */
    record DrainStarted() implements RequestInput {}
}
