package io.rosemarybeam.store;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import io.rosemarybeam.common.id.SubmissionId;
import io.rosemarybeam.common.id.WorkspaceName;
import io.rosemarybeam.common.wire.StoreMessage.EndSubmission;
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

    /** The time of the first end of each submission from each workspace, in the order in which the ends arrived. */
    private final Map<Key, Long> ends = new LinkedHashMap<>();

    /** An end is remembered for the workspace that asked for it, so that it concerns no submission of another one. */
    private record Key(SubmissionId submission, Optional<WorkspaceName> workspace) {
        boolean concerns(SubmissionId id, Optional<WorkspaceName> owner) {
            return submission.equals(id) && (workspace.isEmpty() || owner.isEmpty() || workspace.equals(owner));
        }
    }

    /**
     * Adds an end, unless copies of its submission cannot arrive any more.
     *
     * @param request the request to end the submission
     * @param now the time
     */
    void add(EndSubmission request, long now) {
        removeExpired(now);
        long age = Math.max(0, request.unknownMilliseconds());
        if (age < SubmissionCopies.MAXIMUM_AGE_MILLISECONDS) {
            ends.putIfAbsent(new Key(request.submission(), request.workspace()), now - age);
        }
        if (ends.size() > MAXIMUM_ENDS) {
            ends.remove(ends.keySet().iterator().next());
        }
    }

    /** Forgets the ends of a submission that is stored and has ended. */
    void remove(SubmissionId id, Optional<WorkspaceName> workspace) {
        ends.keySet().removeIf(key -> key.concerns(id, workspace));
    }

    /** Returns whether the end of a submission arrived so recently that copies of the submission can still arrive. */
    boolean contains(SubmissionId id, Optional<WorkspaceName> workspace, long now) {
        removeExpired(now);
        return ends.keySet().stream().anyMatch(key -> key.concerns(id, workspace));
    }

    private void removeExpired(long now) {
        ends.values().removeIf(time -> now - time >= SubmissionCopies.MAXIMUM_AGE_MILLISECONDS);
    }
}
