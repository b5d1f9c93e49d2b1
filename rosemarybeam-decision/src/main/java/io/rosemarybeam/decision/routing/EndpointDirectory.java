package io.rosemarybeam.decision.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.wire.EndpointAnnouncement;
import io.rosemarybeam.common.wire.EndpointAnnouncement.State;

/**
 * Latest announcement of every endpoint, whichever host received it.
 *
 * <p>Heartbeats arrive late, duplicated, out of order and through several hosts. The result of merging them does not
 * depend on that order: the later start of the process wins, then the larger sequence number, and a newer endpoint at an
 * address replaces the older one there. A departed endpoint is retained for {@link #RETENTION_MILLISECONDS}, so that a late
 * heartbeat does not bring it back, and an endpoint whose answers say that it leaves for
 * {@link #LEAVING_RETENTION_MILLISECONDS}. Confined to one thread.
 */
public final class EndpointDirectory {
    /**
     * Time for which the last announcement of an endpoint that is not ready is retained. Heartbeats that a network partition
     * delayed arrive within that time.
     */
    public static final long RETENTION_MILLISECONDS = 120_000;

    /**
     * Time for which it is known that an endpoint leaves, after its last heartbeat here. It goes on sending heartbeats
     * that say it is ready, and a host that lost contact with the others for minutes still must not use it.
     */
    public static final long LEAVING_RETENTION_MILLISECONDS = 3_600_000;

    private final Map<EndpointId, Entry> byId = new HashMap<>();
    private final Map<String, EndpointId> byAddress = new HashMap<>();

    /** Result of a merge. */
    public enum Change {
        /** The announcement was older than the known one and was ignored. */
        OUTDATED,
        /** Only the time of the last heartbeat changed. */
        REFRESHED,
        /** Something that affects routing changed. */
        CHANGED
    }

    /**
     * Merges an announcement into the directory.
     *
     * @param announcement the announcement
     * @param now monotonic time, in milliseconds
     * @return what it changed
     */
    public Change merge(EndpointAnnouncement announcement, long now) {
        Entry known = byId.get(announcement.id());
        if (known != null && !announcement.isNewerThan(known.announcement)) {
            return known.announcement.isLeaving()
                    ? refreshLeaving(known.announcement, announcement, now)
                    : Change.OUTDATED;
        }
        Optional<EndpointAnnouncement> addressOwner =
                Optional.ofNullable(byAddress.get(announcement.address())).flatMap(this::find);
        boolean isReplaced = addressOwner
                .filter(other -> !other.id().equals(announcement.id()))
                .filter(other -> keepsAddress(other, announcement))
                .isPresent();
        if (isReplaced) {
            return Change.OUTDATED;
        }
        addressOwner
                .filter(other -> !other.id().equals(announcement.id()))
                .ifPresent(other -> byId.put(other.id(), new Entry(other.asDeparted(), now)));
        byAddress.put(announcement.address(), announcement.id());
        byId.put(announcement.id(), new Entry(announcement, now));
        boolean isNew = known == null || announcement.differsFrom(known.announcement);
        return isNew ? Change.CHANGED : Change.REFRESHED;
    }

    /** Takes only the notice from a heartbeat of an endpoint that leaves, as its answers may say so before its heartbeats. */
    private Change refreshLeaving(EndpointAnnouncement known, EndpointAnnouncement heartbeat, long now) {
        boolean isFirstNotice = heartbeat.startedMilliseconds() == known.startedMilliseconds()
                && heartbeat.hasNotice()
                && !known.hasNotice();
        byId.put(known.id(), new Entry(isFirstNotice ? known.withNoticeOf(heartbeat) : known, now));
        return isFirstNotice ? Change.CHANGED : Change.OUTDATED;
    }

    /**
     * Returns whether the endpoint at an address is not replaced by another one that claims it. Two processes cannot have the
     * address from the same start on; only if no start is known, the later heartbeat decides.
     */
    private static boolean keepsAddress(EndpointAnnouncement owner, EndpointAnnouncement claimant) {
        boolean sameStart = owner.startedMilliseconds() == claimant.startedMilliseconds();
        boolean isKnown = owner.startedMilliseconds() > 0;
        return sameStart ? isKnown : owner.startedMilliseconds() > claimant.startedMilliseconds();
    }

    /**
     * Returns the latest announcement of an endpoint.
     *
     * @param id the endpoint
     * @return the announcement, or empty if the endpoint is unknown
     */
    public Optional<EndpointAnnouncement> find(EndpointId id) {
        return Optional.ofNullable(byId.get(id)).map(entry -> entry.announcement);
    }

