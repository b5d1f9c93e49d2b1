package io.rosemarybeam.decision.routing;

/**
 * Kind of the requests of a route, which determines whether they may be repeated. Immutable and safe for use by several
 * threads.
 */
public enum RouteKind {
    /** Requests that may run more than once. */
    IDEMPOTENT(true),
    /** Requests that may run at most once. */
    NON_IDEMPOTENT(false),
    /** Requests answered by a stream of events; repeated only if the route allows streams to be resumed. */
    STREAMING(false),
    /** Batch submissions, whose items are run by the leader of the store hosts. */
    ROLLOUT(true);

    private final boolean repeatable;

    RouteKind(boolean repeatable) {
        this.repeatable = repeatable;
    }

    /**
     * Returns whether a request may run again although it may have run already.
     *
     * @return true if a second run has no harmful effect
     */
    public boolean isRepeatable() {
        return repeatable;
    }
}
