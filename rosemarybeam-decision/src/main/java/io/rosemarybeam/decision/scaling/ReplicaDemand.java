package io.rosemarybeam.decision.scaling;

import java.util.OptionalDouble;

/**
 * How much of a service the open work needs. Immutable and safe for use by several threads.
 *
 * @param slots slots that the work needs to be done in time; empty if this host does not see all work of the service
 * @param runningItems number of items that run at its endpoints
 */
public record ReplicaDemand(OptionalDouble slots, int runningItems) {
    /**
     * Returns the part of a slot that an item needs until it is due. A replica that is ordered now serves after its boot time, so
     * that work which is due earlier, or overdue, is spread over the boot time; otherwise each burst of short items would ask
     * for as many slots as it has items.
     *
     * @param remainingMilliseconds expected remaining run time of the item
     * @param untilDueMilliseconds time until the item is due; negative if it is overdue
     * @param bootMilliseconds boot time of a replica
     * @return a number between 0 and 1
     */
    public static double slotShare(long remainingMilliseconds, long untilDueMilliseconds, long bootMilliseconds) {
        long horizon = Math.max(1, Math.max(untilDueMilliseconds, bootMilliseconds));
        return Math.clamp((double) remainingMilliseconds / horizon, 0.0, 1.0);
    }
}
