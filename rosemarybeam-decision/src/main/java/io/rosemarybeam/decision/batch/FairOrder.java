package io.rosemarybeam.decision.batch;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

import io.rosemarybeam.common.id.WorkspaceName;
import io.rosemarybeam.decision.fairness.WorkspaceShares;

/**
 * Shares the slots between the workspaces of the waiting items.
 *
 * <p>Load pattern: 78 workspaces of very unequal size send more than the slots can run, because one of them sends ten times its
 * share. The items in the order of {@link StepSchedule} are interleaved by workspace, the one with the least expected run time
 * started in the last 10 s first. An item that can no longer meet its deadline keeps its place, so that none is run in its
 * favour.
 *
 * <p>To be used while {@link StepSchedule#isOverloaded}: as long as all items can be in time, the order by latest start serves
 * every workspace, and any other order only makes long items late. If only one workspace waits, or none is named, the order is
 * that of {@link StepSchedule}. Confined to one thread.
 */
public final class FairOrder {
    private final WorkspaceShares shares = new WorkspaceShares();

    /**
     * What is known of an item.
     *
     * @param <T> the caller's type of an item
     * @param workspace returns its workspace, if any
     * @param expectedMilliseconds returns its expected remaining run time
     * @param canMeetDeadline whether it can be complete in time if it starts now
     */
    public record View<T>(
            Function<T, Optional<WorkspaceName>> workspace,
            ToLongFunction<T> expectedMilliseconds,
            Predicate<T> canMeetDeadline) {}

    /**
     * Returns the waiting items in the order in which they should start.
     *
     * @param <T> the caller's type of an item
     * @param scheduled the items in the order of {@link StepSchedule}
     * @param view what is known of an item
     * @param now monotonic time, in milliseconds
     * @return the same items, the one to start first at the front
     */
    public <T> List<T> order(List<T> scheduled, View<T> view, long now) {
        boolean isShared =
                scheduled.stream().map(view.workspace()).distinct().limit(2).count() > 1;
        if (!isShared) {
            return scheduled;
        }
        List<T> inTime = scheduled.stream().filter(view.canMeetDeadline()).toList();
        Iterator<T> interleaved = shares.interleave(
                        inTime,
                        view.workspace(),
                        item -> view.expectedMilliseconds().applyAsLong(item),
                        now)
                .iterator();
        List<T> ordered = new ArrayList<>(scheduled.size());
        for (T item : scheduled) {
            ordered.add(view.canMeetDeadline().test(item) ? interleaved.next() : item);
        }
        return ordered;
    }

    /**
     * Records that an item was started.
     *
     * @param workspace its workspace, if any
     * @param expectedMilliseconds its expected remaining run time
     * @param now monotonic time, in milliseconds
     */
    public void recordStart(Optional<WorkspaceName> workspace, long expectedMilliseconds, long now) {
        shares.recordStart(workspace, expectedMilliseconds, now);
    }
}
