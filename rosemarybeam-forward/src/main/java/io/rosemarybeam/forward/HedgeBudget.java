package io.rosemarybeam.forward;

/**
 * Token bucket that limits hedges, the second attempts of slow requests, to a fraction of all requests.
 *
 * <p>Load pattern: all endpoints of a service become slow. Without a limit each request would run twice and overload the
 * service further. Confined to one thread.
 */
final class HedgeBudget {
    /** Hedges that each request adds to the budget; 10% more load hardly reduces the capacity of an overloaded service. */
    private static final double HEDGES_PER_REQUEST = 0.1;

    /** Capacity of the budget in hedges, which bounds a burst after a period without hedges. */
    private static final double MAXIMUM_BURST_HEDGES = 10;

    private double available = MAXIMUM_BURST_HEDGES;

    void requestStarted() {
        available = Math.min(MAXIMUM_BURST_HEDGES, available + HEDGES_PER_REQUEST);
    }

    boolean tryAcquire() {
        if (available < 1) {
            return false;
        }
        available--;
        return true;
    }
}
