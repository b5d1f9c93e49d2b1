package io.rosemarybeam.decision.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;

import io.rosemarybeam.common.configuration.OperatorConfiguration;
import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.FencingNumber;
import io.rosemarybeam.common.id.HostName;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.wire.EndpointRecord;
import io.rosemarybeam.common.wire.MembershipDelta;

/** Tables that the systems of the rollout core share. Confined to the thread of the core. */
final class RolloutTables {
    /** A row of the endpoint table. */
    static final class EndpointEntity {
        EndpointRecord record;
        SwapEntity swap;
        int swapFailures;
        long notBeforeMilliseconds;
        boolean outOfService;
        long inServiceNotBeforeMilliseconds;
        RoleEntity role = new RoleEntity();

        EndpointEntity(EndpointRecord record) {
            this.record = record;
        }

        boolean hasCompleteWeights() {
            return record.weightVersion().isPresent();
        }

        long version() {
            return record.weightVersion().map(version -> version.value()).orElse(-1L);
        }
    }

    /** An order to load a weight version that the endpoint does not report yet. */
    static final class SwapEntity {
        final long orderId;
        final long version;
        final long deadlineMilliseconds;

        SwapEntity(long orderId, long version, long deadlineMilliseconds) {
            this.orderId = orderId;
            this.version = version;
            this.deadlineMilliseconds = deadlineMilliseconds;
        }
    }

    /** The role that an endpoint confirmed, and the latest order to take one. */
    static final class RoleEntity {
        String confirmed = "";
        String ordered = "";
        long orderId;
        long deadlineMilliseconds;
        long notBeforeMilliseconds;
        int failures;
    }

    /** A row of the service table. */
    static final class ServiceEntity {
        long publishedVersion = -1;
        FencingNumber fencingNumber;
        long validUntilMilliseconds = Long.MIN_VALUE;
        long requestedAtMilliseconds = Long.MIN_VALUE;
        boolean requestPending;
        long neededSinceMilliseconds = -1;
        final FetchRateLimiter fetchRateLimiter = new FetchRateLimiter();

        boolean isIssuer(long now) {
            return fencingNumber != null && now < validUntilMilliseconds;
        }
    }

    final RolloutCoreSettings settings;
    final TreeMap<EndpointId, EndpointEntity> endpoints = new TreeMap<>();
    final TreeMap<ServiceName, ServiceEntity> services = new TreeMap<>();
    final TreeSet<HostName> entryHosts = new TreeSet<>();
    Optional<OperatorConfiguration> configuration = Optional.empty();
    boolean draining;
    private long lastOrderId;

    RolloutTables(RolloutCoreSettings settings) {
        this.settings = settings;
    }

    long nextOrderId() {
        lastOrderId++;
        return lastOrderId;
    }

    ServiceEntity service(ServiceName name) {
        return services.computeIfAbsent(name, unused -> new ServiceEntity());
    }

    /** Returns the endpoints of each service that are neither leaving nor draining, in the order of their ids. */
    Map<ServiceName, List<EndpointEntity>> eligibleEndpoints() {
        Map<ServiceName, List<EndpointEntity>> eligible = new TreeMap<>();
        for (EndpointEntity endpoint : endpoints.values()) {
            boolean draining = configuration
                    .map(current -> current.drainingEndpoints().contains(endpoint.record.id()))
                    .orElse(false);
            if (!draining && !endpoint.record.leaving()) {
                eligible.computeIfAbsent(endpoint.record.service(), unused -> new ArrayList<>())
                        .add(endpoint);
            }
        }
        return eligible;
    }

    void apply(MembershipDelta delta) {
        if (delta.isFull()) {
            entryHosts.clear();
            TreeSet<EndpointId> present = new TreeSet<>();
            delta.endpoints().forEach(record -> present.add(record.id()));
            endpoints.keySet().retainAll(present);
        }
        for (EndpointRecord record : delta.endpoints()) {
            EndpointEntity known = endpoints.get(record.id());
            if (known != null && record.incarnation() < known.record.incarnation()) {
                continue;
            }
            if (known == null || record.incarnation() > known.record.incarnation()) {
                EndpointEntity restarted = new EndpointEntity(record);
                restarted.outOfService = known != null && known.outOfService;
                endpoints.put(record.id(), restarted);
            } else {
                known.record = record;
            }
        }
        delta.removedEndpoints().forEach(endpoints::remove);
        delta.entryHosts().forEach(host -> entryHosts.add(host.name()));
        delta.removedEntryHosts().forEach(entryHosts::remove);
    }

    Map<String, Object> dump() {
        Map<String, Object> dumpedServices = new TreeMap<>();
        services.forEach((name, service) -> {
            Map<String, Object> row = new LinkedHashMap<>();
            row.put("publishedVersion", service.publishedVersion);
            row.put("fencingNumber", service.fencingNumber == null ? -1 : service.fencingNumber.value());
            row.put("validUntilMilliseconds", service.validUntilMilliseconds);
            dumpedServices.put(name.toString(), row);
        });
        Map<String, Object> dumpedEndpoints = new TreeMap<>();
        endpoints.forEach((id, endpoint) -> {
            Map<String, Object> row = new HashMap<>();
            row.put("reportedVersion", endpoint.version());
            row.put("orderedVersion", endpoint.swap == null ? -1 : endpoint.swap.version);
            row.put("failures", endpoint.swapFailures);
            row.put("outOfService", endpoint.outOfService);
            row.put("role", endpoint.role.confirmed);
            dumpedEndpoints.put(id.toString(), new TreeMap<>(row));
        });
        Map<String, Object> dump = new LinkedHashMap<>();
        dump.put("services", dumpedServices);
        dump.put("endpoints", dumpedEndpoints);
        dump.put("draining", draining);
        return dump;
    }
}
