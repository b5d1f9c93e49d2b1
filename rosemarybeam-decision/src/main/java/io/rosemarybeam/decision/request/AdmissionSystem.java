package io.rosemarybeam.decision.request;

import io.rosemarybeam.common.configuration.ServiceConfiguration;
import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.decision.request.RequestInput.RequestArrived;

/** Takes requests into the queue or refuses them. Confined to the thread of the core. */
final class AdmissionSystem {
    private static final long RETRY_ELSEWHERE_MILLISECONDS = 1_000;

    private final Tables tables;
    private final CompletionSystem completion;
    private final AttemptSystem attempts;
    private final SheddingSystem shedding;

    AdmissionSystem(Tables tables, CompletionSystem completion, AttemptSystem attempts, SheddingSystem shedding) {
        this.shedding = shedding;
        this.tables = tables;
        this.completion = completion;
        this.attempts = attempts;
    }

    void arrive(RequestArrived arrival) {
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
        ServiceRow service = tables.service(arrival.service());
        if (service.servingSlots == 0) {
            completion.refuseArrival(arrival, ErrorCode.NO_ENDPOINT, RETRY_ELSEWHERE_MILLISECONDS);
            return;
        }
        RequestRow row = new RequestRow(arrival, service, configuration, tables.nextRequestSequence++, tables.now);
        if (shedding.isHopeless(row)) {
            completion.refuseArrival(arrival, ErrorCode.DEADLINE_UNREACHABLE, shedding.retryAfter(service));
            return;
        }
        boolean full = service.queue.size() >= configuration.limits().maximumQueued();
        if (full && (row.isTraining() || !shedding.makeRoom(service))) {
            completion.refuseArrival(arrival, ErrorCode.OVERLOADED, shedding.retryAfter(service));
            return;
        }
        tables.requests.put(arrival.request(), row);
        attempts.fairShare().queue(row);
        tables.timers.at(row.deadline(), () -> expire(row));
        tables.wantDispatch(service);
    }

    /** Work that may have begun and must not be repeated runs on, so that its outcome can be recorded. */
    void cancel(RequestInput.RequestCancelled cancelled) {
        RequestRow row = tables.requests.get(cancelled.request());
        if (row == null) {
            return;
        }
        if (row.attempt != null && !row.arrival.idempotent()) {
            row.callerGone = true;
            return;
        }
        attempts.cancelOpenAttempt(row);
        completion.forget(row);
    }

    private void expire(RequestRow row) {
        if (row.state != RequestRow.State.DONE) {
            attempts.cancelOpenAttempt(row);
            completion.refuse(row, ErrorCode.DEADLINE_EXCEEDED, 0);
        }
    }
}
