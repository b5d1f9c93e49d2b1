package io.rosemarybeam.decision.request;

import java.util.ArrayList;
import java.util.List;

import io.rosemarybeam.common.error.ErrorCode;

/**
 * Refuses requests early that cannot meet their deadline, training first.
 *
 * <p>Invariant: a refused request is answered immediately; its suggested retry delay is the estimated time until the
 * queue has drained. Confined to the thread of the core.
 */
final class SheddingSystem {
    /** How often the queues are checked. */
    private static final long SWEEP_INTERVAL_MILLISECONDS = 100;

    /** Bounds of the suggested retry delay. */
    private static final long MINIMUM_RETRY_AFTER_MILLISECONDS = 100;

    private static final long MAXIMUM_RETRY_AFTER_MILLISECONDS = 60_000;

    /** Suggested retry delay where the time until the queue has drained cannot be estimated. */
    private static final long DEFAULT_RETRY_AFTER_MILLISECONDS = 1_000;

    /** How long queued requests wait for a service that has lost all its endpoints or its share of the limit. */
    private static final long NO_ENDPOINT_GRACE_MILLISECONDS = 1_000;

    /**
     * Safety margin before the deadline, in mean deviations of the run time. Without a margin, queues stabilize at a
     * length where only runs shorter than the mean finish in time: goodput at twice saturation was 6144 of 7255
     * answers.
     */
    private static final double ARRIVAL_MARGIN_DEVIATIONS = 3;

    /** The margin for requests in the queue, in mean deviations of the run time. */
    private static final double QUEUE_MARGIN_DEVIATIONS = 1;

    private final Tables tables;
    private final CompletionSystem completion;
    private long nextSweep;

    SheddingSystem(Tables tables, CompletionSystem completion) {
        this.tables = tables;
        this.completion = completion;
    }

    /** Returns whether an arriving request cannot be answered before its deadline. */
    boolean cannotMeetDeadline(RequestRow row) {
        if (!tables.uses(RequestPolicy.SHEDDING)) {
            return false;
        }
        ServiceRow service = row.service;
        int ahead = row.isTraining() ? service.queue.size() : service.queue.customersBefore(row.deadline());
        return ahead > 0
                && tables.now + waitMilliseconds(service, ahead) + runMilliseconds(row, ARRIVAL_MARGIN_DEVIATIONS)
                        > row.deadline();
    }

    /** Returns the suggested retry delay of a refused caller, in milliseconds. */
    long retryAfter(ServiceRow service) {
        double wait = waitMilliseconds(service, service.queue.size());
        if (service.servingSlots == 0 || service.share == 0 || service.holdTime.count() == 0) {
            return DEFAULT_RETRY_AFTER_MILLISECONDS;
        }
        // Jitter prevents callers that were refused at the same time from retrying at the same time.
        double spread = wait * (1 + tables.random.nextDouble() / 4);
        return Math.round(Math.clamp(spread, MINIMUM_RETRY_AFTER_MILLISECONDS, MAXIMUM_RETRY_AFTER_MILLISECONDS));
    }

    /** Refuses a training request to free a position in a full queue; returns whether there was one. */
    boolean shedTraining(ServiceRow service) {
        RequestRow victim = service.queue.trainingToShed();
        if (victim == null) {
            return false;
        }
        completion.refuse(victim, ErrorCode.OVERLOADED, retryAfter(service));
        return true;
    }

    /** Refuses a request that reached the head of the queue too late to meet its deadline; returns whether it did. */
    boolean refuseIfTooLate(RequestRow row) {
        boolean tooLate = tables.now >= row.deadline()
                || tables.uses(RequestPolicy.SHEDDING)
                        && !row.mayHaveRun
                        && tables.now + runMilliseconds(row, QUEUE_MARGIN_DEVIATIONS) > row.deadline();
        if (tooLate) {
            completion.refuse(row, ErrorCode.DEADLINE_UNREACHABLE, retryAfter(row.service));
        }
        return tooLate;
    }

    /** Checks the queues at intervals. */
    void run() {
        if (tables.now < nextSweep) {
            return;
        }
        nextSweep = tables.now + SWEEP_INTERVAL_MILLISECONDS;
        for (ServiceRow service : tables.services.values()) {
            if (service.queue.size() > 0) {
                sweep(service);
                // Load estimates change with time, so an endpoint may now be suitable for a queued request.
                tables.requestDispatch(service);
            }
        }
    }

    private void sweep(ServiceRow service) {
        if (service.servingSlots > 0 && service.share > 0) {
            service.lastServingAt = tables.now;
        } else if (tables.now - service.lastServingAt >= NO_ENDPOINT_GRACE_MILLISECONDS) {
            ErrorCode code = service.servingSlots == 0 ? ErrorCode.NO_ENDPOINT : ErrorCode.OVERLOADED;
            rows(service).forEach(row -> completion.refuse(row, code, retryAfter(service)));
            return;
        }
        if (!tables.uses(RequestPolicy.SHEDDING)) {
            return;
        }
        int ahead = 0;
        for (RequestRow row : rows(service)) {
            double expectedCompletion =
                    tables.now + waitMilliseconds(service, ahead) + runMilliseconds(row, QUEUE_MARGIN_DEVIATIONS);
            if (expectedCompletion > row.deadline()) {
                completion.refuse(row, ErrorCode.DEADLINE_UNREACHABLE, retryAfter(service));
            } else {
                ahead++;
            }
        }
    }

    private static List<RequestRow> rows(ServiceRow service) {
        List<RequestRow> rows = new ArrayList<>(service.queue.customers);
        service.queue.trainers.values().forEach(queue -> rows.addAll(queue.rows));
        return rows;
    }

    /** Estimates how long the service is busy with a number of requests, in milliseconds. */
    private static double waitMilliseconds(ServiceRow service, int requests) {
        int concurrency = Math.max(1, Math.min(service.share, service.servingSlots));
        return requests * service.holdTime.value() / concurrency;
    }

    /** Estimates the run time of a request plus a margin, in milliseconds; the margin is in mean deviations. */
    private static double runMilliseconds(RequestRow row, double margin) {
        double byTokens = row.service.timePerToken.upperBound(margin) * Math.max(1, row.expectedTokens() - row.tokens);
        // Bounded by the observed run time, because callers often allow far more tokens than the answer has.
        return Math.min(byTokens, row.runTime().upperBound(margin));
    }
}
