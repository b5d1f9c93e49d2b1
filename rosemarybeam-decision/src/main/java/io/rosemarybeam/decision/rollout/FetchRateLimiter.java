package io.rosemarybeam.decision.rollout;

import java.util.ArrayDeque;

/**
 * Limits the rate of fetches from the weight store and spaces them evenly.
 *
 * <p>Invariant: no interval of one second, wherever it begins, contains more fetches than permitted. Confined to the thread
 * of the core.
 */
final class FetchRateLimiter {
    private static final double MILLISECONDS_PER_SECOND = 1_000;

    /** Lateness of a fetch that does not delay the following ones: about one tick of the timer. */
    private static final double MAXIMUM_CATCH_UP_MILLISECONDS = 10;

    private final ArrayDeque<Long> recent = new ArrayDeque<>();
    private double nextAtMilliseconds = Double.NEGATIVE_INFINITY;

    boolean isPermitted(long now, int perSecond) {
        recent.removeIf(fetch -> now >= fetch + MILLISECONDS_PER_SECOND);
        return now >= nextAtMilliseconds && recent.size() < perSecond;
    }

    void recordFetch(long now, int perSecond) {
        recent.add(now);
        double due = Math.max(nextAtMilliseconds, now - MAXIMUM_CATCH_UP_MILLISECONDS);
        nextAtMilliseconds = due + MILLISECONDS_PER_SECOND / Math.max(1, perSecond);
    }
}
