package io.rosemarybeam.decision.scaling;

import java.time.Duration;
import java.util.Map;
import java.util.Objects;

import io.rosemarybeam.common.id.FailureDomain;

/**
 * How many replicas of a service may be ordered, and what they cost.
 *
 * <p>Invariant: the minimum does not exceed the maximum, and no figure is negative. Immutable and safe for use by several
 * threads.
 *
 * @param minimumReplicas minimum number of replicas in each failure domain, of both kinds together
 * @param maximumReplicas maximum number of replicas in each failure domain, of both kinds together
 * @param bootTime time from an order until its replicas serve
 * @param preemptiblePrice price of a preemptible replica, as a fraction of the price of the others
 * @param prices price of one second of a replica by failure domain; domains that are not listed cost 1
 */
public record ScalingPolicy(
        int minimumReplicas,
        int maximumReplicas,
        Duration bootTime,
        double preemptiblePrice,
        Map<FailureDomain, Double> prices) {
    public ScalingPolicy {
        Objects.requireNonNull(bootTime, "bootTime");
        if (minimumReplicas < 0 || maximumReplicas < minimumReplicas || bootTime.isNegative()) {
            throw new IllegalArgumentException("a scaling policy with limits or a time out of range");
        }
        prices = Map.copyOf(prices);
    }
}
