package io.rosemarybeam.decision.batch;

import java.util.Map;
import java.util.Set;

import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.ModelName;

/**
 * State of an endpoint that generates, as the store leader sees it. Immutable.
 *
 * @param id the endpoint
 * @param softwareVersion version of its program
 * @param capacity maximum number of concurrent requests
 * @param running requests of this leader that the endpoint is running
 * @param versions loaded weight version of each model
 * @param loadingModels models whose next version is being loaded; no item of these models is started meanwhile. An endpoint
 *     accepts one load order at a time
 * @param avoided whether a recent request to it failed, so that it gets no new ones for now
 * @param withinRateLimit whether its rate limit, if it has one, allows a request now
 * @param eventIntervalMilliseconds moving average of the time between two events of a stream; 0 if not measured yet
 */
public record GenerationEndpoint(
        EndpointId id,
        String softwareVersion,
        int capacity,
        int running,
        Map<ModelName, Long> versions,
        Set<ModelName> loadingModels,
        boolean avoided,
        boolean withinRateLimit,
        double eventIntervalMilliseconds) {
    public GenerationEndpoint {
        versions = Map.copyOf(versions);
        loadingModels = Set.copyOf(loadingModels);
    }

    /**
     * Returns the loaded weight version of a model.
     *
     * @param model the model
     * @return the version; -1 if the model is not loaded
     */
    public long version(ModelName model) {
        return versions.getOrDefault(model, -1L);
    }

    /**
     * Returns whether an item of a model can start now.
     *
     * @param model the model
     * @param oldestVersion oldest weight version that may generate the item
     * @return true if a slot is free, the endpoint is not avoided, its rate limit has room, and the model is loaded in a
     *     sufficient version
     */
    public boolean canStart(ModelName model, long oldestVersion) {
        return hasRoom() && version(model) >= oldestVersion && !loadingModels.contains(model);
    }

    /** Returns whether a slot is free, the endpoint is not avoided and its rate limit has room. */
    public boolean hasRoom() {
        return !avoided && withinRateLimit && running < capacity;
    }
}
