package io.rosemarybeam.decision.routing;

import io.rosemarybeam.common.id.EndpointId;

/** The answer to a {@link PermitRequest}. Immutable. */
public sealed interface PermitDecision {
    /**
     * The request may be sent now.
     *
     * @param endpoint the endpoint to send it to
     */
    record Granted(EndpointId endpoint) implements PermitDecision {}

    /**
     * No endpoint has room within the time that the request can wait.
     *
     * @param waitMilliseconds the time that it would have to wait now
     * @param retryMilliseconds when a new request has a chance; requests that were denied together get different times
     */
    record Denied(long waitMilliseconds, long retryMilliseconds) implements PermitDecision {}
}
