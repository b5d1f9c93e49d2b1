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
    private final Map<EndpointId, Entry> limits = new HashMap<>();

    /** A limit and the monotonic time at which it was learned, in milliseconds. Immutable. */
    private record Entry(EndpointRateLimit limit, long learnedAt) {}

    /**
     * Records what an answer of an endpoint shows.
     *
     * @param endpoint the endpoint
     * @param requestsPerSecond the limit that the answer names; empty if it names none
     * @param now monotonic time, in milliseconds
     * @return the changed limit, or empty if it was known
     */
    public Optional<EndpointRateLimit> observe(EndpointId endpoint, OptionalDouble requestsPerSecond, long now) {
        double observed = requestsPerSecond.orElse(EndpointRateLimit.UNLIMITED);
        EndpointRateLimit known = find(endpoint);
        if (observed == known.requestsPerSecond()) {
            return Optional.empty();
        }
        EndpointRateLimit changed = new EndpointRateLimit(endpoint, known.revision() + 1, observed);
        limits.put(endpoint, new Entry(changed, now));
        return Optional.of(changed);
    }

    /**
     * Merges a limit that another host knows.
     *
     * @param limit the limit
     * @param now monotonic time, in milliseconds
     * @return whether it changed the table
     */
    public boolean merge(EndpointRateLimit limit, long now) {
        boolean isNewer = limit.replaces(find(limit.endpoint()));
        if (isNewer) {
            limits.put(limit.endpoint(), new Entry(limit, now));
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
        Entry known = limits.get(endpoint);
        return known == null ? new EndpointRateLimit(endpoint, 0, EndpointRateLimit.UNLIMITED) : known.limit;
    }

    /**
     * Returns all limits, for a host that does not know them yet.
     *
     * @return the limits, withdrawn ones included
     */
    public List<EndpointRateLimit> all() {
        return limits.values().stream().map(entry -> entry.limit).toList();
    }

    /**
     * Removes the limits of endpoints that are no longer known. A limit that was learned lately is retained: a host that has
     * just started may hear of it before it hears of the endpoint.
     *
     * @param isKnown whether an endpoint is still known
     * @param now monotonic time, in milliseconds
     */
    public void retain(Predicate<EndpointId> isKnown, long now) {
        limits.entrySet()
                .removeIf(entry -> !isKnown.test(entry.getKey())
                        && now - entry.getValue().learnedAt > EndpointDirectory.RETENTION_MILLISECONDS);
    }
}
