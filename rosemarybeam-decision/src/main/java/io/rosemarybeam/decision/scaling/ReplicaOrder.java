package io.rosemarybeam.decision.scaling;

/** An order that a {@link ReplicaPlan} decided. Immutable and safe for use by several threads. */
public sealed interface ReplicaOrder {
    /** Returns the replicas that are ordered. */
    ReplicaGroup group();

    /** Returns the number of replicas that the group is to have. */
    int count();

    /**
     * Orders more replicas than there are.
     *
     * @param group the replicas
     * @param count the number that the group is to have
     */
    record Grow(ReplicaGroup group, int count) implements ReplicaOrder {}

    /**
     * Orders fewer replicas than there are.
     *
     * @param group the replicas
     * @param count the number that the group is to have
     */
    record Shrink(ReplicaGroup group, int count) implements ReplicaOrder {}

    /**
     * Orders again what was lost or carried out before an older order.
     *
     * @param group the replicas
     * @param count the number that the group is to have
     */
    record Repeat(ReplicaGroup group, int count) implements ReplicaOrder {}
}
