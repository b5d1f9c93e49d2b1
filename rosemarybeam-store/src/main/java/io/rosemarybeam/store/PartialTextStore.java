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
final class PartialTextStore {
    /** New events of an item after which they are kept; an engine makes about 25 events a second. */
    private static final int MINIMUM_NEW_EVENTS = 25;

    /** Texts of ended submissions that stay in memory; a step has some hundred items. */
    private static final int MAXIMUM_ENDED_TEXTS = 2_000;

    private final StoreState state;
    private final BatchRunner.LeaderContext leader;
    private final Map<ItemId, ItemText> endedTexts = new RecentMap<>(MAXIMUM_ENDED_TEXTS);

    PartialTextStore(StoreState state, BatchRunner.LeaderContext leader) {
        this.state = state;
        this.leader = leader;
    }

    /** Gives an item the text that an earlier leader or an earlier submission left, if its versions fit. */
    void restore(ItemTask task) {
        ItemText left = earlierText(task);
        if (left.lastEvent() > 0 && left.fits(task.submission.submission().oldestVersion(), task.singleVersion)) {
            task.text = left;
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

    /** Remembers the text of an item whose submission ended. */
    void retain(ItemTask task) {
        if (task.text.lastEvent() > 0) {
            endedTexts.put(task.item.id(), task.text);
        }
    }

    /** Puts what the items of a submission have generated since the last time into the log. */
    void checkpoint(SubmissionId submission, Iterable<ItemTask> open) {
        List<StoredSubmission.StoredText> grown = new ArrayList<>();
        for (ItemTask task : open) {
            if (task.text.lastEvent() < task.storedEvents) {
                // The text was cleared, so it is kept from its first event on.
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
