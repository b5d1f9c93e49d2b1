package io.rosemarybeam.common.wire;

import java.util.List;

import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.HostName;

/**
 * A change of the membership, which is the set of known endpoints and entry hosts. Immutable and safe for use by
 * several threads.
 *
 * @param fromVersion version that the change builds on; zero for a full copy that replaces the membership
 * @param toVersion version after the change
 * @param endpoints endpoints that are new or changed
 * @param removedEndpoints endpoints that were removed
 * @param entryHosts entry hosts that are new or changed
 * @param removedEntryHosts entry hosts that were removed
 */
public record MembershipDelta(
        long fromVersion,
        long toVersion,
        List<EndpointRecord> endpoints,
        List<EndpointId> removedEndpoints,
        List<EntryHostRecord> entryHosts,
        List<HostName> removedEntryHosts) {
    public MembershipDelta {
        endpoints = List.copyOf(endpoints);
        removedEndpoints = List.copyOf(removedEndpoints);
        entryHosts = List.copyOf(entryHosts);
        removedEntryHosts = List.copyOf(removedEntryHosts);
    }

    /** Returns whether this is a full copy that replaces the membership. */
    public boolean isFull() {
        return fromVersion == 0;
    }
}
