package io.rosemarybeam.control.state;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

import io.rosemarybeam.common.error.ControlException;
import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.WeightVersion;
import io.rosemarybeam.common.wire.EndpointRecord;

/**
 * The announced endpoints.
 *
 * <p>Invariants: an older incarnation never replaces a newer one; an incarnation that is marked as leaving stays so,
 * also when it announces itself again. Confined to the thread of the state machine.
 */
public final class EndpointTable {
    /** Maximum number of announced endpoints. */
    public static final int MAXIMUM_ENDPOINTS = 4_000;

    private final TreeMap<EndpointId, EndpointRecord> endpoints = new TreeMap<>();
    private final MembershipVersions<EndpointId> versions = new MembershipVersions<>();

    /** Adds or updates an endpoint; returns whether the table changed. */
    boolean announce(EndpointRecord announced, long version) {
        EndpointRecord current = endpoints.get(announced.id());
        if (current != null && current.incarnation() > announced.incarnation()) {
            return false;
        }
        boolean staysLeaving = current != null && current.incarnation() == announced.incarnation() && current.leaving();
        EndpointRecord record = staysLeaving ? announced.asLeaving() : announced;
        if (record.equals(current)) {
            return false;
        }
        if (current == null && endpoints.size() >= MAXIMUM_ENDPOINTS) {
            throw new ControlException(
                    ErrorCode.TABLE_FULL, MAXIMUM_ENDPOINTS + " endpoints are announced, which is the maximum");
        }
        put(record, version);
        return true;
    }

    /** Marks an endpoint as leaving; returns whether the table changed. */
    boolean markLeaving(EndpointId id, long incarnation, long version) {
        Optional<EndpointRecord> current = find(id, incarnation).filter(endpoint -> !endpoint.leaving());
        current.ifPresent(endpoint -> put(endpoint.asLeaving(), version));
        return current.isPresent();
    }

    /** Records the weight version that an endpoint holds; returns whether the table changed. */
    boolean changeWeightVersion(EndpointId id, long incarnation, Optional<WeightVersion> held, long version) {
        Optional<EndpointRecord> current = find(id, incarnation)
                .filter(endpoint -> !endpoint.weightVersion().equals(held));
        current.ifPresent(endpoint -> put(endpoint.withWeightVersion(held), version));
        return current.isPresent();
    }

    /** Removes an endpoint if the incarnation is the current one; returns whether the table changed. */
    boolean remove(EndpointId id, long incarnation, long version) {
        Optional<EndpointRecord> current = find(id, incarnation);
        current.ifPresent(endpoint -> {
            endpoints.remove(id);
            versions.recordRemoval(id, version);
        });
        return current.isPresent();
    }

    private void put(EndpointRecord endpoint, long version) {
        endpoints.put(endpoint.id(), endpoint);
        versions.recordChange(endpoint.id(), version);
    }

    /**
     * Finds an incarnation of an endpoint.
     *
     * @param id the endpoint
     * @param incarnation its incarnation
     * @return its record, or empty if that incarnation is not announced
     */
    public Optional<EndpointRecord> find(EndpointId id, long incarnation) {
        return Optional.ofNullable(endpoints.get(id)).filter(endpoint -> endpoint.incarnation() == incarnation);
    }

    /**
     * Returns all announced endpoints.
     *
     * @return the records in order of their ids
     */
    public Collection<EndpointRecord> all() {
        return endpoints.values();
    }

    MembershipVersions<EndpointId> versions() {
        return versions;
    }

    SnapshotData snapshotData() {
        return new SnapshotData(List.copyOf(endpoints.values()));
    }

    void restore(SnapshotData data, long version) {
        endpoints.clear();
        data.endpoints.forEach(endpoint -> endpoints.put(endpoint.id(), endpoint));
        versions.restore(endpoints.keySet(), version);
    }

    /** The contents of the table in a snapshot. Immutable. */
    record SnapshotData(List<EndpointRecord> endpoints) {}
}
