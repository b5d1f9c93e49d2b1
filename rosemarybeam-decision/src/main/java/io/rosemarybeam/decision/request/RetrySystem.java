package io.rosemarybeam.decision.request;

import io.rosemarybeam.common.configuration.ServiceConfiguration;
import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.decision.request.RequestInput.AttemptFailure;

/**
 * Retries or refuses a request after a failed attempt.
 *
 * <p>Invariant: a request that is not idempotent is retried only if its attempts provably did not run. Confined to the
 * thread of the core.
 */
final class RetrySystem {
    private static final long BACKOFF_BASE_MILLISECONDS = 20;
    private static final long BACKOFF_LIMIT_MILLISECONDS = 1_000;

    /** Retries that the budget of a service can always accumulate, also with a small share. */
    private static final int MINIMUM_BUDGET_LIMIT = 10;

    /**
     * Maximum number of refusals before running that count neither as attempts nor against the budget. They cost the
     * endpoints no work, and during a weight swap one endpoint after the other refuses; the exponential backoff
     * prevents a retry storm.
     */
    private static final int MAXIMUM_REFUSALS = 10;

    /** Suggested retry delay of a request that is refused after a failed attempt. */
    private static final long RETRY_AFTER_MILLISECONDS = 1_000;

    private final Tables tables;
    private final CompletionSystem completion;
    private final FairShareSystem fairShare;
    private final CrashSystem crashes;

    RetrySystem(Tables tables, CompletionSystem completion, FairShareSystem fairShare, CrashSystem crashes) {
        this.crashes = crashes;
        this.fairShare = fairShare;
        this.tables = tables;
        this.completion = completion;
    }

    void retryOrRefuse(AttemptRow attempt, AttemptFailure failure) {
        RequestRow row = attempt.request;
        row.failedEndpoints.add(attempt.endpoint.id);
        if (!row.arrival.idempotent() && !mayRepeat(row, attempt)) {
            // Without a key, a resend by the caller might run the request twice.
            boolean resendIsSafe = !row.mayHaveRun || row.isClaimed();
            completion.refuse(
                    row,
                    row.mayHaveRun ? ErrorCode.OUTCOME_UNKNOWN : ErrorCode.ENDPOINT_FAILED,
                    resendIsSafe ? RETRY_AFTER_MILLISECONDS : 0);
            return;
        }
        if (row.callerDisconnected) {
            completion.refuse(row, row.mayHaveRun ? ErrorCode.OUTCOME_UNKNOWN : ErrorCode.ENDPOINT_FAILED, 0);
            return;
        }
        if (row.reachedCaller && !row.service.isModel()) {
            completion.refuse(row, ErrorCode.ENDPOINT_FAILED, RETRY_AFTER_MILLISECONDS);
            return;
        }
        if (!tables.holdsLease()) {
            completion.refuse(row, ErrorCode.LEASE_LAPSED, RETRY_AFTER_MILLISECONDS);
            return;
        }
        if (crashes.mustRefuse(row.arrival)) {
            crashes.refuseAfterAgreement(row);
            return;
        }
        boolean refused = failure == AttemptFailure.REFUSED_NOT_RUN && row.refusals < MAXIMUM_REFUSALS;
        if (refused) {
            row.attempts--;
            row.refusals++;
        }
        if (row.attempts >= row.configuration.retries().maximumAttempts()) {
            completion.refuse(row, ErrorCode.ATTEMPTS_EXHAUSTED, RETRY_AFTER_MILLISECONDS);
            return;
        }
        long delay = backoff(row.attempts + row.refusals);
        if (tables.now + delay >= row.deadline()) {
            completion.refuse(row, ErrorCode.DEADLINE_UNREACHABLE, 0);
            return;
        }
        if (!refused && !spendBudget(row)) {
            completion.refuse(row, ErrorCode.ATTEMPTS_EXHAUSTED, RETRY_AFTER_MILLISECONDS);
            return;
        }
        tables.counters.repeatedAttempts++;
        row.state = RequestRow.State.WAITING_FOR_RETRY;
        tables.timers.schedule(tables.now + delay, () -> requeue(row));
    }

    /** Adds to the budget of a service the fraction of a retry that each arriving request grants. */
    void grantBudget(ServiceRow service, ServiceConfiguration configuration) {
        double part = configuration.retries().budgetPercent() / 100.0;
        service.retryTokens = Math.min(budgetLimit(service), budget(service) + part);
    }

    /** Spends one retry of the budget, if available; half of the budget is reserved for customers. */
    private boolean spendBudget(RequestRow row) {
        ServiceRow service = row.service;
        if (!tables.uses(RequestPolicy.RETRY_BUDGET)) {
            return true;
        }
        double remaining = budget(service);
        if (remaining < (row.isTraining() ? 1 + budgetLimit(service) / 2 : 1)) {
            return false;
        }
        service.retryTokens = remaining - 1;
        return true;
    }

    private static double budget(ServiceRow service) {
        return Double.isNaN(service.retryTokens) ? budgetLimit(service) : service.retryTokens;
    }

    /** Returns the maximum budget, which suffices to retry every open attempt once when all endpoints crash at once. */
    private static double budgetLimit(ServiceRow service) {
        return Math.max(MINIMUM_BUDGET_LIMIT, service.share);
    }

    /** Without a claim nobody could distinguish a second run from the first, so only an unsent attempt is retried. */
    private static boolean mayRepeat(RequestRow row, AttemptRow attempt) {
        return !row.mayHaveRun && (row.claimGranted || !attempt.sent);
    }

    private void requeue(RequestRow row) {
        if (row.state == RequestRow.State.WAITING_FOR_RETRY) {
            row.state = RequestRow.State.QUEUED;
            fairShare.queue(row);
            tables.requestDispatch(row.service);
        }
    }

    /** Returns the exponential backoff with a random jitter of up to half of it, in milliseconds. */
    private long backoff(int attempts) {
        long limit = Math.min(BACKOFF_LIMIT_MILLISECONDS, BACKOFF_BASE_MILLISECONDS << Math.min(attempts - 1, 16));
        return limit / 2 + tables.random.nextLong(limit / 2 + 1);
    }
}
