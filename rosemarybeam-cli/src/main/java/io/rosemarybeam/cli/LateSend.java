package io.rosemarybeam.cli;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.rosemarybeam.common.event.Event;

/**
 * An item or a score request that was sent after the end of its submission, with what shows the cause. What the sender withheld
 * when the connection was open was planned and not sent, and is left out.
 *
 * <p>Times of several processes are compared by the clocks of their hosts. Immutable and safe for use by several threads.
 *
 * @param sent the record of the sending
 * @param end the record before it that tells of the end: SUBMISSION_ENDED, or END_REQUESTED if no leader had ended the submission
 * @param disturbances losses of leadership and stalls of the sender shortly before or after the sending
 */
record LateSend(LogRecord sent, LogRecord end, List<LogRecord> disturbances) {
    /** A loss of leadership or a stall within this time of the sending may explain it; an election takes up to 1 s. */
    private static final Duration DISTURBANCE_DISTANCE = Duration.ofSeconds(2);

    private static final Set<Event> SEND_EVENTS = Set.of(Event.ITEM_RUN_STARTED, Event.SCORE_REQUESTED);
    private static final Set<Event> DISTURBANCE_EVENTS = Set.of(Event.LEADERSHIP_LOST, Event.LOOP_STALLED);

    /**
     * Finds what was sent after the end of its submission.
     *
     * @param path the records that may tell of the sending
     * @param records the records of all logs in order of time
     * @return one element for each late sending, in order of time
     */
    static List<LateSend> find(List<LogRecord> path, List<LogRecord> records) {
        return path.stream()
                .filter(record -> SEND_EVENTS.stream().anyMatch(record::is))
                .filter(record -> !isWithheld(record, records))
                .flatMap(sent ->
                        endBefore(sent, records)
                                .map(end -> new LateSend(sent, end, disturbances(sent, records)))
                                .stream())
                .toList();
    }

    /** The outcome of a run names the item, that of an attempt to get a score names the scorer's request. */
    private static boolean isWithheld(LogRecord sent, List<LogRecord> records) {
        boolean isRun = sent.is(Event.ITEM_RUN_STARTED);
        Event outcome = isRun ? Event.ITEM_RUN_ENDED : Event.ATTEMPT_FAILED;
        String id = sent.field(isRun ? "request" : "scorer");
        return records.stream()
                .filter(record -> record.process().equals(sent.process())
                        && record.field("request").equals(id))
                .filter(record -> !record.time().isBefore(sent.time()))
                .filter(record -> record.is(outcome) || record.is(Event.REQUEST_FINISHED))
                .findFirst()
                .filter(record -> record.field("outcome").equalsIgnoreCase("withheld"))
                .isPresent();
    }

    private static Optional<LogRecord> endBefore(LogRecord sent, List<LogRecord> records) {
        return firstBefore(sent, Event.SUBMISSION_ENDED, records)
                .or(() -> firstBefore(sent, Event.END_REQUESTED, records));
    }

    private static Optional<LogRecord> firstBefore(LogRecord sent, Event event, List<LogRecord> records) {
        return records.stream()
                .filter(record -> record.is(event) && record.field("request").equals(sent.field("submission")))
                .filter(record -> record.time().isBefore(sent.time()))
                .findFirst();
    }

    private static List<LogRecord> disturbances(LogRecord sent, List<LogRecord> records) {
        return records.stream()
                .filter(record -> record.process().equals(sent.process()))
                .filter(record -> DISTURBANCE_EVENTS.stream().anyMatch(record::is))
                .filter(record ->
                        Duration.between(record.time(), sent.time()).abs().compareTo(DISTURBANCE_DISTANCE) <= 0)
                .toList();
    }

    /** Returns the time from the end to the sending, in milliseconds. */
    long milliseconds() {
        return Duration.between(end.time(), sent.time()).toMillis();
    }

    /** Returns a line that tells when and by whom it was sent, and what may have been the cause. */
    String describe() {
        StringBuilder text = new StringBuilder("sent after the end: ")
                .append(sent.name())
                .append(" of ")
                .append(sent.field("request"))
                .append(' ')
                .append(milliseconds())
                .append(" ms after ")
                .append(end.name())
                .append(" at ")
                .append(end.process())
                .append(", from ")
                .append(sent.process())
                .append(" in term ")
                .append(known(sent, "term"))
                .append(", last word of a majority ")
                .append(known(sent, "majorityAge"))
                .append(" ms old");
        if (disturbances.isEmpty()) {
            return text.append("; no LEADERSHIP_LOST or LOOP_STALLED of the sender within ")
                    .append(DISTURBANCE_DISTANCE.toSeconds())
                    .append(" s")
                    .toString();
        }
        for (LogRecord disturbance : disturbances) {
            long distance = Duration.between(sent.time(), disturbance.time()).toMillis();
            text.append("; ")
                    .append(disturbance.name())
                    .append(' ')
                    .append(Math.abs(distance))
                    .append(distance < 0 ? " ms before it" : " ms after it");
            disturbance
                    .number("milliseconds")
                    .ifPresent(stall -> text.append(" for ").append(stall).append(" ms"));
        }
        return text.toString();
    }

    /** Earlier releases did not log the term and the age. */
    private static String known(LogRecord record, String field) {
        return record.field(field).isEmpty() ? "unknown" : record.field(field);
    }
}
