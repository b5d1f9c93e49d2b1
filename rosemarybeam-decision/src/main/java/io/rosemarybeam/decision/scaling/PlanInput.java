package io.rosemarybeam.decision.scaling;

import java.util.List;
import java.util.Map;

/**
 * What a {@link ReplicaPlan} decides on. Immutable and safe for use by several threads.
 *
 * @param policy limits and prices
 * @param replicas the announced replicas of the service, departed ones excluded
 * @param demand the work of the service
 * @param lastOrders the last order of each group that was ordered
 * @param now monotonic time, in milliseconds
 */
public record PlanInput(
        ScalingPolicy policy,
        List<AnnouncedReplica> replicas,
        ReplicaDemand demand,
        Map<ReplicaGroup, LastOrder> lastOrders,
        long now) {
    public PlanInput {
        replicas = List.copyOf(replicas);
        lastOrders = Map.copyOf(lastOrders);
    }
}
