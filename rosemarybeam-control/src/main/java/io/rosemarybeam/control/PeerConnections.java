package io.rosemarybeam.control;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;

import io.rosemarybeam.common.wire.Broadcast;
import io.rosemarybeam.common.wire.Credentials;
import io.rosemarybeam.common.wire.Message;
import io.rosemarybeam.common.wire.MessageHandler;
import io.rosemarybeam.common.wire.WireConnection;
import io.rosemarybeam.common.wire.WireTransport;

/**
 * Outgoing connections to the peer hosts of a process. Messages to a host without a connection are dropped.
 *
 * <p>Confined to the control executor.
 */
public final class PeerConnections {
    /** Minimum interval between two connection attempts to a host, in milliseconds. */
    private static final long RECONNECT_DELAY_MILLISECONDS = 300;

    private final WireTransport transport;
    private final Credentials credentials;
    private final MessageHandler handler;
    private final Executor executor;
    private final Map<String, PeerConnection> connections = new HashMap<>();

    /**
     * Creates the connections; {@link #maintain} opens them.
     *
     * @param transport opens the connections
     * @param credentials identity of this process and the shared secret
     * @param handler receives the messages of the peers
     * @param executor the executor that instances are confined to; runs the completion of connection attempts
     */
    public PeerConnections(
            WireTransport transport, Credentials credentials, MessageHandler handler, Executor executor) {
        this.transport = transport;
        this.credentials = credentials;
        this.handler = handler;
        this.executor = executor;
    }

    /**
     * Opens missing connections, and closes those to hosts that are not listed any more or have a new address.
     *
     * @param addressByName addresses of the desired hosts by name; the host of this process is ignored
     * @param now time of the monotonic clock, in milliseconds
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
     * Sends a message to a host. It is dropped if there is no open connection or the host does not read fast enough:
     * every sender repeats messages that are still needed.
     */
    public void send(String name, Message message) {
        PeerConnection peer = connections.get(name);
        if (peer != null && peer.isOpen() && peer.connection.isWritable()) {
            peer.connection.send(message);
        }
    }

    /** Sends a message to all hosts, like {@link #send}. */
    public void sendToAll(Message message) {
        Broadcast.send(
                connections.values().stream()
                        .filter(peer -> peer.isOpen() && peer.connection.isWritable())
                        .map(peer -> peer.connection)
                        .toList(),
                message);
    }

    /**
     * Returns the open connection to a host.
     *
     * @param name name of the host
     * @return the connection, or empty if none is open
     */
    public Optional<WireConnection> connection(String name) {
        return Optional.ofNullable(connections.get(name))
                .filter(PeerConnection::isOpen)
                .map(link -> link.connection);
    }

    /**
     * Returns the names of the desired hosts, connected or not.
     *
     * @return the names, without that of this process
     */
    public Set<String> names() {
        return connections.keySet();
    }

    public void closeAll() {
        connections.values().forEach(PeerConnections::close);
        connections.clear();
    }

    private static void close(PeerConnection peer) {
        if (peer != null && peer.connection != null) {
            peer.connection.close();
        }
    }

    /** The connection to one host, with the state of its attempts. Confined to the control executor. */
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
