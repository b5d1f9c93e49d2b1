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

/** An event or a change of state that the request core handles. Immutable and safe for use by several threads. */
public sealed interface RequestInput {
    /** Time has passed. */
    record Tick() implements RequestInput {}

    /** Class of a request; customers are served before training. */
    enum Precedence {
        /** Work for a customer. */
        CUSTOMER,
        /** A sample for a trainer. */
        TRAINING
    }

    /**
     * A request arrived.
     *
     * @param trainer the trainer, for training only
     * @param idempotent whether it may be run more than once
     * @param key key under which the caller resends a non-idempotent request
     * @param fingerprint digest of service and body
     * @param prefixHashes hashes of increasingly long prefixes of the prompt, shortest first
     * @param expectedTokens expected length of the answer, in tokens; 1 for plain services
     * @param deadlineMilliseconds time by which the answer must be complete
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

    /** The caller disconnected, or the step core no longer needs the sample. */
    record RequestCancelled(RequestId request) implements RequestInput {}

    /**
     * The control process answered a claim.
     *
     * @param outcome the recorded outcome, if the claim is completed and an outcome was recorded
     * @param dispatchDeadlineMilliseconds time after which the entry must not dispatch
     */
    record ClaimAnswered(
            RequestId request, ClaimState state, Optional<RequestOutcome> outcome, long dispatchDeadlineMilliseconds)
            implements RequestInput {}

    /** The claim could not be decided: the control process sent no reply or refused. */
    record ClaimFailed(RequestId request) implements RequestInput {}

    /** The request was written to the connection; from now on it may have run. */
    record AttemptSent(AttemptId attempt) implements RequestInput {}

    /**
     * The endpoint sent a part of the answer.
     *
     * @param tokens tokens since the start of the answer, including resumed ones; bytes for plain services
     * @param version weight version that the engine reported
     * @param reachedCaller whether any part of the answer has been sent to the caller
     */
    record AttemptProgressed(AttemptId attempt, int tokens, Optional<WeightVersion> version, boolean reachedCaller)
            implements RequestInput {}

    /**
     * The endpoint sent the complete answer, including the end marker.
     *
     * @param tokens tokens of the complete answer
     */
    record AttemptCompleted(AttemptId attempt, int tokens) implements RequestInput {}

    /** Why an attempt failed. */
    enum AttemptFailure {
        /** The connection could not be established; nothing was sent. */
        CONNECT_FAILED,
        /** The endpoint refused the request without running it. */
        REFUSED_NOT_RUN,
        /** The connection broke before the end marker. */
        BROKEN,
        /** No byte arrived within the progress timeout. */
        SILENT,
        /** The endpoint answered with an error after it may have run the request. */
        ERROR_ANSWER,
        /** The answer belongs to another attempt or is malformed. */
        MISMATCHED
    }

    /** An attempt ended without a complete answer. */
    record AttemptFailed(AttemptId attempt, AttemptFailure failure) implements RequestInput {}

    /** The membership of endpoints or entry hosts changed. */
    record MembershipChanged(MembershipDelta delta) implements RequestInput {}

    /**
     * An endpoint reported its load.
     *
     * @param incarnation incarnation of the endpoint
     * @param sequence increases with each report of the incarnation
     * @param running number of requests that the endpoint runs
     * @param waiting number of requests queued in the endpoint
     * @param measuredAtMilliseconds time at which the report was received, less the known lag
     */
    record LoadReported(
            EndpointId endpoint, long incarnation, long sequence, int running, int waiting, long measuredAtMilliseconds)
            implements RequestInput {}

    /**
     * An endpoint reported changes of its prefix cache.
     *
     * @param incarnation incarnation of the endpoint
     * @param sequence number of the event; a gap means that events were lost
     * @param added hashes of prefixes that are now cached
     * @param removed hashes of prefixes that were evicted
     */
    record CacheReported(EndpointId endpoint, long incarnation, long sequence, List<Long> added, List<Long> removed)
            implements RequestInput {}

    /**
     * An endpoint is out of service while its weights are swapped, or back in service.
     *
     * @param inService whether the endpoint may get work
     */
    record EndpointAvailability(EndpointId endpoint, boolean inService) implements RequestInput {}

    /** A configuration takes effect for new requests; requests in progress keep the one of their arrival. */
    record ConfigurationActivated(OperatorConfiguration configuration) implements RequestInput {}

    /**
     * The configuration lease was renewed.
     *
     * @param validUntilMilliseconds time at which the lease lapses
     */
    record LeaseRenewed(long validUntilMilliseconds) implements RequestInput {}

    /**
     * Shares of the limits were allocated to this entry.
     *
     * @param concurrentByService maximum number of concurrent attempts of this entry, by service
     */
    record SharesAssigned(Map<ServiceName, Integer> concurrentByService) implements RequestInput {}

    /**
     * The published quarantine changed. Replaces what was published before; what this core detected itself remains.
     *
     * @param quarantined fingerprints by service that must not be run
     * @param candidates fingerprints of quarantine candidates, which may run, but at most one of them on an endpoint
     */
    record QuarantineChanged(Map<ServiceName, Set<Fingerprint>> quarantined, Set<Fingerprint> candidates)
            implements RequestInput {}

    /** This entry is draining: new requests are refused, requests in progress finish. */
    record DrainStarted() implements RequestInput {}
}
