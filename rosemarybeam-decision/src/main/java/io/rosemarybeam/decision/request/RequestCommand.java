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

/** An action of the request core that the entry host executes. Immutable and safe for use by several threads. */
public sealed interface RequestCommand {
    /** Whether a refused request was run. */
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
     * @param attempt id of the attempt, which the endpoint echoes
     * @param address base URL of the endpoint
     * @param enginePriority priority in the queue of the engine; smaller is more urgent
     * @param resumeOffset tokens of earlier attempts that the attempt continues from; zero for a fresh run
     * @param spliced whether the attempt runs on another weight version than the tokens that it continues from
     * @param connectMilliseconds connect timeout
     * @param progressMilliseconds timeout for receiving any byte
     * @param deadlineMilliseconds when the answer must be complete
     * @param dispatchDeadlineMilliseconds after this time the request must not be written to the connection, because
     *     the lease or the claim has lapsed
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

    /** Cancels an attempt: closes its stream and notifies the endpoint, if the endpoint supports cancellation. */
    record CancelAttempt(AttemptId attempt) implements RequestCommand {}

    /**
     * Ends a request with the complete answer of an attempt.
     *
     * @param attempt the attempt that completed
     */
    record FinishRequest(RequestId request, AttemptId attempt) implements RequestCommand {}

    /** Ends a resent request with the outcome that was recorded for its key. */
    record ReplayOutcome(RequestId request, RequestOutcome outcome) implements RequestCommand {}

    /**
     * Ends a request without an answer.
     *
     * @param code the reason
     * @param retryAfterMilliseconds delay after which the caller may retry; zero if a retry is useless or unsafe
     */
    record RefuseRequest(RequestId request, ErrorCode code, RunState runState, long retryAfterMilliseconds)
            implements RequestCommand {}

    /**
     * Requests a claim from the control process: the right to dispatch a non-idempotent request.
     *
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
     * Records the outcome of a claimed request, or releases the claim.
     *
     * @param completedBy the attempt whose answer is the outcome; empty if the request was not run
     */
    record RecordOutcome(RequestId request, ServiceName service, IdempotencyKey key, Optional<AttemptId> completedBy)
            implements RequestCommand {}

    /**
     * Reports a crashed endpoint.
     *
     * @param incarnation incarnation of the endpoint
     * @param batch fingerprints of the requests that it was running and whose crash count increased
     */
    record ReportCrash(ServiceName service, EndpointId endpoint, long incarnation, List<Fingerprint> batch)
            implements RequestCommand {}
}
