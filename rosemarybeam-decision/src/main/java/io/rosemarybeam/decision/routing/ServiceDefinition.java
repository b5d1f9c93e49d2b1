package io.rosemarybeam.decision.routing;

import java.util.List;
import java.util.Objects;

import io.rosemarybeam.common.id.ModelName;
import io.rosemarybeam.common.id.ServiceName;

/**
 * A service to which routes may send requests. Immutable and safe for use by several threads.
 *
 * @param name the name of the service
 * @param maximumConnections maximum number of connections that one endpoint accepts from all hosts together
 * @param models the models that its endpoints serve; empty for services that do not generate
 */
public record ServiceDefinition(ServiceName name, int maximumConnections, List<ModelName> models) {
    public ServiceDefinition {
        Objects.requireNonNull(name, "name");
        models = List.copyOf(models);
    }
}
