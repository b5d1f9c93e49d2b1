package io.rosemarybeam.decision.routing;

import java.util.List;
import java.util.Objects;

import io.rosemarybeam.common.id.ModelName;
import io.rosemarybeam.common.id.ServiceName;

/**
 * A service that routes may name. Immutable and safe for use by several threads.
 *
 * @param name its name
 * @param maximumConnections connections that one endpoint accepts from all hosts together
 * @param models the models that its endpoints generate with; empty for plain services
 */
public record ServiceDefinition(ServiceName name, int maximumConnections, List<ModelName> models) {
    /** Copies the list. */
    public ServiceDefinition {
        Objects.requireNonNull(name, "name");
        models = List.copyOf(models);
    }
}
