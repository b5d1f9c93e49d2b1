package io.rosemarybeam.store;

import java.util.LinkedHashMap;
import java.util.Map;

import io.rosemarybeam.common.id.SubmissionId;
import io.rosemarybeam.common.wire.SubmissionCopies;

/**
 * The submissions whose end has reached the leader before the submission, so that a copy that arrives later is refused.
 *
 * <p>They are not replicated: an edge sends such an end again for as long as copies can arrive, also to the next leader. Its
 * repetitions name the time since a leader has known of the end, so that they do not prolong the time in which the submission is
 * refused, here or at the next leader. Times are monotonic, in milliseconds.
 *
 * <p>Invariant: holds at most {@link #MAXIMUM_ENDS}; the oldest is dropped first. Confined to the thread of the log driver.
 */
final class UnknownEnds {
    /** Maximum number of ends; each takes some hundred bytes, so that all of them take a few megabytes. */
    static final int MAXIMUM_ENDS = 10_000;

    /** The time of the first end of each submission, in the order in which the ends arrived. */
    private final Map<SubmissionId, Long> ends = new LinkedHashMap<>();

    /**
     * Adds an end, unless copies of its submission cannot arrive any more.
     *
     * @param id the submission
     * @param age time since a leader has known of the end, in milliseconds; 0 if this leader is the first one
     * @param now the time
     */
    void add(SubmissionId id, long age, long now) {
        removeExpired(now);
        if (age < SubmissionCopies.MAXIMUM_AGE_MILLISECONDS) {
            ends.putIfAbsent(id, now - Math.max(0, age));
        }
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
