package io.rosemarybeam.decision.request;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;

import io.rosemarybeam.decision.request.EndpointHealth.State;
import io.rosemarybeam.decision.request.RequestInput.AttemptFailure;

/**
 * Ejects slow and failing endpoints from load balancing and readmits them gradually.
 *
 * <p>Invariant: at most half of the eligible endpoints of a service are ejected. Confined to the thread of the core.
 */
final class EjectionSystem {
    private static final long EVALUATION_INTERVAL_MILLISECONDS = 500;

    /** Failures in a row, refusals not counted, after which an endpoint is ejected. */
    private static final int CONSECUTIVE_FAILURES_BEFORE_EJECTION = 3;

    /** Failure rate above which an endpoint may be ejected, as a fraction of its outcomes. */
    private static final double MAXIMUM_FAILURE_RATE = 0.5;

    /**
     * Difference from the median failure rate above which an endpoint may be ejected. Where all endpoints refuse alike
     * the service is overloaded, and ejection would only reduce its capacity.
     */
    private static final double MAXIMUM_FAILURE_RATE_DIFFERENCE = 0.2;

    /** Minimum number of outcomes before the averages of an endpoint are used. */
    static final int MINIMUM_OUTCOMES = 5;

    /**
     * Minimum number of answers before run times are used to eject an endpoint. Many are needed because the run
     * times of plain calls may differ by orders of magnitude.
     */
    private static final int MINIMUM_RUN_TIMES = 20;

    /** Work of a model before its first token, in tokens. */
    private static final int FIRST_TOKEN_WORK_UNITS = 4;

    /** Minimum number of endpoints with enough outcomes from which a median of run times is computed. */
    private static final int MINIMUM_COMPARED_ENDPOINTS = 3;

    /** Multiple of the median run time per unit of work above which an endpoint is slow. */
    private static final double SLOW_FACTOR = 3;

    /** Mean deviations above the mean run time after which an open attempt is overdue. */
    private static final double OVERDUE_DEVIATIONS = 8;

    /** Overdue attempts, at least half of the open ones, for which an endpoint is ejected. */
    private static final int MINIMUM_OVERDUE_ATTEMPTS = 2;

    /** Differences of run time below this are noise of short requests, in milliseconds per attempt. */
    private static final double MINIMUM_DIFFERENCE_MILLISECONDS = 20;

    /** Duration of the first ejection, which doubles with each further one up to the maximum. */
    private static final long BASE_EJECTION_MILLISECONDS = 5_000;

    private static final long MAXIMUM_EJECTION_MILLISECONDS = 60_000;

    /** Time since the last ejection after which the duration starts at the base again. */
    private static final long BACKOFF_RESET_MILLISECONDS = 120_000;

    private final Tables tables;
    private long nextEvaluation;

    EjectionSystem(Tables tables) {
        this.tables = tables;
    }

    void handleCompleted(AttemptRow attempt, int tokens) {
        EndpointRow endpoint = attempt.endpoint;
        EndpointHealth health = endpoint.health;
        boolean overdue = isOverdue(attempt);
        double workUnits =
                endpoint.service.isModel() ? FIRST_TOKEN_WORK_UNITS + Math.max(0, tokens - attempt.resumeOffset) : 1;
        endpoint.service.workUnits.add(workUnits);
        health.failureRate.add(0);
        health.unitRunTime.add((tables.now - attempt.startedAt) / workUnits);
        health.consecutiveFailures = 0;
        if (health.state == State.RECOVERING) {
            if (overdue) {
                eject(endpoint);
            } else {
                health.recordRecoverySuccess(endpoint.maximumSlots());
            }
            tables.updateAvailability(endpoint);
        }
    }

    /**
     * Handles a failure. An endpoint that refuses before running is busy rather than broken, so a refusal only raises its
     * failure rate.
     */
    void handleFailed(AttemptRow attempt, AttemptFailure failure) {
        EndpointHealth health = attempt.endpoint.health;
        health.failureRate.add(1);
        if (failure == AttemptFailure.REFUSED_NOT_RUN) {
            return;
        }
        health.consecutiveFailures++;
        if (health.consecutiveFailures >= CONSECUTIVE_FAILURES_BEFORE_EJECTION || health.state == State.RECOVERING) {
            eject(attempt.endpoint);
        }
    }

    /**
     * Handles an attempt whose deadline passed. It counts as a failure only if the attempt produced no token and took
     * unusually long.
     */
    void handleExpired(AttemptRow attempt) {
        if (attempt.tokens == attempt.resumeOffset && isOverdue(attempt)) {
            handleFailed(attempt, AttemptFailure.SILENT);
        }
    }

    /** At intervals readmits endpoints whose ejection is over and compares the endpoints of each service. */
    void run() {
        if (tables.now < nextEvaluation || !tables.uses(RequestPolicy.EJECTION)) {
            return;
        }
        nextEvaluation = tables.now + EVALUATION_INTERVAL_MILLISECONDS;
        tables.services.values().forEach(this::evaluate);
    }

