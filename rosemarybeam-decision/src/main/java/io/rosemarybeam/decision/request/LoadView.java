package io.rosemarybeam.decision.request;

import java.util.ArrayDeque;

/**
 * An estimate of the load of one endpoint that other entries cause: the lagged load report less the attempts of this
 * entry at the time of the measurement.
 *
 * <p>Invariant: reports are applied in the order of their sequence; older ones are ignored. Confined to the thread of
 * the core.
 */
final class LoadView {
    /** Weight of the latest report, between 0 and 1. */
    private static final double AVERAGE_WEIGHT = 0.3;

    /** How long an ended attempt is retained; longer than load reports lag. */
    private static final long RETENTION_MILLISECONDS = 3_000;

    /** Bounds the memory; the oldest ended attempt is removed first. */
    private static final int MAXIMUM_ENDED_ATTEMPTS = 256;

    private record EndedAttempt(long startedAt, long endedAt) {}

    private final MovingAverage average = new MovingAverage(AVERAGE_WEIGHT);
    private final ArrayDeque<EndedAttempt> endedAttempts = new ArrayDeque<>();
    private long lastSequence = Long.MIN_VALUE;
    private long measuredAt;
    private int externalRequests;

    /** Retains an ended attempt, because a lagged report may still count it. */
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
     * Returns the estimated load of other entries on the endpoint, in requests. The difference of the last report from
     * the average decays with the mean run time, because it is valid only for about as long as requests run.
     *
     * @param now the time, in milliseconds
     * @param runTime mean run time of requests, in milliseconds
     */
    double externalLoad(long now, double runTime) {
        double freshness = Math.exp(-Math.max(0, now - measuredAt) / Math.max(1, runTime));
        return average.value() + (externalRequests - average.value()) * freshness;
    }
}
