package io.rosemarybeam.decision.request;

import java.util.ArrayDeque;

/**
 * What is known of the load of one endpoint: a lagged report, corrected by what this entry has sent and ended since.
 *
 * <p>Invariant: reports are taken in the order of their sequence. Confined to the thread of the core.
 */
final class LoadView {
    private static final double AVERAGE_WEIGHT = 0.3;

    private static final long REMEMBERED_MILLISECONDS = 3_000;
    private static final int REMEMBERED_ENDS = 256;

    private record Ended(long startedAt, long endedAt) {}

    private final Average average = new Average(AVERAGE_WEIGHT);
    private final ArrayDeque<Ended> ended = new ArrayDeque<>();
    private long sequence = Long.MIN_VALUE;
    private long measuredAt;
    private int foreign;

    /** Remembers an ended attempt, because a lagged report may still count it. */
    void ended(AttemptRow attempt, long now) {
        while (!ended.isEmpty()
                && (ended.size() >= REMEMBERED_ENDS || ended.peekFirst().endedAt() < now - REMEMBERED_MILLISECONDS)) {
            ended.removeFirst();
        }
        ended.addLast(new Ended(attempt.startedAt, now));
    }

    void report(EndpointRow endpoint, RequestInput.LoadReported report) {
        if (report.sequence() <= sequence) {
            return;
        }
        sequence = report.sequence();
        measuredAt = report.measuredAtMilliseconds();
        int own = 0;
        for (AttemptRow attempt : endpoint.open) {
            own += attempt.startedAt <= measuredAt ? 1 : 0;
        }
        for (Ended attempt : ended) {
            own += attempt.startedAt() <= measuredAt && attempt.endedAt() > measuredAt ? 1 : 0;
        }
        foreign = Math.max(0, report.running() + report.waiting() - own);
        average.add(foreign);
    }

    /**
     * Returns the estimated work of other entries on the endpoint, in requests. A report says how the endpoint differs
     * from its own average only for about as long as requests run.
     *
     * @param now the time, in milliseconds
     * @param runTime mean run time of requests, in milliseconds
     */
    double foreign(long now, double runTime) {
        double fresh = Math.exp(-Math.max(0, now - measuredAt) / Math.max(1, runTime));
        return average.value() + (foreign - average.value()) * fresh;
    }
}
