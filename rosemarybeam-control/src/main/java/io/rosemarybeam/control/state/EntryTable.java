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
 * <p>Invariant: one record per name, that of the incarnation that registered last. Confined to the thread of the state
 * machine.
 */
public final class EntryTable {
    /** How many entry hosts may be registered. */
    public static final int MAXIMUM_ENTRIES = 1_000;

    private final TreeMap<HostName, EntryHostRecord> entries = new TreeMap<>();
    private final MembershipVersions<HostName> versions = new MembershipVersions<>();

    /** Returns whether the table changed. */
    boolean register(EntryHostRecord entry, long version) {
        if (entry.equals(entries.get(entry.name()))) {
            return false;
        }
        if (!entries.containsKey(entry.name()) && entries.size() >= MAXIMUM_ENTRIES) {
            throw new ControlException(ErrorCode.TABLE_FULL, MAXIMUM_ENTRIES + " entry hosts are registered");
        }
        entries.put(entry.name(), entry);
        versions.changed(entry.name(), version);
        return true;
    }

    /** Returns whether the table changed. */
    boolean remove(HostName name, long incarnation, long version) {
        EntryHostRecord entry = entries.get(name);
        if (entry == null || entry.incarnation() != incarnation) {
            return false;
        }
        entries.remove(name);
        versions.removed(name, version);
        return true;
    }

    /**
     * Finds an entry host.
     *
     * @param name its name
     * @return its record, or empty if it is not registered
     */
    public Optional<EntryHostRecord> find(HostName name) {
        return Optional.ofNullable(entries.get(name));
    }

    /**
     * Returns all registered entry hosts.
     *
     * @return the records in order of their names
     */
    public Collection<EntryHostRecord> all() {
        return entries.values();
    }

    MembershipVersions<HostName> versions() {
        return versions;
    }

    Image image() {
        return new Image(List.copyOf(entries.values()));
    }

    void restore(Image image, long version) {
        entries.clear();
        image.entries.forEach(entry -> entries.put(entry.name(), entry));
        versions.restore(entries.keySet(), version);
    }

    /** The content of the table in a snapshot. Immutable. */
    record Image(List<EntryHostRecord> entries) {}
}
