package io.rosemarybeam.store;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.rosemarybeam.common.id.ItemId;
import io.rosemarybeam.common.wire.StoreMessage.ResultPage;
import io.rosemarybeam.common.wire.Submission;
import io.rosemarybeam.decision.batch.ItemText;

/**
 * A submission with its results and the partial texts of items that are not listed yet.
 *
 * <p>Invariant: a listed result never changes its position or content, and an item is listed at most once. Confined to the
 * thread of the log driver.
 */
final class StoredSubmission {
    /** Maximum size of a page of results, in bytes of text; the platform reads at most one megabyte. */
    private static final int MAXIMUM_PAGE_BYTES = 900_000;

    /** Objects of a submission beside the bytes of its items: the records, lists and maps, in bytes. */
    private static final long SUBMISSION_OVERHEAD_BYTES = 1_000;

    /** Objects of an item beside its text and bytes: records, arrays, strings, and its entry in the map of positions. */
    private static final long ITEM_OVERHEAD_BYTES = 500;

    /** Objects of a result beside its text, in bytes. */
    private static final long RESULT_OVERHEAD_BYTES = 200;

    /** Objects of an event of a partial text: a string with its array, a boxed version, and two references, in bytes. */
    private static final long EVENT_OVERHEAD_BYTES = 80;

    private final Submission submission;
    private final String routeName;
    private final long acceptedAt;
    private final int groups;
    private final List<Submission.Result> results = new ArrayList<>();
    private final Map<ItemId, Integer> positions = new HashMap<>();
    private final Map<ItemId, ItemText> texts = new LinkedHashMap<>();
    private final long submissionBytes;
    private long resultBytes;
    private long partialTextBytes;
    private boolean ended;
    private long endedAt;

    StoredSubmission(Submission submission, String routeName, long acceptedAt) {
        this.submission = submission;
        this.routeName = routeName;
        this.acceptedAt = acceptedAt;
        this.groups = (int) submission.items().stream()
                .map(StoredSubmission::group)
                .distinct()
                .count();
        this.submissionBytes = estimatedBytes(submission);
    }

    /** Returns an estimate of what a submission takes on the heap as long as it has no results and texts. */
    static StoredBytes sizeOf(Submission submission) {
        return StoredBytes.ofOpen(estimatedBytes(submission), submission.items().size());
    }

    private static long estimatedBytes(Submission submission) {
        return SUBMISSION_OVERHEAD_BYTES
                + submission.items().stream()
                        .mapToLong(StoredSubmission::estimatedBytes)
                        .sum();
    }

    private static long estimatedBytes(Submission.Item item) {
        long headers = item.headers().entrySet().stream()
                .mapToLong(
                        header -> header.getKey().length() + header.getValue().length())
                .sum();
        long scorer = item.scorer()
                .map(request -> length(request.body()) + length(request.path()))
                .orElse(0L);
        return ITEM_OVERHEAD_BYTES + length(item.path()) + headers + length(item.body()) + scorer;
    }

    private static long estimatedBytes(ItemText text) {
        return text.byteLength() + text.lastEvent() * EVENT_OVERHEAD_BYTES;
    }

    private static long estimatedBytes(Submission.Result result) {
        return RESULT_OVERHEAD_BYTES
                + length(result.text())
                + result.score().map(String::length).orElse(0);
    }

    /** Entries of the log may omit components; an estimate that failed would end each host that applies them. */
    private static long length(byte[] bytes) {
        return bytes == null ? 0 : bytes.length;
    }

    private static long length(String text) {
        return text == null ? 0 : text.length();
    }

    /** Returns an estimate of what the submission takes on the heap with its results and texts. */
    StoredBytes size() {
        int openItems = ended ? 0 : submission.items().size() - results.size();
        return new StoredBytes(
                submissionBytes + resultBytes + partialTextBytes,
                partialTextBytes,
                openItems,
                results.size(),
                resultBytes);
    }

