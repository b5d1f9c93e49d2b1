package io.rosemarybeam.edge;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.netty.channel.EventLoop;
import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;
import io.rosemarybeam.common.wire.Broadcast;
import io.rosemarybeam.common.wire.Credentials;
import io.rosemarybeam.common.wire.Message;
import io.rosemarybeam.common.wire.MessageHandler;
import io.rosemarybeam.common.wire.StoreMessage;
import io.rosemarybeam.common.wire.StoreMessage.EdgeAddress;
import io.rosemarybeam.common.wire.StoreMessage.EdgeStatus;
import io.rosemarybeam.common.wire.StoreMessage.StoreStatus;
import io.rosemarybeam.common.wire.WireConnection;
import io.rosemarybeam.common.wire.WireTransport;
import io.rosemarybeam.forward.Forwarder;

/**
 * Maintains connections to all store hosts and finds the leader among them.
 *
 * <p>The hosts are those of the settings and those that any connected host lists in its status. A host that is neither
 * connected nor listed any more is removed.
 *
 * <p>Invariant: the status of a host is used until its connection closes, which it does when it is silent; hosts send it again
 * only when it changes. Confined to its event loop.
 */
final class StoreSessions {
    /** Minimum interval between two attempts to connect to a host, in milliseconds; a process restarts within 1 s. */
    private static final long CONNECT_INTERVAL_MILLISECONDS = 300;

    private static final EventLog LOG = EventLog.of(StoreSessions.class);

    private final EventLoop loop;
    private final WireTransport transport;
    private final Credentials credentials;
    private final Supplier<List<Message>> messagesOnConnect;
    private final Supplier<List<Message>> messagesAfterConnect;
    private final Consumer<Message> onUpdate;
    private final Map<String, Session> sessions = new HashMap<>();
    private List<String> seeds;
    private String lastLeader = "";
    private EdgeStatus lastStatus;

    /** The edges that the hosts list; computed again when one sends its status or its connection closes. */
    private Optional<Set<EdgeAddress>> edges = Optional.empty();

    /**
     * Creates an instance without connections.
     *
     * @param loop the event loop
     * @param transport opens the connections
     * @param credentials of this edge
     * @param seeds addresses of the hosts in the settings
     * @param messagesOnConnect sent to a host at once when it is connected
     * @param messagesAfterConnect sent to it one after the other, one at each tick, because there may be many
     * @param onUpdate receives the messages of all hosts other than their status
     */
    StoreSessions(
            EventLoop loop,
            WireTransport transport,
            Credentials credentials,
            List<String> seeds,
            Supplier<List<Message>> messagesOnConnect,
            Supplier<List<Message>> messagesAfterConnect,
            Consumer<Message> onUpdate) {
        this.loop = loop;
        this.transport = transport;
        this.credentials = credentials;
        this.seeds = seeds;
        this.messagesOnConnect = messagesOnConnect;
        this.messagesAfterConnect = messagesAfterConnect;
        this.onUpdate = onUpdate;
    }

    void replaceSeeds(List<String> newSeeds) {
        seeds = List.copyOf(newSeeds);
    }

    /**
     * Opens missing connections and sends the status of this edge to every connected host if it has changed; a new connection
     * gets it at once, and heartbeats show that the connection lives.
     */
    void tick(EdgeStatus ownStatus) {
        long now = Forwarder.now();
        Set<String> required = requiredAddresses();
        required.forEach(address -> sessions.computeIfAbsent(address, Session::new));
        sessions.values()
                .removeIf(session -> !session.isOpen() && !session.connecting && !required.contains(session.address));
        if (!ownStatus.equals(lastStatus)) {
            lastStatus = ownStatus;
            broadcast(ownStatus);
        }
        sessions.values().forEach(Session::sendNext);
        sessions.values().stream()
                .filter(session -> !session.isOpen() && !session.connecting && now >= session.nextAttempt)
                .forEach(session -> connect(session, now));
    }

