package io.rosemarybeam.decision.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.FailureDomain;
import io.rosemarybeam.common.wire.EndpointAnnouncement;

/**
 * Chooses the endpoint of an attempt.
 *
 * <p>Load pattern: uneven load and one endpoint several times slower than its peers. The expected latency is the measured
 * latency of the endpoint, scaled up with its reported slowdown and its utilization, plus the network round trip to its failure
 * domain. Endpoints that
 * this request has tried are used again only if there is no other, and those that run a suspect, which may crash them, only if
 * the others are avoided. Stateless and safe for use by several threads.
 */
public final class EndpointSelection {
    /**
     * Latency assumed while no candidate has answered. Later, an endpoint without answers is assumed to have the median
     * latency of the candidates.
     */
    private static final double DEFAULT_LATENCY_MILLISECONDS = 1;

    /** Network round trip to another failure domain; one way takes 3.5 to 5.4 ms. */
    private static final double CROSS_DOMAIN_ROUND_TRIP_MILLISECONDS = 10;

    private EndpointSelection() {}

    /**
     * What is known of a request and of those beside which it would run. Immutable, provided that the set is not changed.
     *
     * @param tried endpoints to which the request was already sent
     * @param runsSuspect whether an endpoint runs a request that may crash it
     */
    public record RequestState(Set<EndpointId> tried, Predicate<EndpointId> runsSuspect) {}

    /**
     * Chooses an endpoint.
     *
     * @param candidates ready endpoints of the service
     * @param state what is known of the request
     * @param loads load and health of the endpoints
     * @param ownDomain failure domain of this process
     * @param now monotonic time, in milliseconds
     * @return the endpoint with the shortest expected latency; empty if there is no candidate
     */
    public static Optional<EndpointAnnouncement> choose(
            List<EndpointAnnouncement> candidates,
            RequestState state,
            EndpointLoads loads,
            FailureDomain ownDomain,
            long now) {
        return choose(candidates, state, loads, ownDomain, defaultLatency(candidates, loads), now);
    }

    /** Chooses like {@link #choose} with a given latency, in milliseconds, for endpoints that have not answered. */
    static Optional<EndpointAnnouncement> choose(
            List<EndpointAnnouncement> candidates,
            RequestState state,
            EndpointLoads loads,
            FailureDomain ownDomain,
            double defaultLatency,
            long now) {
        return candidates.stream()
                .min(Comparator.<EndpointAnnouncement>comparingInt(candidate -> rank(candidate, state, loads, now))
                        .thenComparingDouble(
                                candidate -> expectedLatency(candidate, loads, ownDomain, defaultLatency, now))
                        .thenComparing(EndpointAnnouncement::id));
    }

    private static int rank(EndpointAnnouncement candidate, RequestState state, EndpointLoads loads, long now) {
        int avoided = loads.isAvoided(candidate.id(), now) ? 1 : 0;
        int endangered = state.runsSuspect().test(candidate.id()) ? 1 : 0;
        int repeated = state.tried().contains(candidate.id()) ? 2 : 0;
        return avoided + endangered + repeated;
    }

    private static double expectedLatency(
            EndpointAnnouncement candidate,
            EndpointLoads loads,
            FailureDomain ownDomain,
            double defaultLatency,
            long now) {
        double measured = loads.latency(candidate.id());
        double latency = measured > 0 ? measured : defaultLatency;
        double utilization = loads.estimatedRequests(candidate.id(), now) / (double) Math.max(1, candidate.capacity());
        double networkDelay = candidate.failureDomain().equals(ownDomain) ? 0 : CROSS_DOMAIN_ROUND_TRIP_MILLISECONDS;
        return latency * loads.slowdown(candidate.id(), now) * (1 + utilization) + networkDelay;
    }

    /** Returns the latency that is assumed for endpoints that have not answered, in milliseconds. */
    static double defaultLatency(List<EndpointAnnouncement> candidates, EndpointLoads loads) {
        double[] known = candidates.stream()
                .mapToDouble(candidate -> loads.latency(candidate.id()))
                .filter(latency -> latency > 0)
                .sorted()
                .toArray();
        return known.length == 0 ? DEFAULT_LATENCY_MILLISECONDS : known[known.length / 2];
    }
}
