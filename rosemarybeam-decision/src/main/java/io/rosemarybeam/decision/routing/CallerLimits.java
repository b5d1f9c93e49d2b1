package io.rosemarybeam.decision.routing;

import java.time.Duration;

/**
 * Limits on the requests of callers. Immutable and safe for use by several threads.
 *
 * @param maximumHeaderBytes maximum size of the request line and headers, in bytes
 * @param maximumBodyBytes maximum size of a body, in bytes
 * @param headerTimeout maximum time to receive the request line and headers
 * @param idleTimeout time after which a connection without a request is closed
 */
public record CallerLimits(int maximumHeaderBytes, int maximumBodyBytes, Duration headerTimeout, Duration idleTimeout) {
    private static final CallerLimits DEFAULTS =
            new CallerLimits(16_384, 33_554_432, Duration.ofSeconds(3), Duration.ofSeconds(15));

    /**
     * Returns the limits that apply until a configuration sets others.
     *
     * @return the limits of the example configuration
     */
    public static CallerLimits defaults() {
        return DEFAULTS;
    }
}
