package io.rosemarybeam.decision.request;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.wire.EndpointRecord;
import io.rosemarybeam.common.wire.MembershipDelta;

/**
 * Maintains the table of endpoints and applies their reports.
 *
 * <p>Invariant: a leaving or removed endpoint gets no new work; its open attempts continue until their connections end.
 * Confined to the thread of the core.
 */
final class MembershipSystem {
    private final Tables tables;
    private final EjectionSystem ejection;

    MembershipSystem(Tables tables, EjectionSystem ejection) {
        this.tables = tables;
        this.ejection = ejection;
    }

    void apply(MembershipDelta delta) {
        if (delta.isFull()) {
            Set<EndpointId> listed = new HashSet<>();
            delta.endpoints().forEach(endpoint -> listed.add(endpoint.id()));
            List<EndpointId> unlisted = new ArrayList<>(tables.endpoints.keySet());
            unlisted.removeIf(listed::contains);
            unlisted.forEach(this::remove);
            tables.entryHosts.clear();
        }
        tables.entryHosts.removeAll(Set.copyOf(delta.removedEntryHosts()));
        delta.entryHosts().forEach(host -> tables.entryHosts.add(host.name()));
        delta.removedEndpoints().forEach(this::remove);
        delta.endpoints().forEach(this::put);
        tables.services.values().forEach(ejection::limitEjections);
    }

    void changeAvailability(RequestInput.EndpointAvailability input) {
        EndpointRow endpoint = tables.endpoints.get(input.endpoint());
        if (endpoint != null) {
            endpoint.inService = input.inService();
            tables.updateAvailability(endpoint);
            ejection.limitEjections(endpoint.service);
        }
    }

    void applyLoadReport(RequestInput.LoadReported report) {
        EndpointRow endpoint = tables.endpoints.get(report.endpoint());
        if (endpoint != null && endpoint.record.incarnation() == report.incarnation()) {
            endpoint.load.apply(endpoint, report);
            tables.requestDispatch(endpoint.service);
        }
    }

    void applyCacheReport(RequestInput.CacheReported report) {
        EndpointRow endpoint = tables.endpoints.get(report.endpoint());
        if (endpoint != null && endpoint.record.incarnation() == report.incarnation()) {
            endpoint.cache.apply(report);
        }
    }

    private void put(EndpointRecord endpointRecord) {
        EndpointRow endpoint = tables.endpoints.get(endpointRecord.id());
        if (endpoint != null && endpointRecord.incarnation() < endpoint.record.incarnation()) {
            return;
        }
        if (endpoint == null
                || !endpoint.service.name.equals(endpointRecord.service())
                || endpoint.record.incarnation() != endpointRecord.incarnation()) {
            remove(endpointRecord.id());
            endpoint = departedOrNewRow(endpointRecord);
            endpoint.member = true;
            endpoint.drainingByConfiguration = tables.configuration != null
                    && tables.configuration.drainingEndpoints().contains(endpoint.id);
            tables.endpoints.put(endpoint.id, endpoint);
            endpoint.service.endpoints.add(endpoint);
        }
        endpoint.record = endpointRecord;
        tables.updateAvailability(endpoint);
    }

    /** Returns the row of an endpoint that was removed while it had open attempts, or a new row. */
    private EndpointRow departedOrNewRow(EndpointRecord endpointRecord) {
        EndpointRow departed = tables.departed.remove(endpointRecord.id());
        tables.departed.values().removeIf(endpoint -> endpoint.open.isEmpty());
        if (departed != null
                && departed.record.incarnation() == endpointRecord.incarnation()
                && departed.service.name.equals(endpointRecord.service())) {
            return departed;
        }
        return new EndpointRow(endpointRecord, tables.service(endpointRecord.service()));
    }

    private void remove(EndpointId id) {
        EndpointRow endpoint = tables.endpoints.remove(id);
        if (endpoint != null) {
            endpoint.member = false;
            if (!endpoint.open.isEmpty()) {
                tables.departed.put(id, endpoint);
            }
            endpoint.cache.clear();
            endpoint.service.endpoints.remove(endpoint);
            tables.updateAvailability(endpoint);
        }
    }
}
