package io.rosemarybeam.common.configuration;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.rosemarybeam.common.id.ConfigurationNumber;
import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.FailureDomain;
import io.rosemarybeam.common.id.HostName;
import io.rosemarybeam.common.id.ServiceName;

/**
 * The operator's description of the deployment, validated by {@link ConfigurationParser}.
 *
 * <p>Invariant: dependencies refer to services of this configuration and have no cycle. Immutable and safe for use by
 * several threads.
 *
 * @param number number of the configuration
 * @param controlHosts the hosts that store the replicated state
 * @param drainingEntryHosts entry hosts that accept no new work
 * @param drainingEndpoints endpoints that receive no new work
 * @param endpointRoles role that an endpoint is ordered to take, by endpoint
 * @param services the services by name
 */
public record OperatorConfiguration(
        ConfigurationNumber number,
        List<ControlHost> controlHosts,
        Set<HostName> drainingEntryHosts,
        Set<EndpointId> drainingEndpoints,
        Map<EndpointId, String> endpointRoles,
        Map<ServiceName, ServiceConfiguration> services) {
    public OperatorConfiguration {
        controlHosts = List.copyOf(controlHosts);
        drainingEntryHosts = Set.copyOf(drainingEntryHosts);
        drainingEndpoints = Set.copyOf(drainingEndpoints);
        endpointRoles = Map.copyOf(endpointRoles);
        services = Map.copyOf(services);
    }

    public Optional<ServiceConfiguration> service(ServiceName name) {
        return Optional.ofNullable(services.get(name));
    }

    /**
     * A host that stores the replicated state.
     *
     * @param name its name
     * @param address IP address and port of the protocol between processes
     * @param failureDomain failure domain of the host
     */
    public record ControlHost(HostName name, String address, FailureDomain failureDomain) {}
}
