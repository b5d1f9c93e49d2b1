package io.rosemarybeam.decision.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.rosemarybeam.common.configuration.OperatorConfiguration;
import io.rosemarybeam.common.id.AttemptId;
import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.HostName;
import io.rosemarybeam.common.id.RequestId;
import io.rosemarybeam.common.id.ServiceName;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** The tables shared by all systems, and the commands of the current input. Confined to the thread of the core. */
final class Tables {
    /** Maximum number of entries that send requests to one endpoint. */
    private static final int MAXIMUM_ENTRIES_PER_ENDPOINT = 24;

    final RequestCoreSettings settings;
    final UniformRandomProvider random;
    final Timers timers = new Timers();
    final ClaimTable claims = new ClaimTable();
    final Counters counters = new Counters();
    final Set<HostName> entryHosts = new HashSet<>();
    final Map<ServiceName, ServiceRow> services = new LinkedHashMap<>();
    final Map<EndpointId, EndpointRow> endpoints = new HashMap<>();

    /** Removed endpoints with open attempts; an endpoint whose lease lapsed may be added again. */
    final Map<EndpointId, EndpointRow> departed = new HashMap<>();

    final Map<RequestId, RequestRow> requests = new HashMap<>();
    final Map<AttemptId, AttemptRow> attempts = new HashMap<>();

    /** Services whose queue is dispatched before the current input ends. */
    final List<ServiceRow> dispatchRequests = new ArrayList<>();

    OperatorConfiguration configuration;
    long leaseValidUntil = Long.MIN_VALUE;
    boolean draining;
    long now;
    long nextRequestSequence;

    private List<RequestCommand> commands = new ArrayList<>();

    Tables(RequestCoreSettings settings) {
        this.settings = settings;
        this.random = RandomSource.XO_SHI_RO_256_PP.create(settings.seed());
    }

    boolean uses(RequestPolicy policy) {
        return settings.uses(policy);
    }

    boolean holdsLease() {
        return now < leaseValidUntil;
    }

    ServiceRow service(ServiceName name) {
        return services.computeIfAbsent(name, ServiceRow::new);
    }

    /**
     * Returns the fraction of the external load that this entry counts, since all entries react to the same reports.
     */
    double externalLoadWeight() {
        return 1.0 / Math.clamp(entryHosts.size(), 1, MAXIMUM_ENTRIES_PER_ENDPOINT);
    }

    void emit(RequestCommand command) {
        commands.add(command);
    }

    List<RequestCommand> takeCommands() {
        List<RequestCommand> taken = commands;
        commands = new ArrayList<>();
        return taken;
    }

    /** Requests that the queue of a service is dispatched before the current input ends. */
    void requestDispatch(ServiceRow service) {
        if (!service.dispatchRequested) {
            service.dispatchRequested = true;
            dispatchRequests.add(service);
        }
    }

    /** Updates the totals of the service and its lists of endpoints with free slots after a change of an endpoint. */
    void updateAvailability(EndpointRow endpoint) {
        ServiceRow service = endpoint.service;
        boolean eligible = endpoint.isEligible();
        if (eligible != endpoint.countedEligible) {
            service.servingEndpoints += eligible ? 1 : -1;
            endpoint.countedEligible = eligible;
        }
        if (!eligible && service.ejected.remove(endpoint)) {
            // The cause of the ineligibility, such as a restart or a weight swap, may also have repaired the endpoint.
            endpoint.health.startRecovery();
        }
        int slots = endpoint.mayServe() ? endpoint.slots() : 0;
        service.servingSlots += slots - endpoint.countedSlots;
        endpoint.countedSlots = slots;
        if (endpoint.open.size() < slots) {
            service.available.add(endpoint);
            requestDispatch(service);
        } else {
            service.available.remove(endpoint);
        }
        if (endpoint.open.size() < slots - service.reservedSlots(slots, this)) {
            service.availableForTraining.add(endpoint);
        } else {
            service.availableForTraining.remove(endpoint);
        }
    }
}
