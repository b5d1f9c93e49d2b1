package io.rosemarybeam.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.rosemarybeam.common.collection.RecentMap;
import io.rosemarybeam.common.id.ItemId;
import io.rosemarybeam.common.id.SubmissionId;
import io.rosemarybeam.decision.batch.ItemText;

/**
 * Keeps the texts of long items, so that they go on where they were when the leader fails or their group comes again.
 *
 * <p>Texts that are still growing go into the log in parts of about a second of generation; short texts are cheaper to
 * generate again than to keep. Texts of ended submissions stay in memory besides, whatever their length. Confined to the
 * thread of the log's driver.
 */
final class TextKeeper {
    /** New events of an item after which they are kept; an engine makes about 25 events a second. */
    private static final int LEAST_EVENTS = 25;

    /** Texts of ended submissions that stay in memory; a step has some hundred items. */
    private static final int MAXIMUM_ENDED_TEXTS = 2_000;

    private final StoreState state;
    private final BatchRunner.Leading leading;
    private final Map<ItemId, ItemText> ended = new RecentMap<>(MAXIMUM_ENDED_TEXTS);

    TextKeeper(StoreState state, BatchRunner.Leading leading) {
        this.state = state;
        this.leading = leading;
    }

    /** Gives an item the text that an earlier leader or an earlier submission left, if its versions fit. */
    void restore(ItemTask task) {
        ItemText left = left(task);
        if (left.lastEvent() > 0 && left.satisfies(task.submission.submission().oldestVersion(), task.singleVersion)) {
            task.text = left;
        }
    }

    private ItemText left(ItemTask task) {
        ItemText inMemory = ended.remove(task.item.id());
        if (inMemory != null) {
            return inMemory;
        }
        ItemText longest = new ItemText();
        for (KeptSubmission kept : state.submissions()) {
            Optional<ItemText.Part> part = kept.keptText(task.item.id());
            if (part.isPresent() && part.get().data().size() > longest.lastEvent()) {
                longest.append(part.get());
            }
        }
        return longest;
    }

    /** Remembers the text of an item whose submission ended. */
    void ended(ItemTask task) {
        if (task.text.lastEvent() > 0) {
            ended.put(task.item.id(), task.text);
        }
    }

    /** Puts what the items of a submission have generated since the last time into the log. */
    void keep(SubmissionId submission, Iterable<ItemTask> open) {
        List<KeptSubmission.StoredText> grown = new ArrayList<>();
        for (ItemTask task : open) {
            if (task.text.lastEvent() < task.keptEvents) {
                // The text was cleared, so it is kept from its first event on.
                task.keptEvents = 0;
            }
            if (task.stage != ItemTask.Stage.LISTING && task.text.lastEvent() - task.keptEvents >= LEAST_EVENTS) {
                grown.add(new KeptSubmission.StoredText(task.item.id(), task.text.partAfter(task.keptEvents)));
                task.keptEvents = task.text.lastEvent();
            }
        }
        if (!grown.isEmpty()) {
            leading.keep(submission, grown);
        }
    }
}
