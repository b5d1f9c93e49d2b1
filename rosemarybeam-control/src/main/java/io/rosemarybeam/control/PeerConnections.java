package io.rosemarybeam.control;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;

import io.rosemarybeam.common.wire.Credentials;
import io.rosemarybeam.common.wire.Message;
import io.rosemarybeam.common.wire.MessageHandler;
import io.rosemarybeam.common.wire.WireConnection;
import io.rosemarybeam.common.wire.WireTransport;

/**
 * Outgoing connections to the other control hosts; messages to a host without a connection are dropped.
 *
 * <p>Confined to the control executor.
 */
public final class PeerConnections {
    private static final long RECONNECT_DELAY_MILLISECONDS = 300;

    private final WireTransport transport;
    private final Credentials credentials;
    private final MessageHandler handler;
    private final Executor executor;
    private final Map<String, PeerConnection> connections = new HashMap<>();

    /**
     * Creates links.
     *
     * @param transport opens the connections
     * @param credentials who this process is
     * @param handler receives what the others send
     * @param executor runs everything
     */
    public PeerConnections(
            WireTransport transport, Credentials credentials, MessageHandler handler, Executor executor) {
        this.transport = transport;
        this.credentials = credentials;
        this.handler = handler;
        this.executor = executor;
    }

    /**
     * Opens missing connections and closes those to hosts that are not wanted any more.
     *
     * @param addressByName the wanted hosts
     * @param now steady time, in milliseconds
     */
    public void maintain(Map<String, String> addressByName, long now) {
        for (Map.Entry<String, String> host : addressByName.entrySet()) {
            if (host.getKey().equals(credentials.name())) {
                continue;
            }
            PeerConnection peer = connections.get(host.getKey());
            if (peer == null || !peer.address.equals(host.getValue())) {
                close(peer);
                peer = new PeerConnection(host.getValue());
                connections.put(host.getKey(), peer);
            }
            if (!peer.isOpen() && !peer.connecting && now >= peer.nextAttempt) {
                connect(host.getKey(), peer, now);
            }
        }
        connections.entrySet().removeIf(entry -> {
            boolean obsolete = !addressByName.containsKey(entry.getKey());
            if (obsolete) {
                close(entry.getValue());
            }
            return obsolete;
        });
    }

    private void connect(String name, PeerConnection peer, long now) {
        peer.connecting = true;
        peer.nextAttempt = now + RECONNECT_DELAY_MILLISECONDS;
        transport
                .connect(peer.address, credentials, handler)
                .whenCompleteAsync(
                        (connection, failure) -> {
                            peer.connecting = false;
                            if (failure != null) {
                                return;
                            }
                            if (connections.get(name) != peer
                                    || !connection.remoteName().equals(name)) {
                                connection.close();
                                return;
                            }
                            peer.connection = connection;
                        },
                        executor);
    }

    /**
     * Sends a message. It is dropped if there is no connection or the host does not keep up, because every sender repeats
     * what still matters.
     *
     * @param name the host
     * @param message the message
     */
    public void send(String name, Message message) {
        PeerConnection peer = connections.get(name);
        if (peer != null && peer.isOpen() && peer.connection.isWritable()) {
            peer.connection.send(message);
        }
    }

    /**
     * Returns the connection to a host.
     *
     * @param name the host
     * @return its open connection, or empty if there is none
     */
    public Optional<WireConnection> connection(String name) {
        return Optional.ofNullable(connections.get(name))
                .filter(PeerConnection::isOpen)
                .map(link -> link.connection);
    }

    /**
     * Returns the wanted hosts.
     *
     * @return their names
     */
    public Set<String> names() {
        return connections.keySet();
    }

    /** Closes all connections. */
    public void closeAll() {
        connections.values().forEach(PeerConnections::close);
        connections.clear();
    }

    private static void close(PeerConnection peer) {
        if (peer != null && peer.connection != null) {
            peer.connection.close();
        }
    }

    /** A connection that is kept open. Confined to the control executor. */
    private static final class PeerConnection {
        private final String address;
        private WireConnection connection;
        private boolean connecting;
        private long nextAttempt;

        PeerConnection(String address) {
            this.address = address;
        }

        boolean isOpen() {
            return connection != null && connection.isOpen();
        }
    }
}
