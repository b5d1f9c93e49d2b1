package io.rosemarybeam.decision.routing;

import java.time.Duration;

/**
 * What callers may send. Immutable and safe for use by several threads.
 *
 * @param maximumHeaderBytes largest head of a request, in bytes
 * @param maximumBodyBytes largest body, in bytes
 * @param headerTimeout how long the head may take
 * @param idleTimeout how long a connection may stay without a request
 */
public record CallerLimits(int maximumHeaderBytes, int maximumBodyBytes, Duration headerTimeout, Duration idleTimeout) {
    private static final CallerLimits DEFAULTS =
            new CallerLimits(16_384, 33_554_432, Duration.ofSeconds(3), Duration.ofSeconds(15));

    /**
     * Returns the limits that hold until a configuration says otherwise.
     *
     * @return the limits of the users' example configuration
     */
    public static CallerLimits defaults() {
        return DEFAULTS;
    }
}
