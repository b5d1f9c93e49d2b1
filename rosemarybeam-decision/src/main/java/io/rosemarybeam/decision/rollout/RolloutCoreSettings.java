package io.rosemarybeam.decision.rollout;

import java.util.Objects;

import io.rosemarybeam.common.id.HostName;

/**
 * Settings of a rollout core. Immutable and safe for use by several threads.
 *
 * @param entry the entry host that the core runs on
 * @param orderTimeoutMilliseconds timeout of the call that delivers an order; must be shorter than an issuer lease
 * @param swapTimeoutMilliseconds time without a new reported version after which a swap counts as failed
 * @param renewMilliseconds interval between renewals of an issuer lease
 */
public record RolloutCoreSettings(
        HostName entry, long orderTimeoutMilliseconds, long swapTimeoutMilliseconds, long renewMilliseconds) {
    private static final long DEFAULT_ORDER_TIMEOUT_MILLISECONDS = 1_000;
    private static final long DEFAULT_SWAP_TIMEOUT_MILLISECONDS = 30_000;
    private static final long DEFAULT_RENEW_MILLISECONDS = 1_000;

    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException if a timeout or the interval is not positive
     */
    public RolloutCoreSettings {
        Objects.requireNonNull(entry, "entry");
        if (orderTimeoutMilliseconds <= 0 || swapTimeoutMilliseconds <= 0 || renewMilliseconds <= 0) {
            throw new IllegalArgumentException("order timeout, swap timeout and renewal interval must be positive");
        }
    }

    /**
     * Returns a builder with the default timeouts and interval.
     *
     * @param entry the entry host that the core runs on
     * @return the builder
     */
    public static Builder builder(HostName entry) {
        return new Builder(entry);
    }

    /** Builds settings. Not safe for use by several threads. */
    public static final class Builder {
        private final HostName entry;
        private long orderTimeoutMilliseconds = DEFAULT_ORDER_TIMEOUT_MILLISECONDS;
        private long swapTimeoutMilliseconds = DEFAULT_SWAP_TIMEOUT_MILLISECONDS;
        private long renewMilliseconds = DEFAULT_RENEW_MILLISECONDS;

        private Builder(HostName entry) {
            this.entry = entry;
        }

        /**
         * Sets the timeout of the call that delivers an order.
         *
         * @param milliseconds positive
         * @return this builder
         */
        public Builder orderTimeoutMilliseconds(long milliseconds) {
            orderTimeoutMilliseconds = milliseconds;
            return this;
        }

        /**
         * Sets the time without a new reported version after which a swap counts as failed.
         *
         * @param milliseconds positive
         * @return this builder
         */
        public Builder swapTimeoutMilliseconds(long milliseconds) {
            swapTimeoutMilliseconds = milliseconds;
            return this;
        }

        /**
         * Sets the interval between renewals of an issuer lease.
         *
         * @param milliseconds positive
         * @return this builder
         */
        public Builder renewMilliseconds(long milliseconds) {
            renewMilliseconds = milliseconds;
            return this;
        }

        /**
         * Builds the settings.
         *
         * @return the settings
         * @throws IllegalArgumentException if a timeout or the interval is not positive
         */
        public RolloutCoreSettings build() {
            return new RolloutCoreSettings(entry, orderTimeoutMilliseconds, swapTimeoutMilliseconds, renewMilliseconds);
        }
    }
}
