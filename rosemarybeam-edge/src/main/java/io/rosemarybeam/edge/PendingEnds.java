package io.rosemarybeam.edge;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;
import io.rosemarybeam.common.id.SubmissionId;
import io.rosemarybeam.common.id.WorkspaceName;
import io.rosemarybeam.common.wire.StoreMessage.Outcome;
import io.rosemarybeam.common.wire.SubmissionCopies;

/**
 * The ends of submissions that this edge has taken from callers and goes on sending: those that no leader has acknowledged, and
 * those of submissions that the leader did not know, because a copy of the submission can arrive after its end.
 *
 * <p>Decides which ends are sent when, and sends nothing itself. Times are monotonic, in milliseconds. Ends are idempotent, so
 * that an end which a leader may have carried out already is sent again.
 *
 * <p>Invariants: an end is pending from the moment in which it is taken until a leader has ended the submission, no copy of the
 * submission can arrive any more, its time is over, or too many are pending; at most one attempt to send it is in progress
 * beside those of its callers. Confined to the event loop of the edge.
 */
final class PendingEnds {
    /** Pause after the first failed attempt to send a kept end, in milliseconds: one tick of the edge. */
    static final long FIRST_PAUSE_MILLISECONDS = 250;

    /** Maximum pause between two attempts, in milliseconds; items must not run for longer than 3 s after an end. */
    static final long MAXIMUM_PAUSE_MILLISECONDS = 1_000;

    /**
     * Time for which an end is kept, in milliseconds; all store hosts were without power for 17 s in docs/incidents/unasked.md,
     * and then without a lasting leader to the end of that day.
     */
    static final long MAXIMUM_AGE_MILLISECONDS = 600_000;

    /** Maximum number of ends that are kept; each takes some hundred bytes, so that all of them take less than a megabyte. */
    static final int MAXIMUM_ENDS = 2_000;

    /** Maximum number of attempts in progress, so that a new leader does not get all kept ends at once. */
    static final int MAXIMUM_ATTEMPTS_IN_PROGRESS = 32;

    private static final EventLog LOG = EventLog.of(PendingEnds.class);

    /** In the order in which they were taken. */
    private final Map<SubmissionEnd, PendingEnd> ends = new LinkedHashMap<>();

    private int attemptsInProgress;

    /**
     * Takes an end, which its caller's request sends first.
     *
     * @param id the end
     * @param caller id of the caller's request; empty if it has none
     * @param now the time
     */
    void take(SubmissionEnd id, String caller, long now) {
        Objects.requireNonNull(id, "id");
        LOG.log(Event.END_REQUESTED, "request", id.submission(), "caller", caller);
        if (!ends.containsKey(id) && ends.size() >= MAXIMUM_ENDS) {
            drop(leastImportant(), "more than " + MAXIMUM_ENDS + " ends are kept", now);
        }
        ends.computeIfAbsent(id, ignored -> new PendingEnd(now));
    }

    /** Returns the oldest end that is only sent for copies, or else the oldest one, whose submission then runs on. */
    private SubmissionEnd leastImportant() {
        return ends.entrySet().stream()
                .filter(entry -> entry.getValue().isForCopies())
                .map(Map.Entry::getKey)
                .findFirst()
                .orElseGet(() -> ends.keySet().iterator().next());
    }

    /** Returns whether the end of a submission was taken, and the submission must therefore not be sent. */
    boolean isPending(SubmissionId id, Optional<WorkspaceName> workspace) {
        return ends.keySet().stream().anyMatch(end -> end.mayConcern(id, workspace));
    }

    /**
     * Returns the time since a leader first reported the submission of an end as unknown, if the end is only sent for copies of
     * the submission.
     *
     * @param id the end
     * @param now the time
     * @return the time in milliseconds; 0 for any other end
     */
    long unknownMilliseconds(SubmissionEnd id, long now) {
        PendingEnd end = ends.get(id);
        return end != null && end.isForCopies() ? now - end.unknownAt() : 0;
    }

    /** Returns how many ends no leader has acknowledged after the request of the caller was over. */
    int kept() {
        return keptEnds().size();
    }

