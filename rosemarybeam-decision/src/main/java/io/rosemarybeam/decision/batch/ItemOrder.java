package io.rosemarybeam.decision.batch;

import java.util.Comparator;

/**
 * Orders the items that wait for a slot.
 *
 * <p>Load pattern: more items than slots, while trainers wait for a share of complete groups. The submission that is due
 * first goes first; within it the group with least work left, so that groups complete one after the other instead of all at
 * the end; within a group the longest item, which decides when the group is complete. Stateless and safe for use by several
 * threads.
 */
public final class ItemOrder {
    private static final Comparator<Waiting> ORDER = Comparator.comparingLong(Waiting::due)
            .thenComparingLong(Waiting::groupTokensLeft)
            .thenComparingInt(Waiting::groupPosition)
            .thenComparing(Comparator.comparingLong(Waiting::tokens).reversed())
            .thenComparingInt(Waiting::position);

    private ItemOrder() {}

    /**
     * An item that waits. Immutable.
     *
     * @param due time at which its submission is to be complete, in milliseconds
     * @param groupTokensLeft tokens that the unlisted items of its group may still generate
     * @param groupPosition position of the first item of its group in the submission
     * @param tokens tokens that it may generate
     * @param position its position in the submission
     */
    public record Waiting(long due, long groupTokensLeft, int groupPosition, long tokens, int position) {}

    /**
     * Returns the order.
     *
     * @return compares items, the first one to start first
     */
    public static Comparator<Waiting> order() {
        return ORDER;
    }
}
