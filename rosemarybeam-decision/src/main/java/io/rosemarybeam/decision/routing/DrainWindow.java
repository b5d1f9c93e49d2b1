package io.rosemarybeam.decision.routing;

/**
 * Decides which requests a stopping process still takes.
 *
 * <p>It answers the load of a planned stop: callers keep an address for some lifetimes and go on sending requests to it, and a
 * request that is still running when the stop time ends is cut off, although it may not be repeated. While addresses are
 * still in use every request is taken, because most end long before the stop and a refusal costs each of them a retry. After
 * that only those are taken that end before the process does, whatever their endpoint does.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param lateFrom monotonic time from which callers should use other processes, in milliseconds
 * @param finishBy monotonic time at which requests in progress are ended, in milliseconds
 */
public record DrainWindow(long lateFrom, long finishBy) {
    /**
     * Returns whether to take a request.
     *
     * @param now monotonic time, in milliseconds
     * @param deadline monotonic time at which the request is answered at the latest, in milliseconds
     * @return false if the request should be refused as not run
     */
    public boolean accepts(long now, long deadline) {
        return now < lateFrom || deadline <= finishBy;
    }
}
