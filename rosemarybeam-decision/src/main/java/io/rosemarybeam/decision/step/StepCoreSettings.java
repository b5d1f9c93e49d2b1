package io.rosemarybeam.decision.step;

import java.util.EnumSet;
import java.util.Objects;
import java.util.Set;

import io.rosemarybeam.common.id.FailureDomain;
import io.rosemarybeam.common.id.HostName;

/**
 * Settings of a step core. Immutable and safe for use by several threads.
 *
 * @param entry the entry host that the core runs on
 * @param failureDomain failure domain of that host
 * @param seed part of the request ids, to make them unique; a different number at each start of the process
 * @param initialTrainingCapacity number of samples of a service that may run before its capacity is known
 * @param policies the enabled policies
 */
public record StepCoreSettings(
        HostName entry, FailureDomain failureDomain, long seed, int initialTrainingCapacity, Set<StepPolicy> policies) {
    /**
     * Checks the values and copies the policies.
     *
     * @throws IllegalArgumentException if the initial capacity is negative
     */
    public StepCoreSettings {
        Objects.requireNonNull(entry, "entry");
        Objects.requireNonNull(failureDomain, "failureDomain");
        policies = Set.copyOf(policies);
        if (initialTrainingCapacity < 0) {
            throw new IllegalArgumentException("initial training capacity " + initialTrainingCapacity + " is negative");
        }
    }

    /**
     * Returns a builder with all policies enabled.
     *
     * @param entry the entry host that the core runs on
     * @param failureDomain failure domain of that host
     * @return the builder
     */
    public static Builder builder(HostName entry, FailureDomain failureDomain) {
        return new Builder(entry, failureDomain);
    }

    /** Builds settings. Not safe for use by several threads. */
    public static final class Builder {
        private static final int DEFAULT_INITIAL_TRAINING_CAPACITY = 8;

        private final HostName entry;
        private final FailureDomain failureDomain;
        private long seed;
        private int initialTrainingCapacity = DEFAULT_INITIAL_TRAINING_CAPACITY;
        private Set<StepPolicy> policies = EnumSet.allOf(StepPolicy.class);

        private Builder(HostName entry, FailureDomain failureDomain) {
            this.entry = entry;
            this.failureDomain = failureDomain;
        }

        /**
         * Sets the seed.
         *
         * @param value a different number at each start of the process
         * @return this builder
         */
        public Builder seed(long value) {
            seed = value;
            return this;
        }

        /**
         * Sets how many samples of a service may run before its capacity is known.
         *
         * @param samples not negative
         * @return this builder
         */
        public Builder initialTrainingCapacity(int samples) {
            initialTrainingCapacity = samples;
            return this;
        }

        /**
         * Sets the enabled policies.
         *
         * @param value the policies
         * @return this builder
         */
        public Builder policies(Set<StepPolicy> value) {
            policies = value;
            return this;
        }

        /**
         * Builds the settings.
         *
         * @return the settings
         * @throws IllegalArgumentException if the initial capacity is negative
         */
        public StepCoreSettings build() {
            return new StepCoreSettings(entry, failureDomain, seed, initialTrainingCapacity, policies);
        }
    }
}
