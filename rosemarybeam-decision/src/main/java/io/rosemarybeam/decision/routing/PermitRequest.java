package io.rosemarybeam.decision.routing;

import java.util.List;
import java.util.Optional;

import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.WorkspaceName;

/**
 * Asks for a permit to send a request to one of several endpoints with a rate limit. Immutable.
 *
 * @param request id of the request, for the log
 * @param candidates the endpoints that may run it, the preferred one first; not empty
 * @param priority priority of its route; 0 is the most urgent
 * @param maximumWaitMilliseconds how long the request can wait and still be answered in time; 0 if it cannot wait
 * @param workspace workspace of the request; empty if there is none
 */
public record PermitRequest(
        String request,
        List<EndpointId> candidates,
        int priority,
        long maximumWaitMilliseconds,
        Optional<WorkspaceName> workspace) {
    public PermitRequest {
        candidates = List.copyOf(candidates);
        if (candidates.isEmpty()) {
            throw new IllegalArgumentException("no candidates");
        }
    }

    /** Creates a request without a workspace, with the first parameters of the record. */
    public PermitRequest(String request, List<EndpointId> candidates, int priority, long maximumWaitMilliseconds) {
        this(request, candidates, priority, maximumWaitMilliseconds, Optional.empty());
    }
}
