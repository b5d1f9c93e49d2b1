package io.rosemarybeam.store;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.rosemarybeam.common.collection.LeastRecentlyUsedMap;
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

    /**
     * Length at which the part of a text ends that is written to the log in one turn, in bytes. An engine makes some kilobytes in
     * that time; an endpoint that sends events without end exceeds the limit of the text before much of it is stored.
     */
    private static final long MAXIMUM_PART_BYTES = 32_768;

    /** Maximum length of all texts of ended submissions in memory, in bytes; a text has some ten kilobytes. */
    private static final long MAXIMUM_ENDED_BYTES = 16 * 1_048_576;

    /** Maximum number of texts of ended submissions in memory; a step of a trainer has a few hundred items. */
    private static final int MAXIMUM_ENDED_TEXTS = 2_000;

    private final StoreState state;
    private final BatchRunner.LeaderContext leader;
    private final Map<ItemId, ItemText> endedTexts = new LeastRecentlyUsedMap<>(MAXIMUM_ENDED_TEXTS);

    PartialTextStore(StoreState state, BatchRunner.LeaderContext leader) {
        this.state = state;
        this.leader = leader;
    }

    /** Sets the text of an item to the one that an earlier leader or submission stored, if its weight versions are allowed. */
    void restore(ItemTask task) {
        ItemText earlier = earlierText(task);
        if (earlier.lastEvent() > 0
                && earlier.isWithin(task.textLimit)
                && earlier.satisfies(task.submission.submission().oldestVersion(), task.singleVersion)) {
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
            removeLeastRecentlyUsed();
        }
    }

    private void removeLeastRecentlyUsed() {
        long bytes =
                endedTexts.values().stream().mapToLong(ItemText::byteLength).sum();
        Iterator<ItemText> eldestFirst = endedTexts.values().iterator();
        while (bytes > MAXIMUM_ENDED_BYTES && eldestFirst.hasNext()) {
            bytes -= eldestFirst.next().byteLength();
            eldestFirst.remove();
        }
    }

    /** Writes the events that the items of a submission have generated since the last checkpoint to the log. */
    void checkpoint(SubmissionId submission, Iterable<ItemTask> open) {
        List<StoredSubmission.StoredText> grown = new ArrayList<>();
        for (ItemTask task : open) {
            boolean hasGrown = task.text.lastEvent() - task.storedEvents >= MINIMUM_NEW_EVENTS;
            if (task.stage != ItemTask.Stage.LISTING && (hasGrown || task.isStoredTextObsolete)) {
                // A part that begins with the first event replaces what is stored, also if it has no events.
                task.isStoredTextObsolete = false;
                ItemText.Part part = task.text.partAfter(task.storedEvents, MAXIMUM_PART_BYTES);
                grown.add(new StoredSubmission.StoredText(task.item.id(), part));
                task.storedEvents += part.data().size();
            }
        }
        if (!grown.isEmpty()) {
            leader.storeTexts(submission, grown);
        }
    }
}
