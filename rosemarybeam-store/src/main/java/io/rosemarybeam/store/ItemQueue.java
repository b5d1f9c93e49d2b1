package io.rosemarybeam.store;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToLongFunction;

import io.rosemarybeam.common.collection.LeastRecentlyUsedMap;
import io.rosemarybeam.common.id.ItemId;
import io.rosemarybeam.common.id.ModelName;
import io.rosemarybeam.common.id.WorkspaceName;
import io.rosemarybeam.common.wire.Submission;
import io.rosemarybeam.decision.batch.FairOrder;
import io.rosemarybeam.decision.batch.RunTimeEstimate;
import io.rosemarybeam.decision.batch.StepSchedule;

/**
 * Determines the order in which the waiting items of all open submissions start, from the estimated run times, from the
 * groups that earlier submissions contained, and from the service that their workspaces have attained.
 *
 * <p>Confined to the thread of the log driver.
 */
final class ItemQueue {
    /** Maximum number of remembered groups; a step of a trainer has about ten, and a group is resubmitted soon if at all. */
    private static final int MAXIMUM_GROUPS = 4_096;

    private final Map<ModelName, RunTimeEstimate> estimates = new HashMap<>();
    private final Map<String, Boolean> formerGroups = new LeastRecentlyUsedMap<>(MAXIMUM_GROUPS);
    private final FairOrder fairOrder = new FairOrder();
    private List<ItemTask> ordered = List.of();

    /**
     * Records the groups of a submission.
     *
     * @return the groups carried over, that is, contained in an earlier submission
     */
    Set<String> recordGroups(Submission submission) {
        Set<String> groups = new HashSet<>();
        submission.items().forEach(item -> groups.add(item.group()));
        groups.remove("");
        Set<String> carriedOver = new HashSet<>(groups);
        carriedOver.retainAll(formerGroups.keySet());
        groups.forEach(group -> formerGroups.put(group, true));
        return carriedOver;
    }

    /** Adds the number of tokens that the trainer expects of an item to the estimate for its model. */
    void recordExpectedTokens(ItemTask task) {
        estimate(task).recordExpectation(task.item.expectedTokens());
    }

    /** Updates the estimate for the model with a run that generated the complete text of an item. */
    void recordCompletedRun(ItemTask task, long milliseconds) {
        estimate(task).recordRun(task.item.expectedTokens(), task.text.lastEvent(), milliseconds);
    }

    /**
     * Orders the waiting items and returns them in the order in which they should start.
     *
     * @param submissions the open items of each submission, by item
     * @param targets target run time of each submission, in milliseconds
     * @param slots number of items that can run at the same time
     * @param leaderTime current leader time, in milliseconds
     * @param now monotonic time, in milliseconds
     */
    List<ItemTask> order(
            Collection<Map<ItemId, ItemTask>> submissions,
            ToLongFunction<StoredSubmission> targets,
            long slots,
            long leaderTime,
            long now) {
        List<StepSchedule.Step<ItemTask>> steps = new ArrayList<>();
        for (Map<ItemId, ItemTask> open : submissions) {
            open.values().stream().findFirst().ifPresent(first -> {
                long target = targets.applyAsLong(first.submission);
                steps.add(step(first.submission, open.values(), target, now));
            });
        }
        FairOrder.View<ItemTask> view = new FairOrder.View<>(
                ItemQueue::workspace,
                this::remainingMilliseconds,
                task -> leaderTime + remainingMilliseconds(task)
                        <= task.submission.acceptedAt() + targets.applyAsLong(task.submission));
        List<ItemTask> scheduled = StepSchedule.order(steps, slots, leaderTime);
        ordered =
                StepSchedule.isOverloaded(steps, slots, leaderTime) ? fairOrder.order(scheduled, view, now) : scheduled;
        return ordered;
    }

    /**
     * Returns the items that still wait, in the order of the last call of {@link #order}. Ordering all items again whenever
     * one ends would cost more the more items wait.
     *
     * @param now monotonic time, in milliseconds
     */
    Iterable<ItemTask> waiting(long now) {
        return () -> ordered.stream().filter(task -> isStartable(task, now)).iterator();
    }

    /** Records that a waiting item was started, which its workspace is charged for. */
    void recordStart(ItemTask task, long now) {
        fairOrder.recordStart(workspace(task), remainingMilliseconds(task), now);
    }

    private static Optional<WorkspaceName> workspace(ItemTask task) {
        return task.submission.submission().workspace();
    }

    /** Removes the items of a submission from the order; a submission may end between two calls of {@link #order}. */
    void remove(StoredSubmission stored) {
        ordered = ordered.stream().filter(task -> task.submission != stored).toList();
    }

    private static boolean isStartable(ItemTask task, long now) {
        return task.stage == ItemTask.Stage.WAITING && now >= task.notBefore;
    }

    private StepSchedule.Step<ItemTask> step(
            StoredSubmission stored, Collection<ItemTask> open, long target, long now) {
        Map<String, List<StepSchedule.Item<ItemTask>>> items = new LinkedHashMap<>();
        Set<String> carriedOver = new HashSet<>();
        for (ItemTask task : open) {
            String group = StoredSubmission.group(task.item);
            items.computeIfAbsent(group, ignored -> new ArrayList<>()).add(item(task, now));
            if (task.isCarriedOver) {
                carriedOver.add(group);
            }
        }
        int missingGroups = stored.submission().wantedGroups() - (stored.groups() - items.size());
        List<StepSchedule.Group<ItemTask>> groups = new ArrayList<>();
        items.forEach(
                (group, groupItems) -> groups.add(new StepSchedule.Group<>(carriedOver.contains(group), groupItems)));
        return new StepSchedule.Step<>(stored.acceptedAt(), stored.acceptedAt() + target, missingGroups, groups);
    }

    /** Returns the estimated remaining run time of an item, in milliseconds. */
    long remainingMilliseconds(ItemTask task) {
        return estimate(task).remainingMilliseconds(task.item.expectedTokens(), task.text.lastEvent());
    }

    private RunTimeEstimate estimate(ItemTask task) {
        return estimates.computeIfAbsent(task.model, ignored -> new RunTimeEstimate());
    }

    private StepSchedule.Item<ItemTask> item(ItemTask task, long now) {
        boolean isGenerated = task.stage == ItemTask.Stage.SCORING || task.stage == ItemTask.Stage.LISTING;
        long remaining = isGenerated ? 0 : remainingMilliseconds(task);
        return new StepSchedule.Item<>(task, remaining, isStartable(task, now));
    }
}
