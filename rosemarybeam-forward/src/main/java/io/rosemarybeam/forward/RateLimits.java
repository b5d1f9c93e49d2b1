package io.rosemarybeam.forward;

import java.util.OptionalDouble;

import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;
import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.wire.EndpointRateLimit;
import io.rosemarybeam.decision.routing.RateLimitTable;
import io.rosemarybeam.platform.EndpointAnswer;

/** The rate limits of endpoints that this process knows. Confined to one event loop. */
public final class RateLimits {
    private static final EventLog LOG = EventLog.of(RateLimits.class);

    private final RateLimitTable table = new RateLimitTable();

    /**
     * Records the limit that an answer names. Only a success without a limit withdraws a known one, because other answers
     * may come from something else than the request handler of the endpoint.
     *
     * @param endpoint the endpoint
     * @param answer its answer
     */
    public void observe(EndpointId endpoint, EndpointAnswer answer) {
        OptionalDouble named = answer.rateLimit();
        boolean isKnown = named.isEmpty() && !table.find(endpoint).isLimited();
        if (isKnown || named.isEmpty() && !answer.isSuccess()) {
            return;
        }
        EndpointRateLimit former = table.find(endpoint);
        table.observe(endpoint, named).ifPresent(changed -> log(changed, former, "answer"));
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
}
