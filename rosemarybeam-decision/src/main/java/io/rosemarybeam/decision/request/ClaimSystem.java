package io.rosemarybeam.decision.request;

import java.util.Optional;

import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.wire.ControlReply.ClaimState;

/**
 * Claims the right to dispatch non-idempotent requests that carry a key.
 *
 * <p>Invariant: a claim in progress counts as an open attempt against the share of its service; nothing is dispatched
 * after the dispatch deadline of the claim. Confined to the thread of the core.
 */
final class ClaimSystem {
    /** How long this entry may dispatch under a claim. */
    private static final long DISPATCH_WINDOW_MILLISECONDS = 2_000;

    /** Suggested retry delay of a request whose claim was not granted. */
    private static final long RETRY_AFTER_MILLISECONDS = 1_000;

    private final Tables tables;
    private final CompletionSystem completion;
    private final FairShareSystem fairShare;

    ClaimSystem(Tables tables, CompletionSystem completion, FairShareSystem fairShare) {
        this.fairShare = fairShare;
        this.tables = tables;
        this.completion = completion;
    }

    /** Requests the claim of a request that was just removed from the queue. */
    void requestClaim(RequestRow row) {
        row.state = RequestRow.State.CLAIMING;
        row.service.open++;
        long remaining = row.deadline() - tables.now;
        tables.emit(new RequestCommand.RequestClaim(
                row.arrival.request(),
                row.service.name,
                row.arrival.key().orElseThrow(),
                row.arrival.fingerprint(),
                Math.min(DISPATCH_WINDOW_MILLISECONDS, remaining),
                remaining));
    }

    void handleAnswered(RequestInput.ClaimAnswered answer) {
        RequestRow row = tables.requests.get(answer.request());
        if (row == null || row.state != RequestRow.State.CLAIMING) {
            releaseAbandoned(answer);
            return;
        }
        row.claimAnswered = true;
        switch (answer.state()) {
            case GRANTED -> grant(row, answer.dispatchDeadlineMilliseconds());
            case IN_PROGRESS -> refuseAsPossiblyRun(row, ErrorCode.REQUEST_IN_PROGRESS);
            case COMPLETED -> replay(row, answer);
            case UNKNOWN -> refuseAsPossiblyRun(row, ErrorCode.OUTCOME_UNKNOWN);
            case KEY_REUSED -> completion.refuse(row, ErrorCode.KEY_REUSED, 0);
            default -> throw new IllegalStateException("unexpected claim state " + answer.state());
        }
    }

    void handleFailed(RequestInput.ClaimFailed input) {
        tables.claims.resolveAbandoned(input.request());
        RequestRow row = tables.requests.get(input.request());
        if (row != null && row.state == RequestRow.State.CLAIMING) {
            row.claimAnswered = true;
            completion.refuse(row, ErrorCode.CLAIM_UNAVAILABLE, RETRY_AFTER_MILLISECONDS);
        }
    }

    private void releaseAbandoned(RequestInput.ClaimAnswered answer) {
        RequestInput.RequestArrived arrival = tables.claims.resolveAbandoned(answer.request());
        if (arrival != null && answer.state() == ClaimState.GRANTED && !tables.claims.mayHaveRun(arrival)) {
            tables.emit(new RequestCommand.RecordOutcome(
                    arrival.request(), arrival.service(), arrival.key().orElseThrow(), Optional.empty()));
        }
    }

    /**
     * Requeues a request whose claim was granted, unless this entry may already have run its key: such a grant cannot
     * be distinguished from a repeated answer to the earlier claim.
     */
    private void grant(RequestRow row, long dispatchDeadline) {
        if (tables.claims.mayHaveRun(row.arrival)) {
            refuseAsPossiblyRun(row, ErrorCode.OUTCOME_UNKNOWN);
            return;
        }
        row.service.open--;
        row.state = RequestRow.State.QUEUED;
        row.claimGranted = true;
        row.claimDeadline = dispatchDeadline;
        fairShare.queue(row);
        tables.requestDispatch(row.service);
        tables.timers.schedule(dispatchDeadline, () -> expire(row));
        if (!tables.holdsLease()) {
            completion.refuse(row, ErrorCode.LEASE_LAPSED, RETRY_AFTER_MILLISECONDS);
        }
    }

    private void expire(RequestRow row) {
        if (row.state == RequestRow.State.QUEUED || row.state == RequestRow.State.WAITING_FOR_RETRY) {
            completion.refuse(row, ErrorCode.CLAIM_UNAVAILABLE, RETRY_AFTER_MILLISECONDS);
        }
    }

    private void replay(RequestRow row, RequestInput.ClaimAnswered answer) {
        if (answer.outcome().isEmpty()) {
            refuseAsPossiblyRun(row, ErrorCode.OUTCOME_UNKNOWN);
            return;
        }
        completion.replay(row, answer.outcome().get());
    }

    private void refuseAsPossiblyRun(RequestRow row, ErrorCode code) {
        row.mayHaveRun = true;
        completion.refuse(row, code, code == ErrorCode.REQUEST_IN_PROGRESS ? RETRY_AFTER_MILLISECONDS : 0);
    }
}