    private Set<String> requiredAddresses() {
        Set<String> addresses = new HashSet<>(seeds);
        for (Session session : sessions.values()) {
            if (session.isOpen() && session.status != null) {
                addresses.addAll(session.status.stores());
            }
        }
        return addresses;
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
                                messagesOnConnect.get().forEach(connection::send);
                                session.waiting = new ArrayDeque<>(messagesAfterConnect.get());
                                session.sendNext();
                                LOG.log(
                                        Event.STORE_CONNECTED,
                                        "store",
                                        session.address,
                                        "waiting",
                                        session.waiting.size());
                            }
                        },
                        loop);
    }

    /** Returns the connection to the host that reports to lead in the highest term; empty if none reports it. */
    Optional<WireConnection> leader() {
        Optional<Session> found = sessionsWithStatus().stream()
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

    /** Returns the connection to the leader if it grants permits, which earlier releases do not. */
    Optional<WireConnection> permitGranter() {
        return leader().filter(connection -> sessions.values().stream()
                .anyMatch(session -> session.connection == connection && session.status.grantsPermits()));
    }

    /**
     * A leader that collects records of use. Immutable.
     *
     * @param identity differs for another host and for another term
     * @param connection sends it a message with a timeout and returns the reply
     */
    record UsageCollector(String identity, BiFunction<StoreMessage, Duration, CompletableFuture<Message>> connection) {}

    /** Returns the leader if it collects records of use, which earlier releases and those without a provider do not. */
    Optional<UsageCollector> usageCollector() {
        return leader().flatMap(connection -> sessions.values().stream()
                .filter(session -> session.connection == connection && session.status.collectsUsage())
                .map(session -> new UsageCollector(session.address + " " + session.status.term(), connection::request))
                .findFirst());
    }

    /** Returns the connections to the hosts that find the origins of streams, which earlier releases do not. */
    List<WireConnection> streamFinders() {
        return sessionsWithStatus().stream()
                .filter(session -> session.status.findsStreams())
                .map(session -> session.connection)
                .toList();
    }

    /** Returns whether every known host is connected and finds the origins of streams. */
    boolean canAskAllForStreams() {
        return !sessions.isEmpty()
                && streamFinders().size() == requiredAddresses().size();
    }

    /** Returns the edges that any connected host lists in its status. */
    Collection<EdgeAddress> edges() {
        if (edges.isEmpty()) {
            Set<EdgeAddress> listed = new HashSet<>();
            sessionsWithStatus().forEach(session -> listed.addAll(session.status.edges()));
            edges = Optional.of(listed);
        }
        return edges.get();
    }

    /** Returns the state of each connection for the dump. */
    List<String> describe() {
        long now = Forwarder.now();
        return sessions.values().stream()
                .map(session -> session.address
                        + (session.isOpen() ? " open" : " closed")
                        + (session.status == null
                                ? ""
                                : ", term " + session.status.term() + ", leading " + session.status.leading()
                                        + ", last contact " + (now - session.lastContact) + " ms ago"))
                .toList();
    }

    private List<Session> sessionsWithStatus() {
        return sessions.values().stream()
                .filter(session -> session.isOpen() && session.status != null)
                .toList();
    }

    /** Sends a message to every connected host. */
    void broadcast(Message message) {
        Broadcast.send(
                sessions.values().stream()
                        .filter(Session::isOpen)
                        .map(session -> session.connection)
                        .toList(),
                message);
    }

    /** Connection to one host, and the last status of this host. Confined to the event loop. */
    private static final class Session {
        private final String address;
        private WireConnection connection;
        private StoreStatus status;

        /** Monotonic time of the last status, in milliseconds; 0 before the first one. */
        private long lastContact;

        private boolean connecting;

        /** Messages that are sent one at each tick. */
        private Queue<Message> waiting = new ArrayDeque<>();

        /** Monotonic time before which no connection is attempted, in milliseconds. */
        private long nextAttempt;

        Session(String address) {
            this.address = address;
        }

        boolean isOpen() {
            return connection != null && connection.isOpen();
        }

        void sendNext() {
            if (isOpen() && !waiting.isEmpty()) {
                connection.send(waiting.remove());
            }
        }
    }

    /** Receives the messages of one host. */
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
                edges = Optional.empty();
            } else {
                onUpdate.accept(message);
            }
        }

        @Override
        public void onClose(WireConnection connection) {
            LOG.log(Event.STORE_LOST, "store", session.address, "silent", Forwarder.now() - session.lastContact);
            session.status = null;
            edges = Optional.empty();
        }
    }
}
