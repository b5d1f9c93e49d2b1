package io.rosemarybeam.decision.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.function.Predicate;

import io.rosemarybeam.common.id.EndpointId;

/**
 * Load and health of endpoints as observed by this process and reported by the endpoints.
 *
 * <p>Load pattern: an endpoint that crashes, hangs or becomes slow while it still announces itself as ready. After a failed
 * attempt an endpoint is avoided for a delay that doubles with each further failure; a slow endpoint is chosen less often,
 * in proportion to its latency.
 *
 * <p>Load pattern: endpoints that share their machines with other work are 2.5 times slower for about 600 ms at a time, while a
 * host sees a request every 5 s. An endpoint may report its slowdown, the factor by which work takes longer than usual there.
 * Latencies are divided by it, so that they remain valid for longer than the disturbance in which they were measured.
 *
 * <p>Confined to one thread.
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

    /** Time for which a reported slowdown counts in full, and then the time in which it decays; disturbances are as long. */
    private static final long SLOWDOWN_MILLISECONDS = 600;

    /**
     * Limits of the slowdown by which a latency is divided. A wrong report must not make an endpoint seem so fast, or so slow,
     * that it gets all requests, or none, long after the report.
     */
    private static final double MINIMUM_DIVISOR = 0.5;

    private static final double MAXIMUM_DIVISOR = 10;

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
     * Records an answer without a slowdown, which also resets the failures of the endpoint.
     *
     * @param id the endpoint
     * @param latency time from the request to the answer, in milliseconds
     */
    public void recordAnswer(EndpointId id, long latency) {
        recordAnswer(id, latency, OptionalDouble.empty());
    }

    /**
     * Records an answer, which also resets the failures of the endpoint.
     *
     * @param id the endpoint
     * @param latency time from the request to the answer, in milliseconds
     * @param slowdown slowdown that the answer reports; 1 is as usual
     */
    public void recordAnswer(EndpointId id, long latency, OptionalDouble slowdown) {
        Load load = load(id);
        double baseLatency = latency / Math.clamp(slowdown.orElse(1), MINIMUM_DIVISOR, MAXIMUM_DIVISOR);
        load.failures = 0;
        load.avoidedUntil = 0;
        load.latency = load.latency == 0 ? baseLatency : load.latency + LATENCY_WEIGHT * (baseLatency - load.latency);
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
     * Records the slowdown that an endpoint reported.
     *
     * @param id the endpoint
     * @param slowdown factor by which work takes longer there than usual; positive, 1 is as usual
     * @param now monotonic time, in milliseconds
     */
    public void recordSlowdown(EndpointId id, double slowdown, long now) {
        Load load = load(id);
        load.slowdown = slowdown;
        load.slowdownAt = now;
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
        return hasRecentReport(id, now) ? Math.max(load.outstanding, load.reported) : load.outstanding;
    }

    /**
     * Returns whether an endpoint has reported its load recently enough for the report to be used.
     *
     * @param id the endpoint
     * @param now monotonic time, in milliseconds
     * @return false also if it never did
     */
    public boolean hasRecentReport(EndpointId id, long now) {
        return now - load(id).reportedAt <= MAXIMUM_REPORT_AGE_MILLISECONDS;
    }

    /**
     * Returns the expected slowdown of an endpoint: the reported one, which decays to 1 after some time.
     *
     * @param id the endpoint
     * @param now monotonic time, in milliseconds
     * @return the factor by which work is expected to take longer than usual; 1 if nothing is known
     */
    public double slowdown(EndpointId id, long now) {
        Load load = load(id);
        double decayed = (now - load.slowdownAt - SLOWDOWN_MILLISECONDS) / (double) SLOWDOWN_MILLISECONDS;
        return 1 + (load.slowdown - 1) * (1 - Math.clamp(decayed, 0, 1));
    }

    /**
     * Returns the moving average of the latency of an endpoint, each divided by the slowdown that its answer reported.
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
        private double slowdown = 1;
        private long slowdownAt = Long.MIN_VALUE / 2;
        private int failures;
        private long avoidedUntil;
    }
}