    /** Readmits endpoints early, those due first, while more than half of the eligible ones are ejected. */
    void limitEjections(ServiceRow service) {
        while (2 * service.ejected.size() > service.servingEndpoints) {
            service.ejected.stream()
                    .min(Comparator.comparingLong(endpoint -> endpoint.health.ejectedUntil))
                    .ifPresent(this::readmit);
        }
    }

    private void evaluate(ServiceRow service) {
        for (EndpointRow endpoint : List.copyOf(service.ejected)) {
            if (endpoint.health.ejectedUntil <= tables.now) {
                readmit(endpoint);
            }
        }
        service.medianUnitRunTime =
                median(service, endpoint -> endpoint.health.unitRunTime, MINIMUM_COMPARED_ENDPOINTS);
        service.medianFailureRate = median(service, endpoint -> endpoint.health.failureRate, 1);
        List<EndpointRow> outliers = new ArrayList<>();
        for (EndpointRow endpoint : service.endpoints.rows()) {
            if (endpoint.mayServe() && isOutlier(endpoint)) {
                outliers.add(endpoint);
            }
        }
        outliers.sort(Comparator.comparingDouble((EndpointRow endpoint) ->
                        endpoint.health.failureRate.value() * 1_000 + endpoint.health.unitRunTime.value())
                .reversed());
        outliers.forEach(this::eject);
    }

    private boolean isOutlier(EndpointRow endpoint) {
        EndpointHealth health = endpoint.health;
        if (health.failureRate.count() >= MINIMUM_OUTCOMES
                && health.failureRate.value() > MAXIMUM_FAILURE_RATE
                && health.failureRate.value() > endpoint.service.medianFailureRate + MAXIMUM_FAILURE_RATE_DIFFERENCE) {
            return true;
        }
        return isSlow(endpoint) || isOverdue(endpoint);
    }

    private static boolean isSlow(EndpointRow endpoint) {
        double unitRunTime = endpoint.health.unitRunTime.value();
        double median = endpoint.service.medianUnitRunTime;
        return median > 0
                && endpoint.health.unitRunTime.count() >= MINIMUM_RUN_TIMES
                && unitRunTime > SLOW_FACTOR * median
                && (unitRunTime - median) * endpoint.service.workUnits.value() > MINIMUM_DIFFERENCE_MILLISECONDS;
    }

    /**
     * Returns whether open attempts take too long; detects endpoints that complete nothing and so have no run times.
     */
    private boolean isOverdue(EndpointRow endpoint) {
        if (endpoint.open.size() < MINIMUM_OVERDUE_ATTEMPTS) {
            return false;
        }
        int overdue = 0;
        for (AttemptRow attempt : endpoint.open) {
            overdue += isOverdue(attempt) ? 1 : 0;
        }
        return overdue >= MINIMUM_OVERDUE_ATTEMPTS && 2 * overdue >= endpoint.open.size();
    }

    private boolean isOverdue(AttemptRow attempt) {
        MovingAverage runTime = attempt.request.runTime();
        double limit = runTime.upperBound(OVERDUE_DEVIATIONS) + MINIMUM_DIFFERENCE_MILLISECONDS;
        return runTime.count() >= MINIMUM_RUN_TIMES && tables.now - attempt.startedAt > limit;
    }

    /** Returns the lower median over the endpoints with enough outcomes, or zero if there are too few of them. */
    private static double median(
            ServiceRow service, Function<EndpointRow, MovingAverage> measure, int minimumEndpoints) {
        double[] values = service.endpoints.rows().stream()
                .map(measure)
                .filter(average -> average.count() >= MINIMUM_OUTCOMES)
                .mapToDouble(MovingAverage::value)
                .toArray();
        if (values.length < minimumEndpoints) {
            return 0;
        }
        Arrays.sort(values);
        return values[(values.length - 1) / 2];
    }

    private void eject(EndpointRow endpoint) {
        ServiceRow service = endpoint.service;
        if (!tables.uses(RequestPolicy.EJECTION)
                || !endpoint.mayServe()
                || 2 * (service.ejected.size() + 1) > service.servingEndpoints) {
            return;
        }
        EndpointHealth health = endpoint.health;
        if (tables.now - health.ejectedAt > BACKOFF_RESET_MILLISECONDS) {
            health.ejections = 0;
        }
        long duration =
                Math.min(MAXIMUM_EJECTION_MILLISECONDS, BASE_EJECTION_MILLISECONDS << Math.min(health.ejections, 10));
        tables.counters.ejections++;
        health.state = State.EJECTED;
        health.ejections++;
        health.ejectedAt = tables.now;
        health.ejectedUntil = tables.now + duration + tables.random.nextLong(duration / 10);
        service.ejected.add(endpoint);
        tables.updateAvailability(endpoint);
    }

    private void readmit(EndpointRow endpoint) {
        endpoint.service.ejected.remove(endpoint);
        endpoint.health.startRecovery();
        tables.updateAvailability(endpoint);
    }
}
