package io.rosemarybeam.store;

import java.util.LinkedHashMap;
import java.util.Map;

import io.rosemarybeam.common.id.SubmissionId;
import io.rosemarybeam.common.wire.SubmissionCopies;

/**
 * The submissions whose end has reached the leader before the submission, so that a copy that arrives later is refused.
 *
 * <p>They are not replicated: an edge sends such an end again for as long as copies can arrive, also to the next leader. Times
 * are monotonic, in milliseconds.
 *
 * <p>Invariant: holds at most {@link #MAXIMUM_ENDS}; the oldest is dropped first. Confined to the thread of the log driver.
 */
final class UnknownEnds {
    /** Maximum number of ends; each takes some hundred bytes, so that all of them take a few megabytes. */
    static final int MAXIMUM_ENDS = 10_000;

    /** The time of the first end of each submission, in the order of these times. */
    private final Map<SubmissionId, Long> ends = new LinkedHashMap<>();

    void add(SubmissionId id, long now) {
        removeExpired(now);
        ends.putIfAbsent(id, now);
        if (ends.size() > MAXIMUM_ENDS) {
            ends.remove(ends.keySet().iterator().next());
        }
    }

    void remove(SubmissionId id) {
        ends.remove(id);
    }

    /** Returns whether the end of a submission arrived so recently that copies of the submission can still arrive. */
    boolean contains(SubmissionId id, long now) {
        removeExpired(now);
        return ends.containsKey(id);
    }

    private void removeExpired(long now) {
        ends.values().removeIf(time -> now - time >= SubmissionCopies.MAXIMUM_AGE_MILLISECONDS);
    }
}
