package io.rosemarybeam.decision.request;

import io.rosemarybeam.common.id.AttemptId;
import io.rosemarybeam.decision.request.RequestInput.AttemptFailure;

/**
 * Opens and closes attempts and records which requests ran or may have run.
 *
 * <p>Invariant: an event of an attempt that is not open is counted and otherwise ignored. Confined to the thread of the
 * core.
 */
final class AttemptSystem {
    /** Priorities that engines order their own queues by; smaller is more urgent. */
    private static final int CUSTOMER_ENGINE_PRIORITY = 0;

    private static final int TRAINING_ENGINE_PRIORITY = 10;

    private enum Outcome {
        COMPLETED,
        FAILED,
        CANCELLED
    }

    private final Tables tables;
    private final CompletionSystem completion;
    private final RetrySystem retry;
    private final FairShareSystem fairShare;
    private final CrashSystem crashes;
    private final EjectionSystem ejection;
    private final String idPrefix;
    private long nextId;

    AttemptSystem(
            Tables tables,
            CompletionSystem completion,
            RetrySystem retry,
            FairShareSystem fairShare,
            CrashSystem crashes,
            EjectionSystem ejection) {
        this.crashes = crashes;
        this.ejection = ejection;
        this.tables = tables;
        this.fairShare = fairShare;
        this.completion = completion;
        this.retry = retry;
        this.idPrefix = tables.settings.entryName() + "-" + Long.toHexString(tables.random.nextLong()) + "-";
    }

    RetrySystem retry() {
        return retry;
    }

    FairShareSystem fairShare() {
        return fairShare;
    }

    /** Starts an attempt on an endpoint that has a free slot. */
    void start(RequestRow row, EndpointRow endpoint, ResumePlan plan) {
        AttemptId id = AttemptId.of(idPrefix + nextId++);
        long dispatchDeadline = Math.min(tables.leaseValidUntil, row.claimDeadline);
        AttemptRow attempt = new AttemptRow(id, row, endpoint, tables.now, dispatchDeadline, plan.offset());
        row.attempt = attempt;
        row.attempts++;
        row.state = RequestRow.State.RUNNING;
        row.tokens = plan.offset();
        if (plan.offset() == 0) {
            row.version = endpoint.record.weightVersion().orElse(null);
        }
        tables.attempts.put(id, attempt);
        tables.counters.attempts++;
        tables.counters.resumedAttempts += plan.offset() > 0 ? 1 : 0;
        endpoint.open.add(attempt);
        row.service.open++;
        if (row.isTraining()) {
            row.service.trainingAttempts.add(attempt);
            fairShare.handleStarted(attempt);
        }
        tables.updateAvailability(endpoint);
        tables.emit(new RequestCommand.StartAttempt(
                row.arrival.request(),
                id,
                endpoint.id,
                endpoint.record.address(),
                row.isTraining() ? TRAINING_ENGINE_PRIORITY : CUSTOMER_ENGINE_PRIORITY,
                plan.offset(),
                plan.spliced(),
                row.configuration.deadlines().connectMilliseconds(),
                row.configuration.deadlines().progressMilliseconds(),
                row.deadline(),
                dispatchDeadline));
    }

    void handleSent(RequestInput.AttemptSent input) {
        AttemptRow attempt = find(input.attempt());
        if (attempt != null) {
            attempt.sent = true;
        }
    }

    void handleProgressed(RequestInput.AttemptProgressed input) {
        AttemptRow attempt = find(input.attempt());
        if (attempt == null) {
            return;
        }
        RequestRow row = attempt.request;
        attempt.sent = true;
        attempt.tokens = Math.max(attempt.tokens, input.tokens());
        row.tokens = attempt.tokens;
        row.hasRun = true;
        row.mayHaveRun = true;
        row.reachedCaller |= input.reachedCaller();
        input.version().ifPresent(version -> row.version = version);
    }

