package io.rosemarybeam.decision.routing;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

import io.rosemarybeam.common.id.ModelName;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.decision.scaling.ScalingPolicy;

/**
 * A service to which routes may send requests. Immutable and safe for use by several threads.
 *
 * @param name the name of the service
 * @param maximumConnections maximum number of connections that one endpoint accepts from all hosts together
 * @param models the models that its endpoints serve; empty for services that do not generate
 * @param healthPath path at which its endpoints report their health and load
 * @param scaling how many replicas may be ordered; empty if none are
 */
public record ServiceDefinition(
        ServiceName name,
        int maximumConnections,
        List<ModelName> models,
        String healthPath,
        Optional<ScalingPolicy> scaling) {
    /** Health path of services that state none. */
    public static final String STANDARD_HEALTH_PATH = "/healthz";

    public ServiceDefinition {
        Objects.requireNonNull(name, "name");
        models = List.copyOf(models);
    }

    /** Creates a service whose replicas are not ordered, with the first parameters of the record. */
    public ServiceDefinition(ServiceName name, int maximumConnections, List<ModelName> models) {
        this(name, maximumConnections, models, STANDARD_HEALTH_PATH, Optional.empty());
    }
}
