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
    private static final int LOOK_AHEAD = 8;

    private final Tables tables;
    private final EndpointChoice choice;
    private final AttemptSystem attempts;
    private final ClaimSystem claims;
    private final PreemptionSystem preemption;
    private final SheddingSystem shedding;
    private final CrashSystem crashes;
    private final FairShareSystem fairShare;

    DispatchSystem(
            Tables tables,
            EndpointChoice choice,
            AttemptSystem attempts,
            ClaimSystem claims,
            SheddingSystem shedding,
            CrashSystem crashes) {
        this.crashes = crashes;
        this.tables = tables;
        this.choice = choice;
        this.attempts = attempts;
        this.claims = claims;
        this.preemption = new PreemptionSystem(tables, attempts);
        this.shedding = shedding;
        this.fairShare = attempts.fairShare();
    }

    void run() {
        for (int index = 0; index < tables.dispatchWanted.size(); index++) {
            ServiceRow service = tables.dispatchWanted.get(index);
            while (service.open > service.share && preemption.freePlace(service, endpoint -> true)) {
                // Training gives way at once when the share shrinks.
            }
            if (tables.holdsLease() && service.queue.size() > 0) {
                dispatchCustomers(service);
                dispatchTraining(service);
            }
            // Cleared last: what the dispatch itself changes needs no second look in this input.
            service.dispatchWanted = false;
        }
        tables.dispatchWanted.clear();
    }

    private void dispatchCustomers(ServiceRow service) {
        while (!service.queue.customers.isEmpty()) {
            RequestRow first = service.queue.customers.first();
            if (!service.hasRoom() && !preemption.freePlace(service, endpoint -> canTakePlace(first, endpoint))) {
                return;
            }
            if (!placeFirst(service.queue.customers)) {
                return;
            }
        }
    }

    /** A returning endpoint may run more attempts than it has places; ending one of them frees none. */
    private boolean canTakePlace(RequestRow row, EndpointRow endpoint) {
        return endpoint.mayServe() && endpoint.open.size() <= endpoint.slots() && choice.accepts(row, endpoint);
    }

    private void dispatchTraining(ServiceRow service) {
        if (!service.queue.customers.isEmpty() && !service.hasRoom()) {
            return;
        }
        boolean placed = true;
        while (placed && service.hasRoomForTraining(tables) && service.queue.trainingSize() > 0) {
            placed = false;
            for (TrainerQueue queue : fairShare.order(service)) {
                placed = placeFirst(queue.rows);
                if (placed) {
                    break;
                }
            }
        }
    }

    /** Places or refuses one of the first requests; returns false if none can be placed. */
    private boolean placeFirst(SortedSet<RequestRow> waiting) {
        int searched = 0;
        for (RequestRow row : waiting) {
            // Each of these changes the queue, so the iteration ends.
            if (shedding.refuseIfTooLate(row) || crashes.holdIfQuarantined(row) || place(row)) {
                return true;
            }
            if (++searched == LOOK_AHEAD) {
                return false;
            }
        }
        return false;
    }

    private boolean place(RequestRow row) {
        if (tables.now >= row.claimDeadline) {
            return false;
        }
        if (row.needsClaim()) {
            row.service.queue.remove(row);
            claims.request(row);
            return true;
        }
        EndpointRow endpoint = choice.choose(row);
        if (endpoint == null) {
            return false;
        }
        row.service.queue.remove(row);
        choice.chosen(endpoint);
        attempts.start(row, endpoint, ResumePlan.of(row, endpoint));
        return true;
    }
}
