package io.rosemarybeam.entry;

import java.util.HashSet;
import java.util.Set;

import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.decision.request.RequestInput;

/**
 * Combines the reasons for which an endpoint receives no requests during a weight swap.
 *
 * <p>Invariant: an endpoint is in service only if it has loaded a complete weight version and the rollout core has not
 * withdrawn it. Confined to the decision thread.
 */
final class Availability {
    private final RequestDriver requests;
    private final Set<EndpointId> swapping = new HashSet<>();
    private final Set<EndpointId> withdrawn = new HashSet<>();

    Availability(RequestDriver requests) {
        this.requests = requests;
    }

    /**
     * Applies a decision of the rollout core.
     *
     * @param endpoint the endpoint
     * @param inService whether it may receive requests
     */
    void set(EndpointId endpoint, boolean inService) {
        change(withdrawn, endpoint, !inService);
    }

    /**
     * Applies what a model endpoint reports.
     *
     * @param endpoint the endpoint
     * @param complete whether it has loaded a complete weight version
     */
    void reportComplete(EndpointId endpoint, boolean complete) {
        change(swapping, endpoint, !complete);
    }

    void remove(EndpointId endpoint) {
        swapping.remove(endpoint);
        withdrawn.remove(endpoint);
    }

    private void change(Set<EndpointId> reason, EndpointId endpoint, boolean holds) {
        boolean before = inService(endpoint);
        if (holds) {
            reason.add(endpoint);
        } else {
            reason.remove(endpoint);
        }
        boolean after = inService(endpoint);
        if (before != after) {
            requests.feed(new RequestInput.EndpointAvailability(endpoint, after));
        }
    }

    private boolean inService(EndpointId endpoint) {
        return !swapping.contains(endpoint) && !withdrawn.contains(endpoint);
    }
}
