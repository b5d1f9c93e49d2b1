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
 * Stores the partial texts of long items, so that generation resumes from them after a change of leader or when a later
 * submission contains the same item.
 *
 * <p>Growing texts are written to the log in parts of about one second of generation; short texts are cheaper to generate
 * again than to store. Texts of ended submissions are also retained in memory, whatever their length. Confined to the thread
 * of the log driver.
 */
final class PartialTextStore {
    /** Minimum number of new events of an item that is written to the log; an engine makes about 25 events a second. */
    private static final int MINIMUM_NEW_EVENTS = 25;

    /** Maximum number of texts of ended submissions in memory; a step of a trainer has a few hundred items. */
    private static final int MAXIMUM_ENDED_TEXTS = 2_000;

    private final StoreState state;
    private final BatchRunner.LeaderContext leader;
    private final Map<ItemId, ItemText> endedTexts = new RecentMap<>(MAXIMUM_ENDED_TEXTS);

    PartialTextStore(StoreState state, BatchRunner.LeaderContext leader) {
        this.state = state;
        this.leader = leader;
    }

    /** Sets the text of an item to the one that an earlier leader or submission stored, if its weight versions are allowed. */
    void restore(ItemTask task) {
        ItemText earlier = earlierText(task);
        if (earlier.lastEvent() > 0 && earlier.satisfies(task.submission.submission().oldestVersion(), task.singleVersion)) {
            task.text = earlier;
        }
    }

    private ItemText earlierText(ItemTask task) {
        ItemText inMemory = endedTexts.remove(task.item.id());
        if (inMemory != null) {
            return inMemory;
        }
        ItemText longest = new ItemText();
        for (StoredSubmission stored : state.submissions()) {
            Optional<ItemText.Part> part = stored.storedText(task.item.id());
            if (part.isPresent() && part.get().data().size() > longest.lastEvent()) {
                longest.append(part.get());
            }
        }
        return longest;
    }

    /** Retains the text of an item of an ended submission in memory. */
    void retain(ItemTask task) {
        if (task.text.lastEvent() > 0) {
            endedTexts.put(task.item.id(), task.text);
        }
    }

    /** Writes the events that the items of a submission have generated since the last checkpoint to the log. */
    void checkpoint(SubmissionId submission, Iterable<ItemTask> open) {
        List<StoredSubmission.StoredText> grown = new ArrayList<>();
        for (ItemTask task : open) {
            if (task.text.lastEvent() < task.storedEvents) {
                // The text was cleared and generated again, so it is stored from its first event.
                task.storedEvents = 0;
            }
            if (task.stage != ItemTask.Stage.LISTING
                    && task.text.lastEvent() - task.storedEvents >= MINIMUM_NEW_EVENTS) {
                grown.add(new StoredSubmission.StoredText(task.item.id(), task.text.partAfter(task.storedEvents)));
                task.storedEvents = task.text.lastEvent();
            }
        }
        if (!grown.isEmpty()) {
            leader.storeTexts(submission, grown);
        }
    }
}
