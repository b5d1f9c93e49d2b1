package io.rosemarybeam.decision.routing;

/** What a route carries, and so what may be repeated. Immutable and safe for use by several threads. */
public enum RouteKind {
    /** Requests that may run more than once. */
    IDEMPOTENT(true),
    /** Requests that may run once at most. */
    NON_IDEMPOTENT(false),
    /** Requests that are answered by a stream of events; repeated only if the route says that streams may be resumed. */
    STREAMING(false),
    /** Batch submissions, whose items the store runs. */
    ROLLOUT(true);

    private final boolean repeatable;

    RouteKind(boolean repeatable) {
        this.repeatable = repeatable;
    }

    /**
     * Returns whether a request that may have run may run again.
     *
     * @return true if a second run does no harm
     */
    public boolean isRepeatable() {
        return repeatable;
    }
}
