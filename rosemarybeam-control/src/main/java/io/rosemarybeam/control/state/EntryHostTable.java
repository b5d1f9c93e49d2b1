package io.rosemarybeam.control.state;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

import io.rosemarybeam.common.error.ControlException;
import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.id.HostName;
import io.rosemarybeam.common.wire.EntryHostRecord;

/**
 * The registered entry hosts.
 *
 * <p>Invariant: each name has one record, that of the incarnation that registered last. Confined to the thread of the
 * state machine.
 */
public final class EntryHostTable {
    /** Maximum number of registered entry hosts. */
    public static final int MAXIMUM_ENTRY_HOSTS = 1_000;

    private final TreeMap<HostName, EntryHostRecord> entryHosts = new TreeMap<>();
    private final MembershipVersions<HostName> versions = new MembershipVersions<>();

    /** Adds or updates an entry host; returns whether the table changed. */
    boolean register(EntryHostRecord entry, long version) {
        if (entry.equals(entryHosts.get(entry.name()))) {
            return false;
        }
        if (!entryHosts.containsKey(entry.name()) && entryHosts.size() >= MAXIMUM_ENTRY_HOSTS) {
            throw new ControlException(
                    ErrorCode.TABLE_FULL, MAXIMUM_ENTRY_HOSTS + " entry hosts are registered, which is the maximum");
        }
        entryHosts.put(entry.name(), entry);
        versions.recordChange(entry.name(), version);
        return true;
    }

    /** Removes an entry host if the incarnation is the current one; returns whether the table changed. */
    boolean remove(HostName name, long incarnation, long version) {
        EntryHostRecord entry = entryHosts.get(name);
        if (entry == null || entry.incarnation() != incarnation) {
            return false;
        }
        entryHosts.remove(name);
        versions.recordRemoval(name, version);
        return true;
    }

    /**
     * Finds an entry host.
     *
     * @param name its name
     * @return its record, or empty if it is not registered
     */
    public Optional<EntryHostRecord> find(HostName name) {
        return Optional.ofNullable(entryHosts.get(name));
    }

    /**
     * Returns all registered entry hosts.
     *
     * @return the records in order of their names
     */
    public Collection<EntryHostRecord> all() {
        return entryHosts.values();
    }

    MembershipVersions<HostName> versions() {
        return versions;
    }

    SnapshotData snapshotData() {
        return new SnapshotData(List.copyOf(entryHosts.values()));
    }

    void restore(SnapshotData data, long version) {
        entryHosts.clear();
        data.entryHosts.forEach(entry -> entryHosts.put(entry.name(), entry));
        versions.restore(entryHosts.keySet(), version);
    }

    /** The contents of the table in a snapshot. Immutable. */
    record SnapshotData(List<EntryHostRecord> entryHosts) {}
}
