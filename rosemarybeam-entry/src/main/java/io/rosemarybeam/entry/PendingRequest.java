package io.rosemarybeam.entry;

import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.rosemarybeam.common.id.IdempotencyKey;
import io.rosemarybeam.common.id.RequestId;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.id.WeightVersion;
import io.rosemarybeam.common.wire.RequestOutcome;
import io.rosemarybeam.decision.request.RequestInput.AttemptFailure;

/**
 * A request that this entry has accepted and not yet answered.
 *
 * <p>Invariant: only the current attempt contributes to the answer, and nothing contributes once the request has ended.
 * Safe for use by several threads.
 */
final class PendingRequest {
    private final Target target;
    private final Answer answer;
    private AttemptStream current;
    private boolean ended;

    /**
     * The part of a request that is the same for all attempts. Immutable.
     *
     * @param id the request
     * @param service the service
     * @param method HTTP method
     * @param uri path and query at the endpoint
     * @param headers headers for the endpoint
     * @param idempotent whether it may run more than once
     * @param key idempotency key of the caller
     * @param arrivedAtMilliseconds arrival time on the monotonic clock
     */
    record Target(
            RequestId id,
            ServiceName service,
            String method,
            String uri,
            HttpHeaders headers,
            boolean idempotent,
            Optional<IdempotencyKey> key,
            long arrivedAtMilliseconds) {}

    /**
     * Progress of an answer.
     *
     * @param received tokens received, or bytes for plain services
     * @param version weight version of the last part
     * @param reachedCaller whether any part was forwarded to the caller
     */
    record Progress(int received, Optional<WeightVersion> version, boolean reachedCaller) {}

    PendingRequest(Target target, Answer answer) {
        this.target = target;
        this.answer = answer;
    }

    Target target() {
        return target;
    }

    /**
     * Starts an attempt, which replaces the current one.
     *
     * @param attempt the attempt
     * @param resumes whether it continues the answer of the previous attempt
     * @param spliced whether it continues the text of another generation
     * @return the body to send
     */
    synchronized byte[] begin(AttemptStream attempt, boolean resumes, boolean spliced) {
        byte[] body = answer.requestBody(resumes);
        current = attempt;
        answer.begin(attempt.id().value(), resumes, spliced);
        return body;
    }

    synchronized int received() {
        return answer.received();
    }

    synchronized Optional<AttemptFailure> onHead(AttemptStream from, int status, HttpHeaders headers) {
        return isCurrent(from) ? answer.onHead(status, headers) : Optional.of(AttemptFailure.MISMATCHED);
    }

    synchronized Optional<AttemptFailure> onBytes(AttemptStream from, ByteBuf bytes) {
        return isCurrent(from) ? answer.onBytes(bytes) : Optional.of(AttemptFailure.MISMATCHED);
    }

    synchronized Optional<AttemptFailure> onEnd(AttemptStream from) {
        return isCurrent(from) ? answer.onEnd() : Optional.of(AttemptFailure.MISMATCHED);
    }

    synchronized Progress progress() {
        return new Progress(answer.received(), answer.version(), answer.reachedCaller());
    }

    /**
     * Ignores everything that an attempt delivers from now on.
     *
     * @param attempt the attempt
     */
    synchronized void detach(AttemptStream attempt) {
        if (current == attempt) {
            current = null;
        }
    }

    /**
     * Returns whether an endpoint may be running this request and its outcome must be recorded under the claim of its
     * key.
     */
    synchronized boolean isRunningUnderClaim() {
        return current != null && !target.idempotent() && target.key().isPresent();
    }

    private boolean isCurrent(AttemptStream from) {
        return !ended && current == from;
    }

    boolean isWritable() {
        return answer.isWritable();
    }

    /** Resumes reading for the current attempt once the receiver is writable again. */
    void resumeReading() {
        AttemptStream attempt;
        synchronized (this) {
            attempt = current;
        }
        if (attempt != null) {
            attempt.resumeReading();
        }
    }

    /**
     * Ends the request with the complete answer.
     *
     * @return the outcome to record; empty if the request had already ended
     */
    synchronized Optional<RequestOutcome> finish() {
        if (ended) {
            return Optional.empty();
        }
        ended = true;
        RequestOutcome outcome = answer.outcome();
        answer.finish();
        return Optional.of(outcome);
    }

    /** Returns the outcome to record for the complete answer. */
    synchronized RequestOutcome outcome() {
        return answer.outcome();
    }

    synchronized void replay(RequestOutcome outcome) {
        if (!ended) {
            ended = true;
            answer.replay(outcome);
        }
    }

    synchronized void refuse(Problem problem) {
        if (!ended) {
            ended = true;
            answer.refuse(problem);
        }
    }
}