    /** Returns the ends that no leader has acknowledged after the request of the caller was over, the oldest first. */
    List<SubmissionEnd> keptEnds() {
        return ends.entrySet().stream()
                .filter(entry -> entry.getValue().kept)
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Records that another edge has taken an end; it is sent on from here too while this process runs. */
    void handedOver(SubmissionEnd id) {
        PendingEnd end = ends.get(id);
        if (end != null) {
            end.handedOver = true;
        }
    }

    /**
     * Processes the reply of a leader to an end, whether its caller or this edge sent it.
     *
     * @param id the end
     * @param outcome the outcome that the leader reported
     * @param now the time
     */
    void acknowledge(SubmissionEnd id, Outcome outcome, long now) {
        PendingEnd end = ends.get(id);
        if (end == null) {
            return;
        }
        boolean isUnknown = outcome == Outcome.UNKNOWN;
        if (end.kept || end.isForCopies() && !isUnknown) {
            LOG.log(
                    Event.END_DELIVERED,
                    "request",
                    id.submission(),
                    "age",
                    now - end.takenAt,
                    "attempts",
                    end.attempts,
                    "outcome",
                    outcome);
        }
        if (isUnknown) {
            end.sendForCopies(now);
        } else {
            ends.remove(id);
        }
    }

    /**
     * Keeps an end that no leader has acknowledged in time.
     *
     * @param id the end
     * @param reason why there is no acknowledgement
     * @param now the time
     */
    void keep(SubmissionEnd id, String reason, long now) {
        PendingEnd end = ends.computeIfAbsent(id, ignored -> new PendingEnd(now));
        if (!end.kept) {
            end.kept = true;
            end.nextAttempt = now + FIRST_PAUSE_MILLISECONDS;
            LOG.log(Event.END_KEPT, "request", id.submission(), "reason", reason, "age", now - end.takenAt);
        }
    }

    /**
     * Begins the attempts that are due. {@link #attemptEnded} must be called for each of them.
     *
     * @param now the time
     * @return the ends that must be sent now
     */
    List<SubmissionEnd> beginDueAttempts(long now) {
        List<SubmissionEnd> due = ends.entrySet().stream()
                .filter(entry -> entry.getValue().isDue(now))
                .limit(MAXIMUM_ATTEMPTS_IN_PROGRESS - attemptsInProgress)
                .map(Map.Entry::getKey)
                .toList();
        attemptsInProgress += due.size();
        due.forEach(id -> ends.get(id).beginAttempt());
        return due;
    }

    /** Ends an attempt; the next one is due after a pause, unless the end is acknowledged. */
    void attemptEnded(SubmissionEnd id, long now) {
        attemptsInProgress--;
        PendingEnd end = ends.get(id);
        if (end != null) {
            end.endAttempt(now);
        }
    }

    /** Gives up the ends whose time is over, and those whose submission cannot arrive any more. */
    void dropExpired(long now) {
        ends.values().removeIf(end -> end.isForCopies() && now >= end.copiesUntil);
        List<SubmissionEnd> expired = ends.entrySet().stream()
                .filter(entry -> now - entry.getValue().takenAt >= MAXIMUM_AGE_MILLISECONDS)
                .map(Map.Entry::getKey)
                .toList();
        expired.forEach(id -> drop(id, "no leader within " + MAXIMUM_AGE_MILLISECONDS + " ms", now));
    }

    /** Gives up all ends, because the process stops. */
    void dropAll(long now) {
        List.copyOf(ends.keySet()).forEach(id -> drop(id, "process stops", now));
    }

    private void drop(SubmissionEnd id, String reason, long now) {
        PendingEnd end = ends.remove(id);
        if (!end.isForCopies() && !end.handedOver) {
            LOG.log(
                    Event.END_DROPPED,
                    "request",
                    id.submission(),
                    "reason",
                    reason,
                    "age",
                    now - end.takenAt,
                    "attempts",
                    end.attempts);
        }
    }

    /** One end. Confined to the event loop. */
    private static final class PendingEnd {
        private final long takenAt;
        private boolean kept;
        private boolean handedOver;
        private boolean attempting;
        private int attempts;
        private long nextAttempt;
        private long pause = FIRST_PAUSE_MILLISECONDS;

        /** Time until which a copy of the submission can reach a leader that did not know it; 0 before a leader said so. */
        private long copiesUntil;

        PendingEnd(long takenAt) {
            this.takenAt = takenAt;
        }

        boolean isDue(long now) {
            return (kept || isForCopies()) && !attempting && now >= nextAttempt;
        }

        /** Returns whether a leader has acknowledged it, and it is sent on for copies of the submission. */
        boolean isForCopies() {
            return !kept && copiesUntil > 0;
        }

        /** Returns the time of the first reply that the submission is unknown. */
        long unknownAt() {
            return copiesUntil - SubmissionCopies.MAXIMUM_AGE_MILLISECONDS;
        }

        void sendForCopies(long now) {
            kept = false;
            if (copiesUntil == 0) {
                copiesUntil = now + SubmissionCopies.MAXIMUM_AGE_MILLISECONDS;
                nextAttempt = now + FIRST_PAUSE_MILLISECONDS;
                pause = FIRST_PAUSE_MILLISECONDS;
            }
        }

        void beginAttempt() {
            attempting = true;
            attempts++;
        }

        void endAttempt(long now) {
            attempting = false;
            nextAttempt = now + pause;
            pause = Math.min(2 * pause, MAXIMUM_PAUSE_MILLISECONDS);
        }
    }
}
