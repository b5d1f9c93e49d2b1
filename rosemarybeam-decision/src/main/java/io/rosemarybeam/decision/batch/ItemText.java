package io.rosemarybeam.decision.batch;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

/**
 * The part of an item's text that has been generated so far.
 *
 * <p>Invariants: event n follows event n - 1, none is missing or doubled; the versions are exactly those under which an event
 * of the text was made. Confined to one thread.
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
     * @param versions the weight version that made each event
     * @param complete whether no event follows the last one
     */
    public record Part(int firstEvent, List<String> data, List<Long> versions, boolean complete) {
        /** Copies the lists. */
        public Part {
            data = List.copyOf(data);
            versions = List.copyOf(versions);
            if (data.size() != versions.size()) {
                throw new IllegalArgumentException(data.size() + " events with " + versions.size() + " versions");
            }
        }
    }

    /**
     * Returns the events after one.
     *
     * @param after id of the event before them; 0 for all
     * @return the events
     */
    public Part partAfter(int after) {
        return new Part(
                after + 1, data.subList(after, data.size()), eventVersions.subList(after, data.size()), complete);
    }

    /**
     * Appends a part. A part that begins with the first event replaces the text, because the item was started anew.
     *
     * @param part the part
     * @return false if the part does not follow the last event, which leaves the text as it was
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
     * @param version the weight version that made it
     * @return false if the event does not follow the last one, which leaves the text as it was
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

    /** Notes that no event follows. */
    public void markComplete() {
        complete = true;
    }

    /** Drops everything, so that the item runs from its start. */
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
     * Returns whether no event follows.
     *
     * @return true for a whole text
     */
    public boolean isComplete() {
        return complete;
    }

    /**
     * Returns the versions that made the text.
     *
     * @return the versions, rising
     */
    public List<Long> versions() {
        return List.copyOf(versions);
    }

    /**
     * Returns whether a submission may use the text.
     *
     * @param oldestVersion oldest version that may have made it
     * @param singleVersion whether all of it must be of one version
     * @return true if it fits
     */
    public boolean satisfies(long oldestVersion, boolean singleVersion) {
        boolean isFresh = versions.isEmpty() || versions.first() >= oldestVersion;
        return isFresh && (!singleVersion || versions.size() <= 1);
    }

    /**
     * Returns the text.
     *
     * @return data of all events in order, separated by line feeds
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
