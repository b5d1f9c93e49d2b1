package io.rosemarybeam.decision.request;

import java.util.SortedSet;

/**
 * Dispatches queued requests to endpoints, customers before training.
 *
 * <p>Invariant: dispatches only under a lease, within the share of the service and before the dispatch deadline of the
 * claim. Confined to the thread of the core.
 */
final class DispatchSystem {
    /** Requests without a suitable endpoint that are skipped before the search ends; bounds the time per input. */
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
            EndpointSelector selector,
            AttemptSystem attempts,
            ClaimSystem claims,
            SheddingSystem shedding,
            CrashSystem crashes) {
        this.crashes = crashes;
        this.tables = tables;
        this.selector = selector;
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
                // Preempts training immediately when the share has shrunk.
            }
            if (tables.holdsLease() && service.queue.size() > 0) {
                dispatchCustomers(service);
                dispatchTraining(service);
            }
            // Cleared last, so that changes made by the dispatch itself do not request another one for this input.
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

    /**
     * Returns whether a request can use the slot that a preempted attempt would free. A recovering endpoint may run
     * more attempts than it has slots, in which case ending one of them frees none.
     */
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

    /** Dispatches, defers or refuses one of the first requests; returns false if that is possible for none. */
    private boolean dispatchFirst(SortedSet<RequestRow> queued) {
        int searched = 0;
        for (RequestRow row : queued) {
            // Each of these modifies the queue, so the iteration must end.
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
