package io.rosemarybeam.decision.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

import io.rosemarybeam.common.id.EndpointId;

/**
 * What this process has seen of the load and the health of endpoints.
 *
 * <p>Load pattern: an endpoint that crashes, hangs or turns slow while it still announces itself as ready. A failed attempt
 * keeps it out for a delay that doubles with each further failure; a slow one is chosen less often, in proportion to its
 * latency. Confined to one thread.
 */
public final class EndpointLoads {
    /** First time without new requests after a failure, in milliseconds; half of the shortest route target of the users. */
    private static final long FIRST_PENALTY_MILLISECONDS = 100;

    /** Longest time without new requests, in milliseconds; an endpoint that crashed is back after some seconds. */
    private static final long MAXIMUM_PENALTY_MILLISECONDS = 3_000;

    /** Weight of a new latency in the moving average; about the last five answers count. */
    private static final double LATENCY_WEIGHT = 0.2;

    /** Age up to which the load that an endpoint reported counts, in milliseconds; reports lag by some hundred. */
    private static final long MAXIMUM_REPORT_AGE_MILLISECONDS = 400;

    private final Map<EndpointId, Load> loads = new HashMap<>();

    /**
     * Notes that a request was sent.
     *
     * @param id the endpoint
     */
    public void sent(EndpointId id) {
        load(id).outstanding++;
    }

    /**
     * Notes that a request has ended, whether with an answer or not.
     *
     * @param id the endpoint
     */
    public void ended(EndpointId id) {
        Load load = load(id);
        load.outstanding = Math.max(0, load.outstanding - 1);
    }

    /**
     * Notes an answer.
     *
     * @param id the endpoint
     * @param latency from sending to the answer, in milliseconds
     */
    public void answered(EndpointId id, long latency) {
        Load load = load(id);
        load.failures = 0;
        load.avoidedUntil = 0;
        load.latency = load.latency == 0 ? latency : load.latency + LATENCY_WEIGHT * (latency - load.latency);
    }

    /**
     * Notes what an endpoint said of its load.
     *
     * @param id the endpoint
     * @param requests its running and waiting requests
     * @param now steady time, in milliseconds
     */
    public void reported(EndpointId id, int requests, long now) {
        Load load = load(id);
        load.reported = requests;
        load.reportedAt = now;
    }

    /**
     * Notes a failed attempt, or a refusal because the endpoint is full.
     *
     * @param id the endpoint
     * @param now steady time, in milliseconds
     */
    public void failed(EndpointId id, long now) {
        Load load = load(id);
        long penalty = FIRST_PENALTY_MILLISECONDS << Math.min(load.failures, 5);
        load.failures++;
        load.avoidedUntil = now + Math.min(penalty, MAXIMUM_PENALTY_MILLISECONDS);
    }

    /**
     * Returns whether an endpoint is kept out.
     *
     * @param id the endpoint
     * @param now steady time, in milliseconds
     * @return true until its delay has passed
     */
    public boolean isAvoided(EndpointId id, long now) {
        return load(id).avoidedUntil > now;
    }

    /**
     * Returns the requests of this process that an endpoint has not answered.
     *
     * @param id the endpoint
     * @return their number
     */
    public int outstanding(EndpointId id) {
        return load(id).outstanding;
    }

    /**
     * Returns the requests that an endpoint is believed to have, from this process or others.
     *
     * @param id the endpoint
     * @param now steady time, in milliseconds
     * @return the larger of the own count and a recent report
     */
    public int estimatedRequests(EndpointId id, long now) {
        Load load = load(id);
        boolean isRecent = now - load.reportedAt <= MAXIMUM_REPORT_AGE_MILLISECONDS;
        return isRecent ? Math.max(load.outstanding, load.reported) : load.outstanding;
    }

    /**
     * Returns the moving average of the latency.
     *
     * @param id the endpoint
     * @return milliseconds; 0 if there was no answer yet
     */
    public double latency(EndpointId id) {
        return load(id).latency;
    }

    /**
     * Forgets endpoints.
     *
     * @param isKnown tells which ones stay
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
