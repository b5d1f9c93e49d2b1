package io.rosemarybeam.decision.batch;

import java.util.Map;

import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.ModelName;

/**
 * What the store leader knows of an endpoint that generates. Immutable.
 *
 * @param id the endpoint
 * @param capacity requests that it runs at once
 * @param running runs of this leader at the endpoint
 * @param versions weight versions of its models
 * @param loading whether it loads a version now and starts nothing
 * @param avoided whether it failed lately
 * @param pace usual time between two events, in milliseconds; 0 if not known
 */
public record GenerationEndpoint(
        EndpointId id,
        int capacity,
        int running,
        Map<ModelName, Long> versions,
        boolean loading,
        boolean avoided,
        double pace) {
    /** Copies the map. */
    public GenerationEndpoint {
        versions = Map.copyOf(versions);
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
}
