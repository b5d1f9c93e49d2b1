package io.rosemarybeam.decision.request;

import java.util.SortedSet;

/**
 * Takes requests from the queue to endpoints, customers before training.
 *
 * <p>Invariant: dispatches only under a lease, within the share of the service and before the dispatch deadline of a
 * claim. Confined to the thread of the core.
 */
final class DispatchSystem {
    /** Requests that are passed over because no endpoint suits them, before the search ends. */
    private static final int MAXIMUM_SKIPPED_REQUESTS = 8;

    private final Tables tables;
    private final EndpointSelector selector;
    private final AttemptSystem attempts;
    private final ClaimSystem claims;
    private final PreemptionSystem preemption;
    private final SheddingSystem shedding;
    private final CrashSystem crashes;
    private final FairShareSystem fairShare;

    DispatchSystem(
            Tables tables,
            EndpointSelector choice,
            AttemptSystem attempts,
            ClaimSystem claims,
            SheddingSystem shedding,
            CrashSystem crashes) {
        this.crashes = crashes;
        this.tables = tables;
        this.selector = choice;
        this.attempts = attempts;
        this.claims = claims;
        this.preemption = new PreemptionSystem(tables, attempts);
        this.shedding = shedding;
        this.fairShare = attempts.fairShare();
    }

    void run() {
        for (int index = 0; index < tables.dispatchRequests.size(); index++) {
            ServiceRow service = tables.dispatchRequests.get(index);
            while (service.open > service.share && preemption.freeSlot(service, endpoint -> true)) {
                // Training gives way at once when the share shrinks.
            }
            if (tables.holdsLease() && service.queue.size() > 0) {
                dispatchCustomers(service);
                dispatchTraining(service);
            }
            // Cleared last: what the dispatch itself changes needs no second look in this input.
            service.dispatchRequested = false;
        }
        tables.dispatchRequests.clear();
    }

    private void dispatchCustomers(ServiceRow service) {
        while (!service.queue.customers.isEmpty()) {
            RequestRow first = service.queue.customers.first();
            if (!service.hasCapacity() && !preemption.freeSlot(service, endpoint -> canUseFreedSlot(first, endpoint))) {
                return;
            }
            if (!dispatchFirst(service.queue.customers)) {
                return;
            }
        }
    }

    /** A returning endpoint may run more attempts than it has places; ending one of them frees none. */
    private boolean canUseFreedSlot(RequestRow row, EndpointRow endpoint) {
        return endpoint.mayServe() && endpoint.open.size() <= endpoint.slots() && selector.accepts(row, endpoint);
    }

    private void dispatchTraining(ServiceRow service) {
        if (!service.queue.customers.isEmpty() && !service.hasCapacity()) {
            return;
        }
        boolean dispatched = true;
        while (dispatched && service.hasCapacityForTraining(tables) && service.queue.trainingSize() > 0) {
            dispatched = false;
            for (TrainerQueue queue : fairShare.trainersInServiceOrder(service)) {
                dispatched = dispatchFirst(queue.rows);
                if (dispatched) {
                    break;
                }
            }
        }
    }

    /** Places or refuses one of the first requests; returns false if none can be dispatched. */
    private boolean dispatchFirst(SortedSet<RequestRow> queued) {
        int searched = 0;
        for (RequestRow row : queued) {
            // Each of these changes the queue, so the iteration ends.
            if (shedding.refuseIfTooLate(row) || crashes.deferIfQuarantined(row) || dispatch(row)) {
                return true;
            }
            if (++searched == MAXIMUM_SKIPPED_REQUESTS) {
                return false;
            }
        }
        return false;
    }

    private boolean dispatch(RequestRow row) {
        if (tables.now >= row.claimDeadline) {
            return false;
        }
        if (row.needsClaim()) {
            row.service.queue.remove(row);
            claims.requestClaim(row);
            return true;
        }
        EndpointRow endpoint = selector.select(row);
        if (endpoint == null) {
            return false;
        }
        row.service.queue.remove(row);
        selector.recordSelection(endpoint);
        attempts.start(row, endpoint, ResumePlan.of(row, endpoint));
        return true;
    }
}
