package io.rosemarybeam.decision.request;

import java.util.Iterator;
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

    DispatchSystem(Tables tables, EndpointChoice choice, AttemptSystem attempts, ClaimSystem claims) {
        this.tables = tables;
        this.choice = choice;
        this.attempts = attempts;
        this.claims = claims;
    }

    void run() {
        for (int index = 0; index < tables.dispatchWanted.size(); index++) {
            ServiceRow service = tables.dispatchWanted.get(index);
            service.dispatchWanted = false;
            if (tables.holdsLease()) {
                dispatch(service, service.queue.customers());
                dispatch(service, service.queue.training());
            }
        }
        tables.dispatchWanted.clear();
    }

    private void dispatch(ServiceRow service, SortedSet<RequestRow> waiting) {
        boolean placed = true;
        while (placed) {
            placed = false;
            Iterator<RequestRow> candidates = waiting.iterator();
            for (int index = 0; index < LOOK_AHEAD && candidates.hasNext() && !placed; index++) {
                placed = service.open < service.share && place(candidates.next());
            }
        }
    }

    private boolean place(RequestRow row) {
        if (tables.now >= row.claimDeadline || row.service.available.size() == 0) {
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
        attempts.start(row, endpoint, choice.resumePlan(row, endpoint));
        return true;
    }
}
