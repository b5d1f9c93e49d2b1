package io.rosemarybeam.decision.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

import io.rosemarybeam.common.id.EndpointId;

/**
 * Load and health of endpoints as observed by this process and reported by the endpoints.
 *
 * <p>Load pattern: an endpoint that crashes, hangs or becomes slow while it still announces itself as ready. After a failed
 * attempt an endpoint is avoided for a delay that doubles with each further failure; a slow endpoint is chosen less often,
 * in proportion to its latency. Confined to one thread.
 */
public final class EndpointLoads {
    /**
     * Time for which an endpoint is avoided after its first failure; half of the shortest latency target of the routes in
     * use.
     */
    private static final long FIRST_PENALTY_MILLISECONDS = 100;

    /** Maximum time for which an endpoint is avoided; a crashed endpoint is back after some seconds. */
    private static final long MAXIMUM_PENALTY_MILLISECONDS = 3_000;

    /** Weight of a new latency in the moving average, so that about the last five answers count. */
    private static final double LATENCY_WEIGHT = 0.2;

    /** Maximum age of a load report that is used; reports lag by some hundred milliseconds. */
    private static final long MAXIMUM_REPORT_AGE_MILLISECONDS = 400;

    private final Map<EndpointId, Load> loads = new HashMap<>();

    /**
     * Records that a request was sent.
     *
     * @param id the endpoint
     */
    public void recordRequest(EndpointId id) {
        load(id).outstanding++;
    }

    /**
     * Records that a request has ended, with or without an answer.
     *
     * @param id the endpoint
     */
    public void recordEnd(EndpointId id) {
        Load load = load(id);
        load.outstanding = Math.max(0, load.outstanding - 1);
    }

    /**
     * Records an answer, which also resets the failures of the endpoint.
     *
     * @param id the endpoint
     * @param latency time from the request to the answer, in milliseconds
     */
    public void recordAnswer(EndpointId id, long latency) {
        Load load = load(id);
        load.failures = 0;
        load.avoidedUntil = 0;
        load.latency = load.latency == 0 ? latency : load.latency + LATENCY_WEIGHT * (latency - load.latency);
    }

    /**
     * Records the load that an endpoint reported.
     *
     * @param id the endpoint
     * @param requests number of its running and waiting requests
     * @param now monotonic time, in milliseconds
     */
    public void recordReport(EndpointId id, int requests, long now) {
        Load load = load(id);
        load.reported = requests;
        load.reportedAt = now;
    }

    /**
     * Records a failed attempt, or a refusal because the endpoint is full.
     *
     * @param id the endpoint
     * @param now monotonic time, in milliseconds
     */
    public void recordFailure(EndpointId id, long now) {
        Load load = load(id);
        long penalty = FIRST_PENALTY_MILLISECONDS << Math.min(load.failures, 5);
        load.failures++;
        load.avoidedUntil = now + Math.min(penalty, MAXIMUM_PENALTY_MILLISECONDS);
    }

    /**
     * Returns whether an endpoint is avoided because of recent failures.
     *
     * @param id the endpoint
     * @param now monotonic time, in milliseconds
     * @return true until the delay after its last failure has passed
     */
    public boolean isAvoided(EndpointId id, long now) {
        return load(id).avoidedUntil > now;
    }

    /**
     * Returns the number of requests of this process that are outstanding at an endpoint.
     *
     * @param id the endpoint
     * @return the number of requests
     */
    public int outstanding(EndpointId id) {
        return load(id).outstanding;
    }

    /**
     * Returns the estimated number of requests at an endpoint, from this process and others.
     *
     * @param id the endpoint
     * @param now monotonic time, in milliseconds
     * @return the maximum of the own outstanding requests and a recent report
     */
    public int estimatedRequests(EndpointId id, long now) {
        Load load = load(id);
        boolean isRecent = now - load.reportedAt <= MAXIMUM_REPORT_AGE_MILLISECONDS;
        return isRecent ? Math.max(load.outstanding, load.reported) : load.outstanding;
    }

    /**
     * Returns the moving average of the latency of an endpoint.
     *
     * @param id the endpoint
     * @return the average, in milliseconds; 0 if there was no answer yet
     */
    public double latency(EndpointId id) {
        return load(id).latency;
    }

    /**
     * Removes the endpoints that are no longer known and have no outstanding requests.
     *
     * @param isKnown whether an endpoint is still known
     */
    public void retain(Predicate<EndpointId> isKnown) {
        loads.entrySet().removeIf(entry -> entry.getValue().outstanding == 0 && !isKnown.test(entry.getKey()));
    }

    private Load load(EndpointId id) {
        return loads.computeIfAbsent(id, ignored -> new Load());
    }

    /** Load of one endpoint. */
    private static final class Load {
        private int outstanding;
        private int reported;
        private long reportedAt = Long.MIN_VALUE / 2;
        private double latency;
        private int failures;
        private long avoidedUntil;
    }
}
