package io.rosemarybeam.forward;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.function.Consumer;
import java.util.function.Predicate;

import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;
import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.wire.EndpointRateLimit;
import io.rosemarybeam.decision.routing.PermitDecision;
import io.rosemarybeam.decision.routing.PermitRequest;
import io.rosemarybeam.decision.routing.RateLimitTable;
import io.rosemarybeam.platform.EndpointAnswer;

/**
 * The rate limits of endpoints that this process knows, and the permits for requests to them.
 *
 * <p>Invariant: what this process observes itself is published at once, so that hosts that got no such answer keep to the limit
 * too. Confined to one event loop.
 */
public final class RateLimits {
    private static final EventLog LOG = EventLog.of(RateLimits.class);

    private final RateLimitTable table = new RateLimitTable();
    private final Consumer<List<EndpointRateLimit>> publisher;
    private final PermitSource permits;

    /** Time before which no permit for an endpoint is expected, in milliseconds. */
    private final Map<EndpointId, Long> deniedUntil = new HashMap<>();

    /**
     * Creates an instance without limits.
     *
     * @param publisher sends what this process has observed to other processes
     * @param permits grants the permits for all hosts
     */
    public RateLimits(Consumer<List<EndpointRateLimit>> publisher, PermitSource permits) {
        this.publisher = publisher;
        this.permits = permits;
    }

    /**
     * Records the limit that an answer of the endpoint names. Only a success without a limit withdraws a known one, because
     * other answers may come from something else than the request handler of the endpoint.
     *
     * @param endpoint the endpoint
     * @param answer its answer
     */
    public void observe(EndpointId endpoint, EndpointAnswer answer) {
        if (answer.isMisdirected()) {
            return;
        }
        OptionalDouble named = answer.rateLimit();
        boolean withdraws = named.isEmpty() && isLimited(endpoint) && answer.isSuccess();
        if (named.isEmpty() && !withdraws) {
            return;
        }
        EndpointRateLimit former = table.find(endpoint);
        table.observe(endpoint, named, Forwarder.now()).ifPresent(changed -> {
            log(changed, former, "answer");
            publisher.accept(List.of(changed));
        });
    }

    /**
     * Merges limits that another process knows.
     *
     * @param limits the limits
     * @return those that were new
     */
    public List<EndpointRateLimit> merge(List<EndpointRateLimit> limits) {
        return limits.stream().filter(this::merge).toList();
    }

    private boolean merge(EndpointRateLimit limit) {
        EndpointRateLimit former = table.find(limit.endpoint());
        boolean isNew = table.merge(limit, Forwarder.now());
        if (isNew) {
            log(limit, former, "other host");
        }
        return isNew;
    }

    private static void log(EndpointRateLimit changed, EndpointRateLimit former, String source) {
        LOG.log(
                Event.RATE_LIMIT_CHANGED,
                "endpoint",
                changed.endpoint(),
                "perSecond",
                changed.requestsPerSecond(),
                "former",
                former.requestsPerSecond(),
                "revision",
                changed.revision(),
                "source",
                source);
    }

    /**
     * Returns the limit of an endpoint.
     *
     * @param endpoint the endpoint
     * @return its limit; unlimited if none is known
     */
    public EndpointRateLimit find(EndpointId endpoint) {
        return table.find(endpoint);
    }

    /**
     * Returns whether requests to an endpoint need a permit.
     *
     * @param endpoint the endpoint
     * @return true if it names a limit
     */
    public boolean isLimited(EndpointId endpoint) {
        return table.find(endpoint).isLimited();
    }

    /** Returns whether a permit for an endpoint was denied recently, so that no other one is expected yet. */
    boolean isExhausted(EndpointId endpoint, long now) {
        return deniedUntil.getOrDefault(endpoint, Long.MIN_VALUE) > now;
    }

    /** Requests a permit for one of several endpoints with a limit. */
    void acquire(PermitRequest request, Consumer<PermitDecision> onDecision) {
        permits.acquire(request, decision -> {
            if (decision instanceof PermitDecision.Denied denied) {
                long until = Forwarder.now() + denied.waitMilliseconds();
                request.candidates().forEach(endpoint -> deniedUntil.put(endpoint, until));
            }
            onDecision.accept(decision);
        });
    }

    /**
     * Returns all known limits, for a process that connects.
     *
     * @return the limits, withdrawn ones included
     */
    public List<EndpointRateLimit> all() {
        return table.all();
    }

    /**
     * Returns the number of endpoints that name a limit.
     *
     * @return the number of endpoints
     */
    public int limitedEndpoints() {
        return (int) table.all().stream().filter(EndpointRateLimit::isLimited).count();
    }

    /**
     * Removes what is known of departed endpoints; to be called periodically.
     *
     * @param isKnown whether an endpoint is still known
     */
    public void retain(Predicate<EndpointId> isKnown) {
        table.retain(isKnown, Forwarder.now());
        deniedUntil.keySet().removeIf(endpoint -> !isKnown.test(endpoint));
    }
}
