package io.rosemarybeam.store;

import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;

import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;
import io.rosemarybeam.common.wire.Broadcast;
import io.rosemarybeam.common.wire.EndpointAnnouncement;
import io.rosemarybeam.common.wire.StoreMessage.EndpointNews;
import io.rosemarybeam.common.wire.WireConnection;
import io.rosemarybeam.control.PeerConnections;
import io.rosemarybeam.decision.routing.EndpointDirectory;
import io.rosemarybeam.decision.routing.StallDetector;
import io.rosemarybeam.forward.Forwarder;

/**
 * Distributes the announcements of endpoints to the edges and the other store hosts.
 *
 * <p>Invariant: each store host sends every change to its edges as soon as it receives it, and sends them nothing for
 * heartbeats without a change. Confined to the event loop of the store.
 */
final class EndpointRegistry {
    private static final EventLog LOG = EventLog.of(EndpointRegistry.class);

    private final EndpointDirectory directory;
    private final PeerConnections links;
    private final Collection<WireConnection> edges;
    private final Consumer<EndpointAnnouncement> onChange;
    private final StallDetector stalls;

    /**
     * Creates a registry.
     *
     * @param directory the latest announcement of each endpoint
     * @param links connections to the other store hosts
     * @param edges a view of the open connections of edges
     * @param onChange is told each change before the edges are
     * @param maintenanceInterval interval between two calls of {@link #excuseStall}, in milliseconds
     */
    EndpointRegistry(
            EndpointDirectory directory,
            PeerConnections links,
            Collection<WireConnection> edges,
            Consumer<EndpointAnnouncement> onChange,
            long maintenanceInterval) {
        this.directory = directory;
        this.links = links;
        this.edges = edges;
        this.onChange = onChange;
        this.stalls = new StallDetector(maintenanceInterval);
    }

    /** Merges an announcement that this host received directly, and sends a change to the edges and other store hosts. */
    void receive(EndpointAnnouncement announcement) {
        if (merge(announcement)) {
            sendToPeers(EndpointNews.ofAnnouncements(List.of(announcement)));
        }
    }

    /** Merges an announcement and sends it to the edges if it is a change; returns whether it is one. */
    boolean merge(EndpointAnnouncement announcement) {
        EndpointDirectory.Change change = directory.merge(announcement, Forwarder.now());
        if (change != EndpointDirectory.Change.CHANGED) {
            return false;
        }
        LOG.log(
                Event.ENDPOINT_CHANGED,
                "endpoint",
                announcement.id(),
                "service",
                announcement.service(),
                "address",
                announcement.address(),
                "state",
                announcement.state(),
                "software",
                announcement.softwareVersion(),
                "sequence",
                announcement.sequence(),
                "models",
                announcement.models(),
                "preemptible",
                announcement.preemptible(),
                "leavesIn",
                announcement.leavesInMilliseconds());
        onChange.accept(announcement);
        Broadcast.send(edges, EndpointNews.ofAnnouncements(List.of(announcement)));
        return true;
    }

    /** Sends the announcements of endpoints with recent contact to the other store hosts, so that they do not time out there. */
    void sendRecentContacts(long since) {
        EndpointNews.batchesOf(directory.updatedSince(since)).forEach(this::sendToPeers);
    }

    /** Postpones the time at which endpoints count as silent after a stall of this host; to be called in each maintenance. */
    void excuseStall(long now) {
        directory.excuseSilence(stalls.stalledUntil(now));
    }

    /** Announces endpoints without a heartbeat for the given time, in milliseconds, as silent. */
    void markSilent(long silence, long now) {
        directory.silentFor(silence, now).forEach(silent -> receive(silent.asSilent()));
    }

    private void sendToPeers(EndpointNews update) {
        links.sendToAll(update);
    }
}
