package io.rosemarybeam.store;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToLongFunction;

import io.rosemarybeam.common.collection.RecentMap;
import io.rosemarybeam.common.id.ItemId;
import io.rosemarybeam.common.id.ModelName;
import io.rosemarybeam.common.wire.Submission;
import io.rosemarybeam.decision.batch.RunTimeEstimate;
import io.rosemarybeam.decision.batch.StepSchedule;

/**
 * The order in which the items of all open submissions start, with what it rests on: how long runs take, and which groups
 * an earlier submission had already.
 *
 * <p>Confined to the thread of the log's driver.
 */
final class ItemQueue {
    /** Groups of earlier submissions that are remembered; a step has some ten groups, and a group comes again soon. */
    private static final int MAXIMUM_GROUPS = 4_096;

    private final Map<ModelName, RunTimeEstimate> estimates = new HashMap<>();
    private final Map<String, Boolean> formerGroups = new RecentMap<>(MAXIMUM_GROUPS);

    /**
     * Notes the groups of a submission.
     *
     * @return those that an earlier submission had
     */
    Set<String> carriedOver(Submission submission) {
        Set<String> groups = new HashSet<>();
        submission.items().forEach(item -> groups.add(item.group()));
        groups.remove("");
        Set<String> carriedOver = new HashSet<>(groups);
        carriedOver.retainAll(formerGroups.keySet());
        groups.forEach(group -> formerGroups.put(group, true));
        return carriedOver;
    }

    /** Learns what the trainer expects of an item that is to run. */
    void asked(ItemTask task) {
        estimate(task).recordExpectation(task.item.expectedTokens());
    }

    /** Learns from a run that generated the whole text of an item. */
    void finished(ItemTask task, long milliseconds) {
        estimate(task).recordRun(task.item.expectedTokens(), task.text.lastEvent(), milliseconds);
    }

    /**
     * The items that wait, the one to start first at the front.
     *
     * @param submissions the open items of each submission, by position
     * @param targets time that each submission may take, in milliseconds
     * @param slots items that may run at once
     * @param leaderTime time of the leader, in milliseconds
     * @param now steady time, in milliseconds
     */
    List<ItemTask> order(
            Collection<Map<ItemId, ItemTask>> submissions,
            ToLongFunction<KeptSubmission> targets,
            int slots,
            long leaderTime,
            long now) {
        List<StepSchedule.Step<ItemTask>> steps = new ArrayList<>();
        for (Map<ItemId, ItemTask> open : submissions) {
            open.values().stream().findFirst().ifPresent(first -> {
                long target = targets.applyAsLong(first.submission);
                steps.add(step(first.submission, open.values(), target, now));
            });
        }
        return StepSchedule.order(steps, slots, leaderTime);
    }

    private StepSchedule.Step<ItemTask> step(KeptSubmission kept, Collection<ItemTask> open, long target, long now) {
        Map<String, List<StepSchedule.Item<ItemTask>>> items = new LinkedHashMap<>();
        Set<String> carriedOver = new HashSet<>();
        for (ItemTask task : open) {
            String group = KeptSubmission.group(task.item);
            items.computeIfAbsent(group, ignored -> new ArrayList<>()).add(item(task, now));
            if (task.isCarriedOver) {
                carriedOver.add(group);
            }
        }
        int missing = kept.submission().wantedGroups() - (kept.groups() - items.size());
        List<StepSchedule.Group<ItemTask>> groups = new ArrayList<>();
        items.forEach((group, left) -> groups.add(new StepSchedule.Group<>(carriedOver.contains(group), left)));
        return new StepSchedule.Step<>(kept.acceptedAt(), kept.acceptedAt() + target, missing, groups);
    }

    /** How long an item is expected to run from now on, in milliseconds. */
    long expected(ItemTask task) {
        return estimate(task).remainingMilliseconds(task.item.expectedTokens(), task.text.lastEvent());
    }

    private RunTimeEstimate estimate(ItemTask task) {
        return estimates.computeIfAbsent(task.model, ignored -> new RunTimeEstimate());
    }

    private StepSchedule.Item<ItemTask> item(ItemTask task, long now) {
        boolean isGenerated = task.stage == ItemTask.Stage.SCORING || task.stage == ItemTask.Stage.LISTING;
        long left = isGenerated ? 0 : expected(task);
        boolean waits = task.stage == ItemTask.Stage.WAITING && now >= task.notBefore;
        return new StepSchedule.Item<>(task, left, waits);
    }
}
