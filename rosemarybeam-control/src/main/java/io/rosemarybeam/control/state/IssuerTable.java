package io.rosemarybeam.control.state;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

import io.rosemarybeam.common.id.FencingNumber;
import io.rosemarybeam.common.id.HostName;
import io.rosemarybeam.common.id.ServiceName;

/**
 * The issuer of every service: the entry that may send orders to it.
 *
 * <p>Invariant: every grant to another holder carries a larger fencing number than all earlier grants. Whether the
 * lease of the holder is live is known to the leader only. Confined to the thread of the state machine.
 */
public final class IssuerTable {
    private final TreeMap<ServiceName, Issuer> issuers = new TreeMap<>();
    private long lastFencingNumber;

    /**
     * Makes an entry the issuer if the issuer whose lease the leader found lapsed is still current; returns the issuer.
     */
    Issuer grant(Command.GrantIssuer command) {
        ServiceName service = command.request().service();
        HostName entry = command.request().entry();
        long incarnation = command.request().entryIncarnation();
        Issuer current = issuers.get(service);
        boolean replaced = current != null && !current.fencingNumber().equals(command.expected());
        if (replaced || (current != null && current.isHeldBy(entry, incarnation))) {
            return current;
        }
        lastFencingNumber++;
        Issuer granted = new Issuer(service, entry, incarnation, FencingNumber.of(lastFencingNumber));
        issuers.put(service, granted);
        return granted;
    }

    /**
     * Returns the fencing number of a service.
     *
     * @param service the service
     * @return the number of its newest issuer, or zero if it never had one
     */
    public FencingNumber fencingNumber(ServiceName service) {
        return find(service).map(Issuer::fencingNumber).orElse(FencingNumber.of(0));
    }

    /**
     * Finds the newest issuer of a service.
     *
     * @param service the service
     * @return the issuer, or empty if there never was one
     */
    public Optional<Issuer> find(ServiceName service) {
        return Optional.ofNullable(issuers.get(service));
    }

    /**
     * Returns all issuers.
     *
     * @return the issuers in order of their services
     */
    public Collection<Issuer> all() {
        return issuers.values();
    }

    SnapshotData snapshotData() {
        return new SnapshotData(List.copyOf(issuers.values()), lastFencingNumber);
    }

    void restore(SnapshotData data) {
        issuers.clear();
        data.issuers.forEach(issuer -> issuers.put(issuer.service(), issuer));
        lastFencingNumber = data.lastFencingNumber;
    }

    /**
     * The entry that may send orders to a service. Immutable.
     *
     * @param service the service
     * @param entry the entry host
     * @param incarnation its incarnation
     * @param fencingNumber larger than that of every former issuer
     */
    public record Issuer(ServiceName service, HostName entry, long incarnation, FencingNumber fencingNumber) {
        /**
         * Returns whether an incarnation of an entry host is this issuer.
         *
         * @param requester the entry host
         * @param requesterIncarnation its incarnation
         * @return true if name and incarnation are equal
         */
        public boolean isHeldBy(HostName requester, long requesterIncarnation) {
            return entry.equals(requester) && incarnation == requesterIncarnation;
        }
    }

    /** The contents of the table in a snapshot. Immutable. */
    record SnapshotData(List<Issuer> issuers, long lastFencingNumber) {}
}
