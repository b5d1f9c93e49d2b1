package io.rosemarybeam.decision.request;

import java.util.ArrayDeque;

/**
 * What is known of the load of one endpoint: a lagged report, corrected by what this entry has sent and ended since.
 *
 * <p>Invariant: reports are taken in the order of their sequence. Confined to the thread of the core.
 */
final class LoadView {
    private static final double AVERAGE_WEIGHT = 0.3;

    private static final long RETENTION_MILLISECONDS = 3_000;
    private static final int MAXIMUM_ENDED_ATTEMPTS = 256;

    private record EndedAttempt(long startedAt, long endedAt) {}

    private final MovingAverage average = new MovingAverage(AVERAGE_WEIGHT);
    private final ArrayDeque<EndedAttempt> endedAttempts = new ArrayDeque<>();
    private long lastSequence = Long.MIN_VALUE;
    private long measuredAt;
    private int externalRequests;

    /** Remembers an ended attempt, because a lagged report may still count it. */
    void recordEnded(AttemptRow attempt, long now) {
        while (!endedAttempts.isEmpty()
                && (endedAttempts.size() >= MAXIMUM_ENDED_ATTEMPTS
                        || endedAttempts.peekFirst().endedAt() < now - RETENTION_MILLISECONDS)) {
            endedAttempts.removeFirst();
        }
        endedAttempts.addLast(new EndedAttempt(attempt.startedAt, now));
    }

    void apply(EndpointRow endpoint, RequestInput.LoadReported report) {
        if (report.sequence() <= lastSequence) {
            return;
        }
        lastSequence = report.sequence();
        measuredAt = report.measuredAtMilliseconds();
        int ownRequests = 0;
        for (AttemptRow attempt : endpoint.open) {
            ownRequests += attempt.startedAt <= measuredAt ? 1 : 0;
        }
        for (EndedAttempt attempt : endedAttempts) {
            ownRequests += attempt.startedAt() <= measuredAt && attempt.endedAt() > measuredAt ? 1 : 0;
        }
        externalRequests = Math.max(0, report.running() + report.waiting() - ownRequests);
        average.add(externalRequests);
    }

    /**
     * Returns the estimated work of other entries on the endpoint, in requests. A report says how the endpoint differs
     * from its own average only for about as long as requests run.
     *
     * @param now the time, in milliseconds
     * @param runTime mean run time of requests, in milliseconds
     */
    double externalLoad(long now, double runTime) {
        double freshness = Math.exp(-Math.max(0, now - measuredAt) / Math.max(1, runTime));
        return average.value() + (externalRequests - average.value()) * freshness;
    }
}
