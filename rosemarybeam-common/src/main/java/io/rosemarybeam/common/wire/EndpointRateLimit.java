package io.rosemarybeam.common.wire;

import java.util.Objects;

import io.rosemarybeam.common.id.EndpointId;

/**
 * The rate limit that an endpoint names in its answers. Immutable and safe for use by several threads.
 *
 * @param endpoint the endpoint
 * @param revision increases with each change that any host observes, so that hosts agree on the newest one without a common
 *     clock
 * @param requestsPerSecond requests that the endpoint takes per second from all hosts together; {@link #UNLIMITED} if its
 *     answers no longer name a limit
 */
public record EndpointRateLimit(EndpointId endpoint, long revision, double requestsPerSecond) {
    /** Rate of an endpoint that names no limit. */
    public static final double UNLIMITED = Double.POSITIVE_INFINITY;

    public EndpointRateLimit {
        Objects.requireNonNull(endpoint, "endpoint");
        if (!(requestsPerSecond >= 0)) {
            throw new IllegalArgumentException("invalid rate " + requestsPerSecond);
        }
    }

    /**
     * Returns whether the endpoint names a limit.
     *
     * @return false if it takes requests at any rate
     */
    public boolean isLimited() {
        return requestsPerSecond != UNLIMITED;
    }

    /**
     * Returns whether this is to replace another one of the same endpoint. Of two with the same revision, which two hosts
     * observed independently, the lower limit does.
     *
     * @param other the other limit
     * @return true if this one is newer
     */
    public boolean replaces(EndpointRateLimit other) {
        return revision != other.revision ? revision > other.revision : requestsPerSecond < other.requestsPerSecond;
    }
}
