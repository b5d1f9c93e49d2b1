package io.rosemarybeam.decision.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.Predicate;

import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.wire.EndpointRateLimit;

/**
 * The rate limits that endpoints name in their answers, as known to one host.
 *
 * <p>Load pattern: an endpoint in need names a limit for all hosts together, changes it and withdraws it, while every host
 * sees only some of its answers. A limit survives a restart of the endpoint until an answer without it arrives, because a
 * host that forgets it too early exceeds it.
 *
 * <p>Invariant: tables that merged the same limits in any order agree. Confined to one thread.
 */
public final class RateLimitTable {
    private final Map<EndpointId, EndpointRateLimit> limits = new HashMap<>();

    /**
     * Records what an answer of an endpoint shows.
     *
     * @param endpoint the endpoint
     * @param requestsPerSecond the limit that the answer names; empty if it names none
     * @return the changed limit, or empty if it was known
     */
    public Optional<EndpointRateLimit> observe(EndpointId endpoint, OptionalDouble requestsPerSecond) {
        double observed = requestsPerSecond.orElse(EndpointRateLimit.UNLIMITED);
        EndpointRateLimit known = find(endpoint);
        if (observed == known.requestsPerSecond()) {
            return Optional.empty();
        }
        EndpointRateLimit changed = new EndpointRateLimit(endpoint, known.revision() + 1, observed);
        limits.put(endpoint, changed);
        return Optional.of(changed);
    }

    /**
     * Merges a limit that another host knows.
     *
     * @param limit the limit
     * @return whether it changed the table
     */
    public boolean merge(EndpointRateLimit limit) {
        boolean isNewer = limit.replaces(find(limit.endpoint()));
        if (isNewer) {
            limits.put(limit.endpoint(), limit);
        }
        return isNewer;
    }

    /**
     * Returns the limit of an endpoint.
     *
     * @param endpoint the endpoint
     * @return its limit; unlimited with revision 0 if none was ever known
     */
    public EndpointRateLimit find(EndpointId endpoint) {
        EndpointRateLimit known = limits.get(endpoint);
        return known == null ? new EndpointRateLimit(endpoint, 0, EndpointRateLimit.UNLIMITED) : known;
    }

    /**
     * Returns all limits, for a host that does not know them yet.
     *
     * @return the limits, withdrawn ones included
     */
    public List<EndpointRateLimit> all() {
        return List.copyOf(limits.values());
    }

    /**
     * Removes the limits of endpoints that are no longer known.
     *
     * @param isKnown whether an endpoint is still known
     */
    public void retain(Predicate<EndpointId> isKnown) {
        limits.keySet().removeIf(endpoint -> !isKnown.test(endpoint));
    }
}
