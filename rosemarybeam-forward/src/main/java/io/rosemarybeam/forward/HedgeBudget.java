package io.rosemarybeam.forward;

/**
 * Bounds the second runs of slow requests to a share of all requests.
 *
 * <p>Load pattern: all endpoints of a service turn slow. Without a bound each request would run twice and the service would
 * fall further behind. Confined to one thread.
 */
final class HedgeBudget {
    /** Second runs for each request; a tenth more load leaves an overloaded service what it has. */
    private static final double HEDGES_PER_REQUEST = 0.1;

    /** Second runs that may follow each other after a quiet time. */
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