    /**
     * Restores a submission.
     *
     * @param snapshot the submission
     * @param snapshotTime leader time of the last command before the snapshot, in milliseconds
     */
    static StoredSubmission of(Snapshot snapshot, long snapshotTime) {
        StoredSubmission submission =
                new StoredSubmission(snapshot.submission, snapshot.routeName, snapshot.acceptedAt);
        snapshot.results.forEach(submission::list);
        snapshot.texts.forEach(text -> submission.appendText(text.item, text.part));
        if (snapshot.ended) {
            submission.end(snapshotTime);
        }
        return submission;
    }

    Snapshot toSnapshot() {
        List<StoredText> unlisted = new ArrayList<>();
        texts.forEach((item, text) -> unlisted.add(new StoredText(item, text.partAfter(0))));
        return new Snapshot(submission, routeName, acceptedAt, List.copyOf(results), unlisted, ended);
    }

    Submission submission() {
        return submission;
    }

    /** Returns the leader time at which the submission was accepted, in milliseconds. */
    long acceptedAt() {
        return acceptedAt;
    }

    int groups() {
        return groups;
    }

    /** Returns the name of an item's group; an item without a group forms its own group. */
    static String group(Submission.Item item) {
        return item.group().isEmpty() ? item.id().value() : item.group();
    }

    boolean isEnded() {
        return ended;
    }

    /**
     * Returns the latest leader time at which the trainer can have ended the submission, in milliseconds. Snapshots do not
     * contain the time of an end, so after a restoration it is that of the snapshot. It may differ between hosts, so the effect
     * of a command must not depend on it.
     */
    long endedAt() {
        return endedAt;
    }

    void end(long leaderTime) {
        ended = true;
        endedAt = leaderTime;
    }

    boolean isComplete() {
        return results.size() == submission.items().size();
    }

    int listedCount() {
        return results.size();
    }

    boolean isListed(ItemId item) {
        return positions.containsKey(item);
    }

    Optional<Submission.Item> item(ItemId id) {
        return submission.items().stream().filter(item -> item.id().equals(id)).findFirst();
    }

    /**
     * Appends generated text of an item, so that another leader can resume from there. A text that is longer than its request
     * allows is discarded: a leader of an earlier release does not limit it.
     */
    void appendText(ItemId id, ItemText.Part part) {
        if (positions.containsKey(id)) {
            return;
        }
        item(id).ifPresent(item -> {
            ItemText text = texts.computeIfAbsent(id, ignored -> new ItemText());
            partialTextBytes -= estimatedBytes(text);
            text.append(part);
            partialTextBytes += estimatedBytes(text);
            if (text.lastEvent() == 0 || !text.isWithin(ItemTask.textLimit(item))) {
                removeText(id);
            }
        });
    }

    private void removeText(ItemId id) {
        ItemText text = texts.remove(id);
        if (text != null) {
            partialTextBytes -= estimatedBytes(text);
        }
    }

    /** Returns the stored text of an item that is not listed; empty if there is none. */
    Optional<ItemText.Part> storedText(ItemId item) {
        return Optional.ofNullable(texts.get(item))
                .filter(text -> text.lastEvent() > 0)
                .map(text -> text.partAfter(0));
    }

    boolean list(Submission.Result result) {
        if (positions.containsKey(result.item()) || item(result.item()).isEmpty()) {
            return false;
        }
        removeText(result.item());
        resultBytes += estimatedBytes(result);
        positions.put(result.item(), results.size());
        results.add(result);
        return true;
    }

    ResultPage page(int after) {
        List<Submission.Result> page = new ArrayList<>();
        int bytes = 0;
        int next = Math.min(after, results.size());
        while (next < results.size()) {
            Submission.Result result = results.get(next);
            bytes += result.text().length;
            if (!page.isEmpty() && bytes > MAXIMUM_PAGE_BYTES) {
                break;
            }
            page.add(result);
            next++;
        }
        return new ResultPage(submission.items().size(), next, page);
    }

    /** Serialized form of a submission in a snapshot. Immutable. */
    record Snapshot(
            Submission submission,
            String routeName,
            long acceptedAt,
            List<Submission.Result> results,
            List<StoredText> texts,
            boolean ended) {}

    /** Serialized form of the partial text of an item, in snapshots and commands. Immutable. */
    record StoredText(ItemId item, ItemText.Part part) {}
}
