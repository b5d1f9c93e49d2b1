package io.rosemarybeam.decision.batch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Orders the items that wait for a slot.
 *
 * <p>Load pattern: trainers wait for a number of complete groups of their step by a deadline, a few items are many times
 * longer than the rest, and after a failure there is more work than the slots can complete in time.
 *
 * <ul>
 *   <li>Groups that the trainer does not wait for go last: of each step, those with the most remaining work beyond the
 *       number of groups that it waits for. Groups carried over from an earlier step are always waited for.
 *   <li>While all awaited groups can meet their deadlines, items are ordered by their latest start: deadline less expected
 *       run time. So a long item starts early instead of delaying its step at the end.
 *   <li>When they cannot, the group with the least remaining work goes first, so that some groups complete instead of none.
 *   <li>A group that can no longer meet its deadline yields to those that can, but only for a limited time.
 * </ul>
 *
 * <p>Stateless and safe for use by several threads.
 */
public final class StepSchedule {
    /**
     * Fraction of the time from acceptance to deadline by which an item of a late group is postponed. The postponement is
     * limited, so that late groups still run.
     */
    private static final double LATE_POSTPONEMENT_FRACTION = 0.5;

    private StepSchedule() {}

    /**
     * An item that is not complete. Immutable.
     *
     * @param <T> the caller's type of an item
     * @param task the caller's item
     * @param expectedMilliseconds expected remaining run time; 0 once its text is complete
     * @param isWaiting whether it waits for a slot
     */
    public record Item<T>(T task, long expectedMilliseconds, boolean isWaiting) {}

    /**
     * A group that is not complete. Immutable.
     *
     * @param <T> the caller's type of an item
     * @param isCarriedOver whether it belonged to an earlier step, so that the trainer waits for it in any case
     * @param items its items that are not complete, in the order of the submission
     */
    public record Group<T>(boolean isCarriedOver, List<Item<T>> items) {
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
     * @param <T> the caller's type of an item
     * @param acceptedAt time at which the step was accepted, in milliseconds
     * @param deadline time by which its groups should be complete, in milliseconds
     * @param missingGroups groups that the trainer still waits for
     * @param groups its groups that are not complete, in the order of the submission
     */
    public record Step<T>(long acceptedAt, long deadline, int missingGroups, List<Group<T>> groups) {
        public Step {
            groups = List.copyOf(groups);
        }
    }

    /** A group with its step, and the values that sorting compares often, computed once. Immutable. */
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

    /** A waiting item with its group. Immutable. */
    private record WaitingItem<T>(RankedGroup<T> rankedGroup, Item<T> item) {}

    /**
     * Returns the waiting items in the order in which they should start.
     *
     * @param <T> the caller's type of an item
     * @param steps the open steps
     * @param slots maximum number of items that run at the same time
     * @param now the current time, in milliseconds
     * @return the items, the one to start first at the front
     */
    public static <T> List<T> order(Collection<Step<T>> steps, long slots, long now) {
        List<RankedGroup<T>> groups = new ArrayList<>();
        steps.forEach(step -> rankGroups(step, groups));
        List<WaitingItem<T>> waiting = new ArrayList<>();
        for (RankedGroup<T> rankedGroup : groups) {
            rankedGroup.group().items().stream()
                    .filter(Item::isWaiting)
                    .forEach(item -> waiting.add(new WaitingItem<>(rankedGroup, item)));
        }
        waiting.sort(isOverloaded(groups, slots, now) ? byGroupWork() : byLatestStart(now));
        return waiting.stream().map(entry -> entry.item().task()).toList();
    }

    /**
     * Returns whether the slots cannot complete all awaited groups in time, so that some items have to yield.
     *
     * @param <T> the caller's type of an item
     * @param steps the open steps
     * @param slots maximum number of items that run at the same time
     * @param now the current time, in milliseconds
     * @return true if the awaited groups, run in the order of their deadlines, miss one of these deadlines
     */
    public static <T> boolean isOverloaded(Collection<Step<T>> steps, long slots, long now) {
        List<RankedGroup<T>> groups = new ArrayList<>();
        steps.forEach(step -> rankGroups(step, groups));
        return isOverloaded(groups, slots, now);
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

    /** Whether the awaited groups, run in the order of their deadlines, miss one of these deadlines. */
    private static <T> boolean isOverloaded(List<RankedGroup<T>> groups, long slots, long now) {
        List<RankedGroup<T>> awaited = groups.stream()
                .filter(RankedGroup::isAwaited)
                .sorted(Comparator.comparingLong(
                        rankedGroup -> rankedGroup.step().deadline()))
                .toList();
        long work = 0;
        for (RankedGroup<T> rankedGroup : awaited) {
            work += rankedGroup.work();
            long remaining = Math.max(0, rankedGroup.step().deadline() - now);
            if (work > remaining * Math.max(1, slots)) {
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
