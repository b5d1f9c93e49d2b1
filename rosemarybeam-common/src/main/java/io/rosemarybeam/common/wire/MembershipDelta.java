package io.rosemarybeam.common.wire;

import java.util.List;

import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.HostName;

/**
 * A change of the known endpoints and entry hosts. Immutable and safe for use by several threads.
 *
 * @param fromVersion version that the change builds on; zero for a full copy that replaces everything
 * @param toVersion version after the change
 * @param endpoints endpoints that are new or changed
 * @param removedEndpoints endpoints that are gone
 * @param entryHosts entry hosts that are new or changed
 * @param removedEntryHosts entry hosts that are gone
 */
public record MembershipDelta(
        long fromVersion,
        long toVersion,
        List<EndpointRecord> endpoints,
        List<EndpointId> removedEndpoints,
        List<EntryHostRecord> entryHosts,
        List<HostName> removedEntryHosts) {
    /** Copies the lists. */
    public MembershipDelta {
        endpoints = List.copyOf(endpoints);
        removedEndpoints = List.copyOf(removedEndpoints);
        entryHosts = List.copyOf(entryHosts);
        removedEntryHosts = List.copyOf(removedEntryHosts);
    }

    /**
     * Returns whether this delta replaces everything known before.
     *
     * @return true for a full copy
     */
    public boolean isFull() {
        return fromVersion == 0;
    }
}
