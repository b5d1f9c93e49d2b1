package io.rosemarybeam.decision.batch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Orders the items that wait for a slot.
 *
 * <p>Load pattern: trainers wait for a number of complete groups of their step by a due time, a few items are many times
 * longer than the rest, and after a failure there is more work than the slots can do in time.
 *
 * <ul>
 *   <li>Groups that the trainer can do without go last: those with most work beyond the number that it waits for. Groups
 *       of an earlier step are always waited for.
 *   <li>While all awaited groups can be done in time, the item that has to start first goes first: due time less expected
 *       run time. So a long item starts early instead of holding up its step at the end.
 *   <li>When they cannot, the group with least work goes first, so that some groups complete instead of none.
 *   <li>A group that cannot be in time any more yields to those that can, but not for ever.
 * </ul>
 *
 * <p>Stateless and safe for use by several threads.
 */
public final class StepSchedule {
    /** Part of the time from request to due time by which an item of a late group is postponed. */
    private static final double LATE_POSTPONEMENT_FRACTION = 0.5;

    private StepSchedule() {}

    /**
     * An item that is not done. Immutable.
     *
     * @param <T> what the caller knows the item by
     * @param task the item
     * @param expectedMilliseconds expected time that it still runs, in milliseconds; 0 once its text is whole
     * @param isWaiting whether it waits for a slot
     */
    public record Item<T>(T task, long expectedMilliseconds, boolean isWaiting) {}

    /**
     * A group that is not complete. Immutable.
     *
     * @param <T> what the caller knows items by
     * @param isCarriedOver whether it belonged to an earlier step, so that the trainer waits for it in any case
     * @param items its items that are not done, by position
     */
    public record Group<T>(boolean isCarriedOver, List<Item<T>> items) {
        /** Copies the list. */
        public Group {
            items = List.copyOf(items);
        }

        private long work() {
            return items.stream().mapToLong(Item::expectedMilliseconds).sum();
        }

        private long longest() {
            return items.stream().mapToLong(Item::expectedMilliseconds).max().orElse(0);
        }
    }

    /**
     * A step of a trainer. Immutable.
     *
     * @param <T> what the caller knows items by
     * @param acceptedAt when it was accepted, in milliseconds
     * @param deadline when its groups are to be complete, in milliseconds
     * @param missingGroups groups that the trainer still waits for
     * @param groups its groups that are not complete, by position
     */
    public record Step<T>(long acceptedAt, long deadline, int missingGroups, List<Group<T>> groups) {
        /** Copies the list. */
        public Step {
            groups = List.copyOf(groups);
        }
    }

    /** A group with its place in the order, and what is compared often. Immutable. */
    private record RankedGroup<T>(Step<T> step, Group<T> group, long work, long longest, boolean isAwaited) {
        private boolean canMeetDeadline(long now) {
            return now + longest <= step.deadline();
        }

        private long latestStart(Item<T> item, long now) {
            long postponed = canMeetDeadline(now)
                    ? 0
                    : (long) (LATE_POSTPONEMENT_FRACTION * (step.deadline() - step.acceptedAt()));
            return step.deadline() + postponed - item.expectedMilliseconds();
        }
    }

    /** An item that waits, with its group. Immutable. */
    private record WaitingItem<T>(RankedGroup<T> rankedGroup, Item<T> item) {}

    /**
     * Returns the items that wait.
     *
     * @param <T> what the caller knows items by
     * @param steps the open steps
     * @param slots items that may run at once
     * @param now the present time, in milliseconds
     * @return the items, the one to start first at the front
     */
    public static <T> List<T> order(Collection<Step<T>> steps, int slots, long now) {
        List<RankedGroup<T>> groups = new ArrayList<>();
        steps.forEach(step -> rankGroups(step, groups));
        List<WaitingItem<T>> waiting = new ArrayList<>();
        for (RankedGroup<T> place : groups) {
            place.group().items().stream()
                    .filter(Item::isWaiting)
                    .forEach(item -> waiting.add(new WaitingItem<>(place, item)));
        }
        waiting.sort(isOverloaded(groups, slots, now) ? byGroupWork() : byLatestStart(now));
        return waiting.stream().map(entry -> entry.item().task()).toList();
    }

    private static <T> void rankGroups(Step<T> step, List<RankedGroup<T>> groups) {
        List<Group<T>> sorted = new ArrayList<>(step.groups());
        sorted.sort(Comparator.<Group<T>, Boolean>comparing(group -> !group.isCarriedOver())
                .thenComparingLong(Group::work));
        for (int position = 0; position < sorted.size(); position++) {
            Group<T> group = sorted.get(position);
            boolean isAwaited = position < step.missingGroups();
            groups.add(new RankedGroup<>(step, group, group.work(), group.longest(), isAwaited));
        }
    }

    /** Whether the awaited groups, first due first, need more time than there is until one of them is due. */
    private static <T> boolean isOverloaded(List<RankedGroup<T>> groups, int slots, long now) {
        List<RankedGroup<T>> awaited = groups.stream()
                .filter(RankedGroup::isAwaited)
                .sorted(Comparator.comparingLong(place -> place.step().deadline()))
                .toList();
        long work = 0;
        for (RankedGroup<T> place : awaited) {
            work += place.work();
            long left = Math.max(0, place.step().deadline() - now);
            if (work > left * Math.max(1, slots)) {
                return true;
            }
        }
        return false;
    }

    private static <T> Comparator<WaitingItem<T>> byLatestStart(long now) {
        return Comparator.<WaitingItem<T>, Boolean>comparing(
                        entry -> !entry.rankedGroup().isAwaited())
                .thenComparingLong(entry -> entry.rankedGroup().latestStart(entry.item(), now));
    }

    private static <T> Comparator<WaitingItem<T>> byGroupWork() {
        return Comparator.<WaitingItem<T>, Boolean>comparing(
                        entry -> !entry.rankedGroup().isAwaited())
                .thenComparingLong(entry -> entry.rankedGroup().work())
                .thenComparingLong(entry -> entry.rankedGroup().step().deadline())
                .thenComparingLong(entry -> -entry.item().expectedMilliseconds());
    }
}
