package io.rosemarybeam.decision.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.wire.EndpointAnnouncement;

/**
 * Limits the background calls in flight at endpoints that callers use too.
 *
 * <p>Load pattern: hundreds of background calls arrive together and fill the queues of all endpoints, so that the short
 * requests of callers wait behind them for several times their latency target; at times some endpoints are several times
 * slower for seconds. Background calls have seconds to spare, so they leave a part of the slots free, and nearly all slots of
 * an endpoint that is slow.
 *
 * <p>Invariants: an endpoint has at most {@link #limit} background calls in flight, but one call may always be in flight over
 * all endpoints, so that background work goes on however busy they are. Times are monotonic times in milliseconds. Confined to
 * one thread.
 */
public final class BackgroundRoom {
    /** A third of the slots is left for callers, whose requests are short and few at a time. */
    private static final int RESERVE_DIVISOR = 3;

    /** An endpoint whose latency is this multiple of its base latency counts as slow. */
    private static final double SLOW_FACTOR = 2;

    /**
     * Smallest base latency with which others are compared, in milliseconds. Delays of the event loop of a host take some
     * milliseconds, and would make an endpoint seem slow that usually answers within one.
     */
    private static final double MINIMUM_BASE_MILLISECONDS = 10;

    /** Calls in flight at a slow endpoint; one is needed to see that it is no longer slow. */
    private static final int SLOW_LIMIT = 1;

    /** Weight of a latency in the average, so that a single call with three times the usual work does not count as slow. */
    private static final double LATENCY_WEIGHT = 0.3;

    /** Weight of a latency below the base latency. */
    private static final double BASE_FALL_WEIGHT = 0.2;

    /** Weight of a latency above the base latency, so that a slowdown of some seconds hardly raises it. */
    private static final double BASE_RISE_WEIGHT = 0.02;

    private final Map<EndpointId, Load> loads = new HashMap<>();
    private int callsInFlight;

    /** Background calls of one endpoint. */
    private static final class Load {
        private final List<Long> startTimes = new ArrayList<>();

        /** Average of the last latencies; 0 if there was no answer. */
        private double latency;

        /** Usual latency; 0 if there was no answer. */
        private double baseLatency;

        private void recordLatency(long measured) {
            latency = latency == 0 ? measured : latency + LATENCY_WEIGHT * (measured - latency);
            double weight = measured < baseLatency ? BASE_FALL_WEIGHT : BASE_RISE_WEIGHT;
            baseLatency = baseLatency == 0 ? measured : baseLatency + weight * (measured - baseLatency);
        }

        /** A call that ended without an answer, because a hedge was faster, would have taken longer. */
        private void recordMinimumLatency(long elapsed) {
            if (latency > 0 && elapsed > latency) {
                latency += LATENCY_WEIGHT * (elapsed - latency);
            }
        }

        private boolean isSlow(long now) {
            long oldest =
                    startTimes.stream().mapToLong(start -> now - start).max().orElse(0);
            double compared = Math.max(baseLatency, MINIMUM_BASE_MILLISECONDS);
            return baseLatency > 0 && Math.max(latency, oldest) > SLOW_FACTOR * compared;
        }
    }

    /**
     * Returns how many background calls may be in flight at an endpoint.
     *
     * @param endpoint the endpoint
     * @param requests estimated number of all requests that run or wait there
     * @param now current time
     * @return the limit; 0 if at least as many requests wait there as background calls could run
     */
    public int limit(EndpointAnnouncement endpoint, int requests, long now) {
        int slots = endpoint.capacity();
        int reserve = Math.max(1, slots / RESERVE_DIVISOR);
        int waiting = Math.max(0, requests - slots);
        int limit = Math.max(0, slots - reserve - waiting);
        return isSlow(endpoint.id(), now) ? Math.min(SLOW_LIMIT, limit) : limit;
    }

    /**
     * Returns whether an endpoint is slow.
     *
     * @param endpoint the endpoint
     * @param now current time
     * @return true if its last background calls, or one in flight, took more than twice the usual time
     */
    public boolean isSlow(EndpointId endpoint, long now) {
        Load load = loads.get(endpoint);
        return load != null && load.isSlow(now);
    }

    /**
     * Returns whether one more background call may be sent to an endpoint.
     *
     * @param endpoint the endpoint
     * @param requests estimated number of all requests that run or wait there
     * @param now current time
     * @return true if its limit is not reached, or no background call is in flight at any endpoint
     */
    public boolean hasRoom(EndpointAnnouncement endpoint, int requests, long now) {
        return callsInFlight == 0 || inFlight(endpoint.id()) < limit(endpoint, requests, now);
    }

    /**
     * Records that a background call was sent.
     *
     * @param endpoint the endpoint
     * @param now current time
     */
    public void recordStart(EndpointId endpoint, long now) {
        loads.computeIfAbsent(endpoint, ignored -> new Load()).startTimes.add(now);
        callsInFlight++;
    }

    /**
     * Records that a background call has ended.
     *
     * @param endpoint the endpoint
     * @param startedAt time at which it was sent, as recorded
     * @param isAnswered whether the endpoint ran it; other calls only show that they would have taken longer
     * @param now current time
     */
    public void recordEnd(EndpointId endpoint, long startedAt, boolean isAnswered, long now) {
        Load load = loads.get(endpoint);
        if (load == null || !load.startTimes.remove((Long) startedAt)) {
            return;
        }
        callsInFlight--;
        if (isAnswered) {
            load.recordLatency(now - startedAt);
        } else {
            load.recordMinimumLatency(now - startedAt);
        }
    }

    /**
     * Returns the number of background calls in flight at an endpoint.
     *
     * @param endpoint the endpoint
     * @return the number of calls
     */
    public int inFlight(EndpointId endpoint) {
        Load load = loads.get(endpoint);
        return load == null ? 0 : load.startTimes.size();
    }

    /**
     * Removes what is known of departed endpoints without calls in flight; to be called periodically.
     *
     * @param isKnown whether an endpoint is still known
     */
    public void retain(Predicate<EndpointId> isKnown) {
        loads.entrySet().removeIf(entry -> entry.getValue().startTimes.isEmpty() && !isKnown.test(entry.getKey()));
    }
}
