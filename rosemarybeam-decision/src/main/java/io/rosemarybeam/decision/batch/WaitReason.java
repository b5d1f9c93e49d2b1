package io.rosemarybeam.decision.batch;

import java.util.Collection;
import java.util.List;

import io.rosemarybeam.decision.batch.ItemPlacement.Requirements;

/** The reason why an item waits, as the log names it. Immutable and safe for use by several threads. */
public enum WaitReason {
    /** The configuration has no route for the submission. */
    NO_ROUTE,
    /** Its last run failed or could not start, and the next one is not due yet. */
    DELAYED,
    /** No endpoint of the service is ready. */
    NO_ENDPOINT,
    /** No endpoint runs the software version of its text. */
    SOFTWARE_VERSION,
    /** No endpoint has loaded a sufficient version of the weights. */
    WEIGHTS,
    /** The endpoints that may run it are loading its model. */
    LOADING,
    /** The endpoints that may run it did not answer recently. */
    AVOIDED,
    /** The rate limits of the endpoints that may run it allow no request now. */
    RATE_LIMIT,
    /** All slots of the endpoints that may run it are taken. */
    NO_SLOT;

    /**
     * Returns why no endpoint can start an item.
     *
     * @param requirements requirements of the item
     * @param endpoints all ready endpoints of the service
     * @return the first condition that excludes every endpoint that the conditions before it allow
     */
    public static WaitReason of(Requirements requirements, Collection<GenerationEndpoint> endpoints) {
        if (endpoints.isEmpty()) {
            return NO_ENDPOINT;
        }
        List<GenerationEndpoint> remaining =
                endpoints.stream().filter(requirements::allowsSoftwareOf).toList();
        if (remaining.isEmpty()) {
            return SOFTWARE_VERSION;
        }
        remaining = remaining.stream().filter(requirements::allowsWeightsOf).toList();
        if (remaining.isEmpty()) {
            return WEIGHTS;
        }
        remaining = remaining.stream()
                .filter(endpoint -> !endpoint.loadingModels().contains(requirements.model()))
                .toList();
        if (remaining.isEmpty()) {
            return LOADING;
        }
        remaining = remaining.stream().filter(endpoint -> !endpoint.avoided()).toList();
        if (remaining.isEmpty()) {
            return AVOIDED;
        }
        return remaining.stream().anyMatch(GenerationEndpoint::withinRateLimit) ? NO_SLOT : RATE_LIMIT;
    }
}
