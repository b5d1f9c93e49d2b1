package io.rosemarybeam.testbed;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Checks that no work of a submission reaches an endpoint after the end of the submission, and none that nobody sent.
 *
 * <p>The rule is UNASKED of the platform's rules. It is judged more strictly than there: also for work of a store host that was
 * paused, because the pause stands for a process that stalls by itself and is then in touch. An end that is not acknowledged
 * counts as acknowledged when it has been asked for, and store hosts and edges have been undisturbed, for {@code AckMs}. Only
 * the undisturbed time up to the arrival of the work is considered, not an earlier one, so that some late work is not found.
 * Periods in which the machine stalled are subtracted. Safe for use by several threads.
 */
final class SoakEnds {
    /** Time after the acknowledgement of an end in which work may still arrive; CancelMs of the platform's site files. */
    static final long CANCEL_MILLISECONDS = 3_000;

    /** Undisturbed time after which an end counts as acknowledged; AckMs of the platform's site files. */
    static final long ACKNOWLEDGEMENT_MILLISECONDS = 4_000;

    private final StallMonitor stalls;
    private final Map<String, String> submissionsByWork = new HashMap<>();
    private final Map<String, Moment> asked = new HashMap<>();
    private final Map<String, Moment> acknowledged = new HashMap<>();
    private final Map<String, String> answers = new HashMap<>();
    private final Set<String> reported = new HashSet<>();
    private int disturbances;
    private long undisturbedSince = Long.MIN_VALUE;

    /** A monotonic time, and the time for which the machine had stalled until then, both in milliseconds. */
    private record Moment(long time, long stalled) {}

    SoakEnds(StallMonitor stalls) {
        this.stalls = stalls;
    }

    private Moment moment(long time) {
        return new Moment(time, stalls.stalledMilliseconds());
    }

    /** Records that a trainer is about to send a submission with these ids of items and score requests. */
    synchronized void submitted(String submission, Collection<String> work) {
        work.forEach(id -> submissionsByWork.put(id, submission));
    }

    /** Records that a trainer asks for the end of a submission and waits for the answer. */
    synchronized void asked(String submission, long now) {
        asked.putIfAbsent(submission, moment(now));
    }

    /** Records the answer to a submission or to its end; a status of zero stands for none. */
    synchronized void answered(String submission, String method, int status, long now) {
        if (method.equals("DELETE") && status == 200) {
            acknowledged.putIfAbsent(submission, moment(now));
        }
        answers.merge(submission, method + " " + status + " at " + now, (former, next) -> former + ", " + next);
    }

    /** Records that a store host or an edge is disturbed from now on. */
    synchronized void disturbanceBegan() {
        disturbances++;
    }

    /** Records that the disturbance of a store host or an edge is over. */
    synchronized void disturbanceEnded(long now) {
        disturbances--;
        undisturbedSince = now;
    }

    /** Returns a line if an item or a score request must not have reached an endpoint; once for each id. */
    synchronized Optional<String> arrived(String id, String endpoint, long now) {
        String submission = submissionsByWork.get(id);
        if (submission == null) {
            return reported.add(id)
                    ? Optional.of("UNASKED: " + id + ", which nobody sent, reached " + endpoint)
                    : Optional.empty();
        }
        Optional<Moment> end = Optional.ofNullable(acknowledged.get(submission));
        String kind = end.isPresent() ? "the acknowledged end" : "the end, which counts as acknowledged,";
        return end.or(() -> countedEnd(submission, now))
                .map(moment -> now - moment.time() - (stalls.stalledMilliseconds() - moment.stalled()))
                .filter(late -> late > CANCEL_MILLISECONDS && reported.add(id))
                .map(late -> "UNASKED: " + id + " reached " + endpoint + " " + late + " ms after " + kind + " of "
                        + submission + ", at " + now + "; answers: " + answers.getOrDefault(submission, "none"));
    }

    private Optional<Moment> countedEnd(String submission, long now) {
        Moment ask = asked.get(submission);
        if (ask == null || disturbances > 0) {
            return Optional.empty();
        }
        long counted = Math.max(ask.time(), undisturbedSince) + ACKNOWLEDGEMENT_MILLISECONDS;
        return counted <= now ? Optional.of(new Moment(counted, ask.stalled())) : Optional.empty();
    }
}
