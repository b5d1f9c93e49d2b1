package io.rosemarybeam.decision.batch;

import java.util.Map;
import java.util.Set;

import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.ModelName;

/**
 * What the store leader knows of an endpoint that generates. Immutable.
 *
 * @param id the endpoint
 * @param capacity requests that it runs at once
 * @param running runs of this leader at the endpoint
 * @param versions weight versions of its models
 * @param loadingModels models that it loads a version of now, and starts nothing for; it takes one order at a time
 * @param avoided whether it failed lately
 * @param eventIntervalMilliseconds usual time between two events, in milliseconds; 0 if not known
 */
public record GenerationEndpoint(
        EndpointId id,
        int capacity,
        int running,
        Map<ModelName, Long> versions,
        Set<ModelName> loadingModels,
        boolean avoided,
        double eventIntervalMilliseconds) {
    /** Copies the collections. */
    public GenerationEndpoint {
        versions = Map.copyOf(versions);
        loadingModels = Set.copyOf(loadingModels);
    }

    /**
     * Returns the weight version of a model.
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
     * @param oldestVersion oldest version that may generate
     * @return true if a slot is free and the weights are fresh enough
     */
    public boolean canStart(ModelName model, long oldestVersion) {
        boolean isFresh = version(model) >= oldestVersion && !loadingModels.contains(model);
        return isFresh && !avoided && running < capacity;
    }
}