    /**
     * Returns the ready endpoint that an announcement would replace, by its id or its address.
     *
     * @param announcement the announcement
     * @return the endpoint of another service that has the id, or the other endpoint that has the address
     */
    public Optional<EndpointAnnouncement> replacedBy(EndpointAnnouncement announcement) {
        Optional<EndpointAnnouncement> sameId = find(announcement.id())
                .filter(known -> known.state() == State.READY)
                .filter(known -> !known.service().equals(announcement.service()));
        return sameId.or(() -> Optional.ofNullable(byAddress.get(announcement.address()))
                .filter(id -> !id.equals(announcement.id()))
                .flatMap(this::find)
                .filter(known -> known.state() == State.READY));
    }

    /**
     * Returns the endpoints that accept new requests.
     *
     * @param service the service
     * @return its ready endpoints; if none is ready, those without recent heartbeats
     */
    public List<EndpointAnnouncement> ready(ServiceName service) {
        List<EndpointAnnouncement> ready = inState(service, State.READY);
        return ready.isEmpty() ? inState(service, State.SILENT) : ready;
    }

    /**
     * Returns the software versions that endpoints of a service run, or ran within {@link #RETENTION_MILLISECONDS}.
     *
     * @param service the service
     * @return the versions
     */
    public Set<String> softwareVersions(ServiceName service) {
        return byId.values().stream()
                .map(entry -> entry.announcement)
                .filter(announcement -> announcement.service().equals(service))
                .map(EndpointAnnouncement::softwareVersion)
                .collect(Collectors.toSet());
    }

    private List<EndpointAnnouncement> inState(ServiceName service, State state) {
        List<EndpointAnnouncement> found = new ArrayList<>();
        for (Entry entry : byId.values()) {
            EndpointAnnouncement announcement = entry.announcement;
            if (announcement.state() == state && announcement.service().equals(service)) {
                found.add(announcement);
            }
        }
        return found;
    }

    /**
     * Returns the latest announcements of all endpoints.
     *
     * @return the announcements, including those of departed endpoints
     */
    public Collection<EndpointAnnouncement> all() {
        return byId.values().stream().map(entry -> entry.announcement).toList();
    }

    /**
     * Returns the endpoints whose last announcement arrived at or after a given time.
     *
     * @param since monotonic time, in milliseconds
     * @return their latest announcements
     */
    public List<EndpointAnnouncement> updatedSince(long since) {
        return byId.values().stream()
                .filter(entry -> entry.lastContact >= since)
                .map(entry -> entry.announcement)
                .toList();
    }

    /**
     * Returns the ready endpoints without a recent announcement.
     *
     * @param silence maximum time since the last announcement, in milliseconds
     * @param now monotonic time, in milliseconds
     * @return the latest announcements of the endpoints that exceed it
     */
    public List<EndpointAnnouncement> silentFor(long silence, long now) {
        return byId.values().stream()
                .filter(entry -> entry.announcement.state() == State.READY && now - entry.lastContact > silence)
                .map(entry -> entry.announcement)
                .toList();
    }

    /**
     * Returns the longest time since the last announcement of a ready endpoint.
     *
     * @param now monotonic time, in milliseconds
     * @return the time, in milliseconds; 0 without ready endpoints
     */
    public long longestSilence(long now) {
        return byId.values().stream()
                .filter(entry -> entry.announcement.state() == State.READY)
                .mapToLong(entry -> now - entry.lastContact)
                .max()
                .orElse(0);
    }

    /**
     * Leaves a time out of the silence of all endpoints, in which this process could not read what they sent.
     *
     * @param milliseconds the time; 0 changes nothing
     */
    public void excuseSilence(long milliseconds) {
        if (milliseconds > 0) {
            byId.replaceAll((id, entry) -> new Entry(entry.announcement, entry.lastContact + milliseconds));
        }
    }

    /**
     * Removes the endpoints that are not ready and whose retention period has passed.
     *
     * @param now monotonic time, in milliseconds
     */
    public void evictExpired(long now) {
        byId.values()
                .removeIf(entry ->
                        entry.announcement.state() != State.READY && now - entry.lastContact > retention(entry));
        byAddress.values().removeIf(id -> !byId.containsKey(id));
    }

    private static long retention(Entry entry) {
        return entry.announcement.isLeaving() ? LEAVING_RETENTION_MILLISECONDS : RETENTION_MILLISECONDS;
    }

    /**
     * Returns the endpoints whose answers say that they leave.
     *
     * @return their latest announcements
     */
    public List<EndpointAnnouncement> leaving() {
        return byId.values().stream()
                .map(entry -> entry.announcement)
                .filter(EndpointAnnouncement::isLeaving)
                .toList();
    }

    /** The latest announcement of an endpoint and the time at which it arrived. Immutable. */
    private record Entry(EndpointAnnouncement announcement, long lastContact) {}
}
