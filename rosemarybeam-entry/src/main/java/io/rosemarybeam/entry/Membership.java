package io.rosemarybeam.entry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.HostName;
import io.rosemarybeam.common.wire.EndpointRecord;
import io.rosemarybeam.common.wire.EntryHostRecord;
import io.rosemarybeam.common.wire.MembershipDelta;

/**
 * The endpoints and entry hosts as the control process describes them.
 *
 * <p>Invariant: a delta is applied only if the known version is not older than its base version. Confined to the
 * decision thread.
 */
final class Membership {
    private final Map<EndpointId, EndpointRecord> endpoints = new TreeMap<>();
    private final Map<HostName, EntryHostRecord> entryHosts = new TreeMap<>();
    private long version;

    /**
     * Applies a delta of the control process.
     *
     * @param delta the delta
     * @return false if it was ignored, because it is already applied or because its base version is newer than the
     *     known one; in the latter case the known version is reset to zero, which requests the full membership
     */
    boolean apply(MembershipDelta delta) {
        if (!delta.isFull() && delta.fromVersion() > version) {
            version = 0;
            return false;
        }
        if (!delta.isFull() && delta.toVersion() <= version) {
            return false;
        }
        if (delta.isFull()) {
            endpoints.clear();
            entryHosts.clear();
        }
        delta.endpoints().forEach(endpoint -> endpoints.put(endpoint.id(), endpoint));
        delta.removedEndpoints().forEach(endpoints::remove);
        delta.entryHosts().forEach(entry -> entryHosts.put(entry.name(), entry));
        delta.removedEntryHosts().forEach(entryHosts::remove);
        version = delta.toVersion();
        return true;
    }

    /**
     * Applies a record that an endpoint reported, ahead of the delta of the control process.
     *
     * @param endpoint the record
     * @return the change as a delta, for the cores
     */
    MembershipDelta applyReported(EndpointRecord endpoint) {
        endpoints.put(endpoint.id(), endpoint);
        return new MembershipDelta(
                Math.max(1, version), Math.max(1, version), List.of(endpoint), List.of(), List.of(), List.of());
    }

    Optional<EndpointRecord> endpoint(EndpointId id) {
        return Optional.ofNullable(endpoints.get(id));
    }

    Collection<EndpointRecord> endpoints() {
        return endpoints.values();
    }

    Optional<EntryHostRecord> entryHost(HostName name) {
        return Optional.ofNullable(entryHosts.get(name));
    }

    List<EntryHostRecord> entryHosts() {
        return new ArrayList<>(entryHosts.values());
    }

    long version() {
        return version;
    }
}