    void handleCompleted(RequestInput.AttemptCompleted input) {
        AttemptRow attempt = find(input.attempt());
        if (attempt == null) {
            return;
        }
        attempt.request.hasRun = true;
        attempt.request.mayHaveRun = true;
        attempt.request.tokens = Math.max(attempt.request.tokens, input.tokens());
        close(attempt, Outcome.COMPLETED);
        crashes.handleCompleted(attempt);
        ejection.handleCompleted(attempt, input.tokens());
        if (attempt.endpoint.member) {
            attempt.endpoint.cache.recordAnswered(attempt.request.arrival.prefixHashes());
        }
        completion.finish(attempt.request, attempt);
    }

    void handleFailed(RequestInput.AttemptFailed input) {
        AttemptRow attempt = find(input.attempt());
        if (attempt == null) {
            return;
        }
        crashes.handleFailed(attempt, input.failure());
        if (mayHaveRun(attempt, input.failure())) {
            attempt.request.mayHaveRun = true;
        }
        close(attempt, Outcome.FAILED);
        if (input.failure() != AttemptFailure.CONNECT_FAILED || tables.now < attempt.dispatchDeadline) {
            // A connection that fails after the dispatch deadline was opened too late by this process, which is no
            // fault of the endpoint.
            ejection.handleFailed(attempt, input.failure());
        }
        retry.retryOrRefuse(attempt, input.failure());
    }

    /** Returns an open attempt, or null, in which case the event is counted as dropped. */
    private AttemptRow find(AttemptId id) {
        AttemptRow attempt = tables.attempts.get(id);
        if (attempt == null) {
            tables.counters.droppedEvents++;
        }
        return attempt;
    }

    /** Records that the deadline of a request passed; has an effect only if an attempt is open. */
    void recordExpiry(RequestRow row) {
        if (row.attempt != null) {
            ejection.handleExpired(row.attempt);
        }
    }

    /** Cancels the open attempt of a request, if there is one. */
    void cancelOpenAttempt(RequestRow row) {
        if (row.attempt != null) {
            AttemptRow attempt = row.attempt;
            row.mayHaveRun = true;
            close(attempt, Outcome.CANCELLED);
            tables.emit(new RequestCommand.CancelAttempt(attempt.id));
            crashes.handleInconclusiveEnd(attempt);
        }
    }

    /** Cancels a training attempt in favour of a customer; the attempt does not count towards the maximum. */
    void preempt(AttemptRow attempt) {
        RequestRow row = attempt.request;
        cancelOpenAttempt(row);
        if (row.state == RequestRow.State.DONE) {
            // This was the last open attempt of a crashed batch, and the request was quarantined.
            return;
        }
        row.attempts--;
        tables.counters.preemptions++;
        row.state = RequestRow.State.QUEUED;
        fairShare.queue(row);
    }

    /** Returns the tokens that the attempt produced, since a resumed answer may be far longer than expected. */
    private static double producedTokens(RequestRow row, AttemptRow attempt) {
        return row.service.isModel() ? Math.max(1, row.tokens - attempt.resumeOffset) : 1;
    }

    private void close(AttemptRow attempt, Outcome outcome) {
        RequestRow row = attempt.request;
        if (outcome != Outcome.CANCELLED) {
            row.service.holdTime.add(tables.now - attempt.startedAt);
        }
        if (outcome == Outcome.COMPLETED) {
            double tokens = producedTokens(row, attempt);
            row.runTime().add(tables.now - attempt.startedAt);
            row.service.timePerToken.add((tables.now - attempt.startedAt) / tokens);
        }
        if (row.isTraining()) {
            fairShare.handleEnded(attempt, outcome == Outcome.COMPLETED);
        }
        tables.attempts.remove(attempt.id);
        attempt.endpoint.open.remove(attempt);
        attempt.endpoint.load.recordEnded(attempt, tables.now);
        row.service.trainingAttempts.remove(attempt);
        row.service.open--;
        row.attempt = null;
        tables.updateAvailability(attempt.endpoint);
        tables.requestDispatch(row.service);
    }

    /** Returns whether a failed attempt may have run; a failed connection rules that out only if nothing was sent. */
    static boolean mayHaveRun(AttemptRow attempt, AttemptFailure failure) {
        return switch (failure) {
            case CONNECT_FAILED -> attempt.sent;
            case REFUSED_NOT_RUN -> false;
            case BROKEN, SILENT, ERROR_ANSWER, MISMATCHED -> true;
        };
    }
}
