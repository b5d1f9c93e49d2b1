package io.rosemarybeam.decision.routing;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.wire.EndpointAnnouncement;

/**
 * Decides when endpoints are asked for their load before a request is sent, and which ones.
 *
 * <p>Load pattern: 47 hosts see 8.4 requests a second in all, so that a host knows nothing recent of endpoints of which 15% are
 * 2.5 times slower for 600 ms at a time. A probe takes no slot and finds out whether the preferred endpoint is one of them; the
 * second probe, at a random endpoint of the same failure domain, also lets a host find endpoints that it has not used.
 *
 * <p>Invariants: only services whose endpoints have reported a slowdown are probed; a service has at most one pair of probes in
 * progress, and all services together start at most {@value #MAXIMUM_PAIRS_PER_SECOND} pairs a second. Confined to one thread.
 */
public final class ProbePlan {
    /** Bounds the load of probes when many requests arrive; the reports of their answers are recent then anyway. */
    static final int MAXIMUM_PAIRS_PER_SECOND = 10;

    /** Part of the latency target that a request waits for the replies at most. */
    private static final int WAIT_TARGET_DIVISOR = 10;

    /** Time for which a service is not probed after a missing reply, so that a hung endpoint delays few requests. */
    private static final long PAUSE_MILLISECONDS = 1_000;

    private static final long RATE_WINDOW_MILLISECONDS = 1_000;

    private final RandomGenerator random;
    private final Set<ServiceName> reporting = new HashSet<>();
    private final Set<ServiceName> inProgress = new HashSet<>();
    private final Map<ServiceName, Long> pausedUntil = new HashMap<>();
    private final Deque<Long> recentStarts = new ArrayDeque<>();

    /**
     * Creates a plan for a process that has not seen any report.
     *
     * @param random chooses the second endpoint of a pair
     */
    public ProbePlan(RandomGenerator random) {
        this.random = random;
    }

    /**
     * The endpoints to be probed. Immutable.
     *
     * @param best the endpoint with the shortest expected latency
     * @param other another one of its failure domain
     */
    public record Pair(EndpointAnnouncement best, EndpointAnnouncement other) {
        /**
         * Returns whether an endpoint is one of the two.
         *
         * @param endpoint the endpoint, possibly announced anew meanwhile
         * @return true if the id is that of one of the two
         */
        public boolean contains(EndpointAnnouncement endpoint) {
            return endpoint.id().equals(best.id()) || endpoint.id().equals(other.id());
        }
    }

    /**
     * Records that an endpoint of a service has reported its slowdown.
     *
     * @param service the service
     * @return true if it is the first report of this service
     */
    public boolean recordSlowdownReport(ServiceName service) {
        return reporting.add(service);
    }

    /**
     * Decides whether to probe before a request, and records the start of the probes; {@link #end} must follow.
     *
     * @param service the service of the request
     * @param candidates endpoints that may run the request
     * @param best the preferred one of them
     * @param loads load and health of the endpoints
     * @param now monotonic time, in milliseconds
     * @return the endpoints to be probed; empty if the request is to be sent at once
     */
    public Optional<Pair> begin(
            ServiceName service,
            List<EndpointAnnouncement> candidates,
            EndpointAnnouncement best,
            EndpointLoads loads,
            long now) {
        boolean isWanted = reporting.contains(service)
                && candidates.stream().noneMatch(candidate -> loads.hasRecentReport(candidate.id(), now));
        if (!isWanted || !isAllowed(service, now)) {
            return Optional.empty();
        }
        List<EndpointAnnouncement> others = candidates.stream()
                .filter(candidate -> !candidate.id().equals(best.id()))
                .filter(candidate -> candidate.failureDomain().equals(best.failureDomain()))
                .filter(candidate -> !loads.isAvoided(candidate.id(), now))
                .toList();
        if (others.isEmpty()) {
            return Optional.empty();
        }
        inProgress.add(service);
        recentStarts.add(now);
        return Optional.of(new Pair(best, others.get(random.nextInt(others.size()))));
    }

    private boolean isAllowed(ServiceName service, long now) {
        while (!recentStarts.isEmpty() && now - recentStarts.peek() >= RATE_WINDOW_MILLISECONDS) {
            recentStarts.remove();
        }
        boolean isPaused = pausedUntil.containsKey(service) && pausedUntil.get(service) > now;
        return !isPaused && !inProgress.contains(service) && recentStarts.size() < MAXIMUM_PAIRS_PER_SECOND;
    }

    /**
     * Records that the probes of a service have ended.
     *
     * @param service the service
     * @param replied whether both endpoints replied in time; if not, the service is not probed for a second
     * @param now monotonic time, in milliseconds
     */
    public void end(ServiceName service, boolean replied, long now) {
        inProgress.remove(service);
        if (replied) {
            pausedUntil.remove(service);
        } else {
            pausedUntil.put(service, now + PAUSE_MILLISECONDS);
        }
    }

    /**
     * Returns how long a request waits for the replies to its probes.
     *
     * @param latencyTarget latency target of the route, in milliseconds
     * @param remaining time until the deadline of the request, in milliseconds
     * @return a tenth of the target, or less; 0 if the request is to be sent at once
     */
    public static long maximumWait(long latencyTarget, long remaining) {
        return Math.max(0, Math.min(latencyTarget / WAIT_TARGET_DIVISOR, remaining / WAIT_TARGET_DIVISOR));
    }

    /**
     * Chooses between the endpoints of a pair by what is known of them after the probes.
     *
     * @param pair the endpoints that were probed
     * @param candidates endpoints that may run the request now
     * @param state what is known of the request
     * @param loads load and health of the endpoints, with the replies
     * @param now monotonic time, in milliseconds
     * @return the better one; empty if the request may run at neither any more
     */
    public static Optional<EndpointAnnouncement> choose(
            Pair pair,
            List<EndpointAnnouncement> candidates,
            EndpointSelection.RequestState state,
            EndpointLoads loads,
            long now) {
        List<EndpointAnnouncement> probed =
                candidates.stream().filter(pair::contains).toList();
        double defaultLatency = EndpointSelection.defaultLatency(candidates, loads);
        // Both are in one failure domain, so the network delay does not distinguish them.
        return EndpointSelection.choose(probed, state, loads, pair.best().failureDomain(), defaultLatency, now);
    }
}
