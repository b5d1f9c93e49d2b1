package io.rosemarybeam.decision.request;

import java.util.EnumSet;
import java.util.Objects;
import java.util.Set;

import io.rosemarybeam.common.id.FailureDomain;
import io.rosemarybeam.common.id.HostName;

/**
 * Settings of a request core. Immutable and safe for use by several threads.
 *
 * @param entryName name of this entry host, the first part of attempt ids
 * @param failureDomain failure domain of this entry host
 * @param seed seed of all random decisions; different for each start of the process, so that attempt ids differ
 */
public record RequestCoreSettings(
        HostName entryName, FailureDomain failureDomain, long seed, Set<RequestPolicy> policies) {
    /** Copies the policies. */
    public RequestCoreSettings {
        Objects.requireNonNull(entryName, "entryName");
        Objects.requireNonNull(failureDomain, "failureDomain");
        policies = Set.copyOf(policies);
    }

    public boolean uses(RequestPolicy policy) {
        return policies.contains(policy);
    }

    /** Returns a builder with all policies enabled and seed 0. */
    public static Builder builder(HostName entryName, FailureDomain failureDomain) {
        return new Builder(entryName, failureDomain);
    }

    /** Builds settings. Not safe for use by several threads. */
    public static final class Builder {
        private final HostName entryName;
        private final FailureDomain failureDomain;
        private final EnumSet<RequestPolicy> policies = EnumSet.allOf(RequestPolicy.class);
        private long seed;

        private Builder(HostName entryName, FailureDomain failureDomain) {
            this.entryName = entryName;
            this.failureDomain = failureDomain;
        }

        public Builder seed(long value) {
            seed = value;
            return this;
        }

        /** Disables policies. */
        public Builder without(RequestPolicy... disabledPolicies) {
            policies.removeAll(Set.of(disabledPolicies));
            return this;
        }

        public RequestCoreSettings build() {
            return new RequestCoreSettings(entryName, failureDomain, seed, policies);
        }
    }
}
