package io.rosemarybeam.decision.scaling;

import java.util.Objects;

import io.rosemarybeam.common.id.FailureDomain;

/**
 * The replicas of one kind that a service has in a failure domain. Immutable and safe for use by several threads.
 *
 * @param failureDomain the failure domain
 * @param preemptible whether the provider may take them away at a notice
 */
public record ReplicaGroup(FailureDomain failureDomain, boolean preemptible) {
    public ReplicaGroup {
        Objects.requireNonNull(failureDomain, "failureDomain");
    }
}
