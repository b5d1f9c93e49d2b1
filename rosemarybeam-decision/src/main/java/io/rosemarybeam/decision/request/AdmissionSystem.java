package io.rosemarybeam.decision.request;

import io.rosemarybeam.common.configuration.ServiceConfiguration;
import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.decision.request.RequestInput.RequestArrived;

/**
 * Queues or refuses arriving requests, and handles cancellation by the caller and expiry of the deadline.
 *
 * <p>Confined to the thread of the core.
 */
final class AdmissionSystem {
    /** Suggested retry delay when this entry cannot serve a request at present but another entry may. */
    private static final long RETRY_ELSEWHERE_MILLISECONDS = 1_000;

    private final Tables tables;
    private final CompletionSystem completion;
    private final RetrySystem retry;
    private final AttemptSystem attempts;
    private final SheddingSystem shedding;
    private final CrashSystem crashes;

    AdmissionSystem(
            Tables tables,
            CompletionSystem completion,
            AttemptSystem attempts,
            SheddingSystem shedding,
            CrashSystem crashes) {
        this.crashes = crashes;
        this.shedding = shedding;
        this.tables = tables;
        this.completion = completion;
        this.attempts = attempts;
        this.retry = attempts.retry();
    }

    void admit(RequestArrived arrival) {
        tables.counters.arrivals++;
        if (tables.requests.containsKey(arrival.request())) {
            throw new IllegalArgumentException("request " + arrival.request() + " arrived twice");
        }
        if (!tables.holdsLease()) {
            completion.refuseArrival(arrival, ErrorCode.LEASE_LAPSED, RETRY_ELSEWHERE_MILLISECONDS);
            return;
        }
        if (tables.draining) {
            completion.refuseArrival(arrival, ErrorCode.DRAINING, RETRY_ELSEWHERE_MILLISECONDS);
            return;
        }
        ServiceConfiguration configuration = tables.configuration == null
                ? null
                : tables.configuration.services().get(arrival.service());
        if (configuration == null) {
            completion.refuseArrival(arrival, ErrorCode.SERVICE_UNKNOWN, 0);
            return;
        }
        if (arrival.deadlineMilliseconds() <= tables.now) {
            completion.refuseArrival(arrival, ErrorCode.DEADLINE_UNREACHABLE, 0);
            return;
        }
        if (crashes.mustRefuse(arrival)) {
            completion.refuseArrival(arrival, ErrorCode.REQUEST_QUARANTINED, 0);
            return;
        }
        if (RequestRow.isClaimed(arrival) && tables.claims.isInUse(arrival)) {
            refuseKeyInUse(arrival);
            return;
        }
        ServiceRow service = tables.service(arrival.service());
        retry.grantBudget(service, configuration);
        if (service.servingSlots == 0) {
            completion.refuseArrival(arrival, ErrorCode.NO_ENDPOINT, RETRY_ELSEWHERE_MILLISECONDS);
            return;
        }
        RequestRow row = new RequestRow(arrival, service, configuration, tables.nextRequestSequence++, tables.now);
        if (shedding.cannotMeetDeadline(row)) {
            completion.refuseArrival(arrival, ErrorCode.DEADLINE_UNREACHABLE, shedding.retryAfter(service));
            return;
        }
        boolean full = service.queue.size() >= configuration.limits().maximumQueued();
        if (full && (row.isTraining() || !shedding.shedTraining(service))) {
            completion.refuseArrival(arrival, ErrorCode.OVERLOADED, shedding.retryAfter(service));
            return;
        }
        tables.requests.put(arrival.request(), row);
        service.requests++;
        if (row.isClaimed()) {
            tables.claims.acquire(arrival);
        }
        attempts.fairShare().queue(row);
        tables.timers.schedule(row.deadline(), () -> expire(row));
        tables.requestDispatch(service);
    }

    private void refuseKeyInUse(RequestArrived arrival) {
        if (tables.claims.isReusedForDifferentRequest(arrival)) {
            completion.refuseArrival(arrival, ErrorCode.KEY_REUSED, 0);
            return;
        }
        // The earlier request with this key may be running, so the reply must not state NOT_RUN.
        completion.refuseArrival(
                arrival, ErrorCode.REQUEST_IN_PROGRESS, RequestCommand.RunState.UNKNOWN, RETRY_ELSEWHERE_MILLISECONDS);
    }

    /**
     * Cancels a request whose caller disconnected. An open attempt that must not be repeated keeps running, so that its
     * outcome can be recorded.
     */
    void cancel(RequestInput.RequestCancelled cancelled) {
        RequestRow row = tables.requests.get(cancelled.request());
        if (row == null) {
            return;
        }
        if (row.attempt != null && !row.arrival.idempotent()) {
            row.callerDisconnected = true;
            return;
        }
        attempts.cancelOpenAttempt(row);
        completion.discard(row);
    }

    private void expire(RequestRow row) {
        if (row.state != RequestRow.State.DONE) {
            attempts.recordExpiry(row);
            attempts.cancelOpenAttempt(row);
            boolean resendIsSafe = row.arrival.idempotent() || row.isClaimed() || !row.mayHaveRun;
            completion.refuse(row, ErrorCode.DEADLINE_EXCEEDED, resendIsSafe ? shedding.retryAfter(row.service) : 0);
        }
    }
}
