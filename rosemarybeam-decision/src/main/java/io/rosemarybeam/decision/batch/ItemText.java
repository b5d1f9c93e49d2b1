package io.rosemarybeam.decision.batch;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

/**
 * Text of an item as generated so far, as a sequence of stream events.
 *
 * <p>Invariants: event ids are consecutive from 1, without gaps or duplicates; {@link #versions()} lists exactly the weight
 * versions that generated an event of the text. Confined to one thread.
 */
public final class ItemText {
    private final List<String> data = new ArrayList<>();
    private final List<Long> eventVersions = new ArrayList<>();
    private final TreeSet<Long> versions = new TreeSet<>();
    private boolean complete;

    /**
     * Consecutive events of a text. Immutable.
     *
     * @param firstEvent id of the first event
     * @param data data of the events
     * @param versions the weight version that generated each event
     * @param complete whether the text ends with the last event
     */
    public record Part(int firstEvent, List<String> data, List<Long> versions, boolean complete) {
        /**
         * Copies the lists.
         *
         * @throws IllegalArgumentException if the number of versions differs from the number of events
         */
        public Part {
            data = List.copyOf(data);
            versions = List.copyOf(versions);
            if (data.size() != versions.size()) {
                throw new IllegalArgumentException(data.size() + " events with " + versions.size() + " versions");
            }
        }
    }

    /**
     * Returns the events after a given event.
     *
     * @param after id of that event; 0 for all events
     * @return the events that follow it
     */
    public Part partAfter(int after) {
        return new Part(
                after + 1, data.subList(after, data.size()), eventVersions.subList(after, data.size()), complete);
    }

    /**
     * Appends a part. A part that begins with the first event replaces the text, because the item was restarted.
     *
     * @param part the part
     * @return false if the text is complete or the part does not follow the last event; the text is then unchanged
     */
    public boolean append(Part part) {
        if (part.firstEvent() == 1) {
            clear();
        }
        if (complete || part.firstEvent() != data.size() + 1) {
            return false;
        }
        for (int index = 0; index < part.data().size(); index++) {
            append(data.size() + 1L, part.data().get(index), part.versions().get(index));
        }
        complete = part.complete();
        return true;
    }

    /**
     * Appends an event.
     *
     * @param id id of the event, counted from 1
     * @param text its data
     * @param version the weight version that generated it
     * @return false if the event does not follow the last one; the text is then unchanged
     */
    public boolean append(long id, String text, long version) {
        if (id != data.size() + 1L) {
            return false;
        }
        data.add(text);
        eventVersions.add(version);
        versions.add(version);
        return true;
    }

    /** Marks the text as complete: no event follows. */
    public void markComplete() {
        complete = true;
    }

    /** Removes all events, so that the item runs again from its start. */
    public void clear() {
        data.clear();
        eventVersions.clear();
        versions.clear();
        complete = false;
    }

    /**
     * Returns the id of the last event.
     *
     * @return the id; 0 without events
     */
    public int lastEvent() {
        return data.size();
    }

    /**
     * Returns whether the text is complete.
     *
     * @return true if no event follows
     */
    public boolean isComplete() {
        return complete;
    }

    /**
     * Returns the weight versions that generated the text.
     *
     * @return the versions in ascending order
     */
    public List<Long> versions() {
        return List.copyOf(versions);
    }

    /**
     * Returns whether the text satisfies the version requirements of a submission.
     *
     * @param oldestVersion oldest weight version that may have generated an event
     * @param singleVersion whether one version must have generated all events
     * @return true if the submission may use the text
     */
    public boolean satisfies(long oldestVersion, boolean singleVersion) {
        boolean isFresh = versions.isEmpty() || versions.first() >= oldestVersion;
        return isFresh && (!singleVersion || versions.size() <= 1);
    }

    /**
     * Returns the encoded text.
     *
     * @return data of all events in order, in UTF-8, separated by line feeds
     */
    public byte[] bytes() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int index = 0; index < data.size(); index++) {
            if (index > 0) {
                bytes.write('\n');
            }
            bytes.writeBytes(data.get(index).getBytes(StandardCharsets.UTF_8));
        }
        return bytes.toByteArray();
    }
}
