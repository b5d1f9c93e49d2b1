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
 * <p>Invariant: a change is applied only on top of the version that it builds on. Confined to the decision thread.
 */
final class Membership {
    private final Map<EndpointId, EndpointRecord> endpoints = new TreeMap<>();
    private final Map<HostName, EntryHostRecord> entryHosts = new TreeMap<>();
    private long version;

    /**
     * Applies a change.
     *
     * @param delta the change
     * @return false if it does not build on the known version
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
     * Takes over what an endpoint said of itself before the control process repeats it.
     *
     * @param endpoint the endpoint
     * @return the change, for the cores
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
