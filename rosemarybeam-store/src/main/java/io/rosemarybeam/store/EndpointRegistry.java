package io.rosemarybeam.store;

import java.util.Collection;
import java.util.List;

import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;
import io.rosemarybeam.common.wire.EndpointAnnouncement;
import io.rosemarybeam.common.wire.StoreMessage.EndpointNews;
import io.rosemarybeam.common.wire.WireConnection;
import io.rosemarybeam.control.PeerLinks;
import io.rosemarybeam.decision.routing.EndpointDirectory;
import io.rosemarybeam.forward.Forwarder;

/**
 * Passes what endpoints say on to the edges and the other store hosts.
 *
 * <p>Invariant: edges learn every change at once from each host that learns it, and nothing of heartbeats that change
 * nothing. Confined to the event loop of the store.
 */
final class EndpointRegistry {
    private static final EventLog LOG = EventLog.of(EndpointRegistry.class);

    private final EndpointDirectory directory;
    private final PeerLinks links;
    private final Collection<WireConnection> edges;

    /**
     * Creates a registry.
     *
     * @param directory the newest word of each endpoint
     * @param links connections to the other store hosts
     * @param edges a view of the open connections of edges
     */
    EndpointRegistry(EndpointDirectory directory, PeerLinks links, Collection<WireConnection> edges) {
        this.directory = directory;
        this.links = links;
        this.edges = edges;
    }

    /** Takes in what an endpoint said to this host. */
    void announced(EndpointAnnouncement announcement) {
        if (merge(announcement)) {
            sendToPeers(new EndpointNews(List.of(announcement)));
        }
    }

    /** Takes an announcement in and tells the edges if it matters to them; returns whether it does. */
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
                "sequence",
                announcement.sequence(),
                "models",
                announcement.models());
        EndpointNews news = new EndpointNews(List.of(announcement));
        edges.forEach(edge -> edge.send(news));
        return true;
    }

    /** Tells the other store hosts which endpoints were heard of, so that none of them takes these for silent. */
    void exchangeHeard(long since) {
        sendToPeers(new EndpointNews(directory.updatedSince(since)));
    }

    /** Marks the endpoints that have been silent for too long. */
    void markSilent(long silence, long now) {
        directory.silentFor(silence, now).forEach(silent -> announced(silent.silent()));
    }

    private void sendToPeers(EndpointNews news) {
        if (!news.announcements().isEmpty()) {
            links.names().forEach(name -> links.send(name, news));
        }
    }
}
