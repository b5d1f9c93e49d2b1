package io.rosemarybeam.decision.request;

import java.util.List;
import java.util.Optional;

import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.id.AttemptId;
import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.Fingerprint;
import io.rosemarybeam.common.id.IdempotencyKey;
import io.rosemarybeam.common.id.RequestId;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.wire.RequestOutcome;

/** What the request core wants done. Immutable and safe for use by several threads. */
public sealed interface RequestCommand {
    /** What is known of a refused request. */
    enum RunState {
        /** It was not run. */
        NOT_RUN,
        /** It was run. */
        RUN,
        /** It may have been run. */
        UNKNOWN
    }

    /**
     * Sends a request to an endpoint.
     *
     * @param request the request
     * @param attempt id of the attempt, which the endpoint echoes
     * @param endpoint the endpoint
     * @param address base URL of the endpoint
     * @param enginePriority smaller is more urgent
     * @param resumeOffset tokens that were already received; zero for a fresh run
     * @param spliced whether the resumed part comes from another generation than the part before
     * @param connectMilliseconds time limit to connect
     * @param progressMilliseconds time limit without any byte
     * @param deadlineMilliseconds when the answer must be complete
     * @param dispatchDeadlineMilliseconds after this time the request must not be written to the connection, because the
     *     lease or the claim has lapsed
     */
    record StartAttempt(
            RequestId request,
            AttemptId attempt,
            EndpointId endpoint,
            String address,
            int enginePriority,
            int resumeOffset,
            boolean spliced,
            long connectMilliseconds,
            long progressMilliseconds,
            long deadlineMilliseconds,
            long dispatchDeadlineMilliseconds)
            implements RequestCommand {}

    /**
     * Stops an attempt: closes its stream and tells the endpoint, if it can cancel.
     *
     * @param attempt the attempt
     */
    record CancelAttempt(AttemptId attempt) implements RequestCommand {}

    /**
     * Ends a request with the whole answer of an attempt.
     *
     * @param request the request
     * @param attempt the attempt that completed
     */
    record FinishRequest(RequestId request, AttemptId attempt) implements RequestCommand {}

    /**
     * Answers a resent request with its recorded outcome.
     *
     * @param request the request
     * @param outcome the outcome
     */
    record ReplayOutcome(RequestId request, RequestOutcome outcome) implements RequestCommand {}

    /**
     * Ends a request without its answer.
     *
     * @param request the request
     * @param code the reason
     * @param runState whether it was run
     * @param retryAfterMilliseconds when the caller may try again; zero if trying again is useless
     */
    record RefuseRequest(RequestId request, ErrorCode code, RunState runState, long retryAfterMilliseconds)
            implements RequestCommand {}

    /**
     * Asks the control process for the right to dispatch.
     *
     * @param request the request
     * @param service the service
     * @param key the idempotency key
     * @param fingerprint digest of the request
     * @param dispatchWindowMilliseconds how long the entry may dispatch after sending this claim
     * @param runWindowMilliseconds how long the request may run after dispatch
     */
    record RequestClaim(
            RequestId request,
            ServiceName service,
            IdempotencyKey key,
            Fingerprint fingerprint,
            long dispatchWindowMilliseconds,
            long runWindowMilliseconds)
            implements RequestCommand {}

    /**
     * Records the outcome of a claimed request, or gives the claim back.
     *
     * @param request the request
     * @param service the service
     * @param key the idempotency key
     * @param completedBy the attempt whose answer is the outcome; empty if the request was not run
     */
    record RecordOutcome(RequestId request, ServiceName service, IdempotencyKey key, Optional<AttemptId> completedBy)
            implements RequestCommand {}

    /**
     * Reports a crashed endpoint.
     *
     * @param service the service
     * @param endpoint the endpoint
     * @param incarnation its incarnation
     * @param batch fingerprints of the requests that it was running
     */
    record ReportCrash(ServiceName service, EndpointId endpoint, long incarnation, List<Fingerprint> batch)
            implements RequestCommand {}
}
