package io.rosemarybeam.decision.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.FailureDomain;
import io.rosemarybeam.common.wire.EndpointAnnouncement;

/**
 * Chooses the endpoint of an attempt.
 *
 * <p>Load pattern: uneven load and one endpoint several times slower than its peers. The expected time is the latency of
 * the endpoint, longer the fuller it is, plus the way to its failure domain. Endpoints that this request has tried are
 * used again only if there is no other. Stateless and safe for use by several threads.
 */
public final class EndpointSelection {
    /** Latency assumed of an endpoint without answers, in milliseconds, so that new endpoints are tried early. */
    private static final double DEFAULT_LATENCY_MILLISECONDS = 1;

    /** Way to another failure domain and back, in milliseconds; the users' domains are 3.5 to 5.4 apart one way. */
    private static final double CROSS_DOMAIN_ROUND_TRIP_MILLISECONDS = 10;

    private EndpointSelection() {}

    /**
     * Chooses an endpoint.
     *
     * @param candidates ready endpoints of the service
     * @param tried endpoints that this request was sent to
     * @param loads what is known of their load
     * @param ownDomain where this process runs
     * @param now steady time, in milliseconds
     * @return the endpoint with the shortest expected time; empty if there is no candidate
     */
    public static Optional<EndpointAnnouncement> choose(
            List<EndpointAnnouncement> candidates,
            Set<EndpointId> tried,
            EndpointLoads loads,
            FailureDomain ownDomain,
            long now) {
        double fallback = medianLatency(candidates, loads);
        return candidates.stream()
                .min(Comparator.<EndpointAnnouncement>comparingInt(candidate -> rank(candidate, tried, loads, now))
                        .thenComparingDouble(candidate -> expectedLatency(candidate, loads, ownDomain, fallback, now))
                        .thenComparing(EndpointAnnouncement::id));
    }

    private static int rank(EndpointAnnouncement candidate, Set<EndpointId> tried, EndpointLoads loads, long now) {
        int avoided = loads.isAvoided(candidate.id(), now) ? 1 : 0;
        int repeated = tried.contains(candidate.id()) ? 2 : 0;
        return avoided + repeated;
    }

    private static double expectedLatency(
            EndpointAnnouncement candidate, EndpointLoads loads, FailureDomain ownDomain, double fallback, long now) {
        double measured = loads.latency(candidate.id());
        double latency = measured > 0 ? measured : fallback;
        double fill = loads.estimatedRequests(candidate.id(), now) / (double) Math.max(1, candidate.capacity());
        double way = candidate.failureDomain().equals(ownDomain) ? 0 : CROSS_DOMAIN_ROUND_TRIP_MILLISECONDS;
        return latency * (1 + fill) + way;
    }

    private static double medianLatency(List<EndpointAnnouncement> candidates, EndpointLoads loads) {
        double[] known = candidates.stream()
                .mapToDouble(candidate -> loads.latency(candidate.id()))
                .filter(latency -> latency > 0)
                .sorted()
                .toArray();
        return known.length == 0 ? DEFAULT_LATENCY_MILLISECONDS : known[known.length / 2];
    }
}
