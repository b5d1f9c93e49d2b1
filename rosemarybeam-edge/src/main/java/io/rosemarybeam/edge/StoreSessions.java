package io.rosemarybeam.edge;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.netty.channel.EventLoop;
import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;
import io.rosemarybeam.common.wire.Credentials;
import io.rosemarybeam.common.wire.Message;
import io.rosemarybeam.common.wire.MessageHandler;
import io.rosemarybeam.common.wire.StoreMessage.EdgeAddress;
import io.rosemarybeam.common.wire.StoreMessage.EdgeStatus;
import io.rosemarybeam.common.wire.StoreMessage.StoreStatus;
import io.rosemarybeam.common.wire.WireConnection;
import io.rosemarybeam.common.wire.WireTransport;
import io.rosemarybeam.forward.Forwarder;

/**
 * Connections to all store hosts.
 *
 * <p>The hosts are those of the settings and those that any connected host names. A host that is neither connected nor named
 * any more is forgotten. Confined to its event loop.
 */
final class StoreSessions {
    /** Pause between two attempts to reach a host, in milliseconds; a process restarts within a second. */
    private static final long CONNECT_INTERVAL_MILLISECONDS = 300;

    /** Age after which the word of a host is not believed any more, in milliseconds; hosts speak every 250. */
    private static final long MAXIMUM_STATUS_AGE_MILLISECONDS = 1_500;

    private static final EventLog LOG = EventLog.of(StoreSessions.class);

    private final EventLoop loop;
    private final WireTransport transport;
    private final Credentials credentials;
    private final Supplier<EdgeStatus> ownStatus;
    private final Consumer<Message> onUpdate;
    private final Map<String, Session> sessions = new HashMap<>();
    private List<String> seeds;
    private String lastLeader = "";

    StoreSessions(
            EventLoop loop,
            WireTransport transport,
            Credentials credentials,
            List<String> seeds,
            Supplier<EdgeStatus> ownStatus,
            Consumer<Message> onUpdate) {
        this.loop = loop;
        this.transport = transport;
        this.credentials = credentials;
        this.seeds = seeds;
        this.ownStatus = ownStatus;
        this.onUpdate = onUpdate;
    }

    void replaceSeeds(List<String> newSeeds) {
        seeds = List.copyOf(newSeeds);
    }

    /** Opens missing connections and tells every host the own status. */
    void tick() {
        long now = Forwarder.now();
        Set<String> wanted = requiredAddresses();
        wanted.forEach(address -> sessions.computeIfAbsent(address, Session::new));
        sessions.values()
                .removeIf(session -> !session.isOpen() && !session.connecting && !wanted.contains(session.address));
        for (Session session : sessions.values()) {
            if (session.isOpen()) {
                session.connection.send(ownStatus.get());
            } else if (!session.connecting && now >= session.nextAttempt) {
                connect(session, now);
            }
        }
    }

    private Set<String> requiredAddresses() {
        Set<String> wanted = new HashSet<>(seeds);
        for (Session session : sessions.values()) {
            if (session.isOpen() && session.status != null) {
                wanted.addAll(session.status.stores());
            }
        }
        return wanted;
    }

    private void connect(Session session, long now) {
        session.connecting = true;
        session.nextAttempt = now + CONNECT_INTERVAL_MILLISECONDS;
        transport
                .connect(session.address, credentials, new Receiver(session))
                .whenCompleteAsync(
                        (connection, failure) -> {
                            session.connecting = false;
                            if (connection != null) {
                                session.connection = connection;
                                connection.send(ownStatus.get());
                                LOG.log(Event.STORE_CONNECTED, "store", session.address);
                            }
                        },
                        loop);
    }

    /** The connected host that leads in the largest term. */
    Optional<WireConnection> leader() {
        Optional<Session> found = sessionsWithRecentStatus().stream()
                .filter(session -> session.status.leading())
                .max(Comparator.comparingLong(session -> session.status.term()));
        String name = found.map(session -> session.address).orElse("");
        if (!name.equals(lastLeader)) {
            LOG.log(
                    Event.STORE_LEADER_CHANGED,
                    "leader",
                    name,
                    "former",
                    lastLeader,
                    "term",
                    found.map(session -> session.status.term()).orElse(-1L));
            lastLeader = name;
        }
        return found.map(session -> session.connection);
    }

    /** The edges that any host has heard of lately. */
    Collection<EdgeAddress> edges() {
        Set<EdgeAddress> edges = new HashSet<>();
        sessionsWithRecentStatus().forEach(session -> edges.addAll(session.status.edges()));
        return edges;
    }

    List<String> describe() {
        long now = Forwarder.now();
        return sessions.values().stream()
                .map(session -> session.address
                        + (session.isOpen() ? " open" : " closed")
                        + (session.status == null
                                ? ""
                                : ", term " + session.status.term() + ", leading " + session.status.leading()
                                        + ", heard " + (now - session.lastContact) + " ms ago"))
                .toList();
    }

    private List<Session> sessionsWithRecentStatus() {
        long now = Forwarder.now();
        List<Session> fresh = new ArrayList<>();
        for (Session session : sessions.values()) {
            if (session.isOpen()
                    && session.status != null
                    && now - session.lastContact <= MAXIMUM_STATUS_AGE_MILLISECONDS) {
                fresh.add(session);
            }
        }
        return fresh;
    }

    /** Tells every host the own status at once, for example that callers are to leave. */
    void broadcastStatus() {
        sessions.values().stream().filter(Session::isOpen).forEach(session -> session.connection.send(ownStatus.get()));
    }

    /** The connection to one host. */
    private static final class Session {
        private final String address;
        private WireConnection connection;
        private StoreStatus status;
        private long lastContact;
        private boolean connecting;
        private long nextAttempt;

        Session(String address) {
            this.address = address;
        }

        boolean isOpen() {
            return connection != null && connection.isOpen();
        }
    }

    /** Receives what a host says. */
    private final class Receiver implements MessageHandler {
        private final Session session;

        Receiver(Session session) {
            this.session = session;
        }

        @Override
        public void onMessage(WireConnection connection, long correlation, Message message) {
            if (message instanceof StoreStatus status) {
                session.status = status;
                session.lastContact = Forwarder.now();
            } else {
                onUpdate.accept(message);
            }
        }

        @Override
        public void onClose(WireConnection connection) {
            LOG.log(Event.STORE_LOST, "store", session.address, "silent", Forwarder.now() - session.lastContact);
            session.status = null;
        }
    }
}
