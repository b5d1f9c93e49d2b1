package io.rosemarybeam.decision.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.wire.EndpointAnnouncement;
import io.rosemarybeam.common.wire.EndpointAnnouncement.State;

/**
 * The newest word of every endpoint, whichever way it came.
 *
 * <p>Heartbeats arrive late, twice, out of order and by several hosts. The merge does not depend on that order: the later
 * start wins, then the larger sequence, and a newer endpoint at an address ends the older one there. An endpoint that has
 * left is kept for {@link #MEMORY_MILLISECONDS}, so that a late heartbeat does not bring it back. Confined to one thread.
 */
public final class EndpointDirectory {
    /** How long the last word of an endpoint is kept; heartbeats of a former partition arrive within that time. */
    public static final long MEMORY_MILLISECONDS = 120_000;

    private final Map<EndpointId, Known> byId = new HashMap<>();
    private final Map<String, EndpointId> byAddress = new HashMap<>();

    /** What a merge changed. */
    public enum Change {
        /** The announcement was older than what was known. */
        OUTDATED,
        /** Only the time of the last heartbeat changed. */
        REFRESHED,
        /** Something changed that matters to routing. */
        CHANGED
    }

    /**
     * Takes an announcement in.
     *
     * @param announcement the announcement
     * @param now steady time, in milliseconds
     * @return what it changed
     */
    public Change merge(EndpointAnnouncement announcement, long now) {
        Known known = byId.get(announcement.id());
        if (known != null && !announcement.isNewerThan(known.announcement)) {
            return Change.OUTDATED;
        }
        Optional<EndpointAnnouncement> owner =
                Optional.ofNullable(byAddress.get(announcement.address())).flatMap(this::find);
        boolean isReplaced = owner.filter(other -> !other.id().equals(announcement.id()))
                .filter(other -> other.startedMilliseconds() > announcement.startedMilliseconds())
                .isPresent();
        if (isReplaced) {
            return Change.OUTDATED;
        }
        owner.filter(other -> !other.id().equals(announcement.id()))
                .ifPresent(other -> byId.put(other.id(), new Known(other.asDeparted(), now)));
        byAddress.put(announcement.address(), announcement.id());
        byId.put(announcement.id(), new Known(announcement, now));
        boolean isNew = known == null || announcement.differsFrom(known.announcement);
        return isNew ? Change.CHANGED : Change.REFRESHED;
    }

    /**
     * Returns what is known of an endpoint.
     *
     * @param id the endpoint
     * @return its newest announcement, or empty if it is not known
     */
    public Optional<EndpointAnnouncement> find(EndpointId id) {
        return Optional.ofNullable(byId.get(id)).map(known -> known.announcement);
    }

    /**
     * Returns the endpoints that take new requests.
     *
     * @param service the service
     * @return its ready endpoints; the silent ones if none is ready
     */
    public List<EndpointAnnouncement> ready(ServiceName service) {
        List<EndpointAnnouncement> ready = inState(service, State.READY);
        return ready.isEmpty() ? inState(service, State.SILENT) : ready;
    }

    private List<EndpointAnnouncement> inState(ServiceName service, State state) {
        List<EndpointAnnouncement> found = new ArrayList<>();
        for (Known known : byId.values()) {
            EndpointAnnouncement announcement = known.announcement;
            if (announcement.state() == state && announcement.service().equals(service)) {
                found.add(announcement);
            }
        }
        return found;
    }

    /**
     * Returns everything that is known.
     *
     * @return the newest announcements, also of endpoints that have left
     */
    public Collection<EndpointAnnouncement> all() {
        return byId.values().stream().map(known -> known.announcement).toList();
    }

    /**
     * Returns the endpoints that were heard of after a time.
     *
     * @param since steady time, in milliseconds
     * @return their newest announcements
     */
    public List<EndpointAnnouncement> heardSince(long since) {
        return byId.values().stream()
                .filter(known -> known.heard >= since)
                .map(known -> known.announcement)
                .toList();
    }

    /**
     * Returns the ready endpoints that have been silent.
     *
     * @param silence how long an endpoint may be silent, in milliseconds
     * @param now steady time, in milliseconds
     * @return their newest announcements
     */
    public List<EndpointAnnouncement> silentFor(long silence, long now) {
        return byId.values().stream()
                .filter(known -> known.announcement.state() == State.READY && now - known.heard > silence)
                .map(known -> known.announcement)
                .toList();
    }

    /**
     * Returns how old the oldest news of a ready endpoint is.
     *
     * @param now steady time, in milliseconds
     * @return time since its last announcement, in milliseconds; 0 without ready endpoints
     */
    public long longestSilence(long now) {
        return byId.values().stream()
                .filter(known -> known.announcement.state() == State.READY)
                .mapToLong(known -> now - known.heard)
                .max()
                .orElse(0);
    }

    /**
     * Forgets the endpoints that left or fell silent long ago.
     *
     * @param now steady time, in milliseconds
     */
    public void forget(long now) {
        byId.values()
                .removeIf(
                        known -> known.announcement.state() != State.READY && now - known.heard > MEMORY_MILLISECONDS);
        byAddress.values().removeIf(id -> !byId.containsKey(id));
    }

    /** An endpoint and when it was last heard of. Immutable. */
    private record Known(EndpointAnnouncement announcement, long heard) {}
}
