package io.rosemarybeam.decision.routing;

import java.util.List;

import io.rosemarybeam.common.id.EndpointId;

/**
 * Asks for a permit to send a request to one of several endpoints with a rate limit. Immutable.
 *
 * @param request id of the request, for the log
 * @param candidates the endpoints that may run it, the preferred one first; not empty
 * @param priority priority of its route; 0 is the most urgent
 * @param maximumWaitMilliseconds how long the request can wait and still be answered in time; 0 if it cannot wait
 */
public record PermitRequest(String request, List<EndpointId> candidates, int priority, long maximumWaitMilliseconds) {
    public PermitRequest {
        candidates = List.copyOf(candidates);
        if (candidates.isEmpty()) {
            throw new IllegalArgumentException("no candidates");
        }
    }
}
