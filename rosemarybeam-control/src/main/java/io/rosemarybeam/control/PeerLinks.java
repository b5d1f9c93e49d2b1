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
public final class PeerLinks {
    private static final long RETRY_MILLISECONDS = 300;

    private final WireTransport transport;
    private final Credentials credentials;
    private final MessageHandler handler;
    private final Executor control;
    private final Map<String, Link> links = new HashMap<>();

    /**
     * Creates links.
     *
     * @param transport opens the connections
     * @param credentials who this process is
     * @param handler receives what the others send
     * @param control runs everything
     */
    public PeerLinks(WireTransport transport, Credentials credentials, MessageHandler handler, Executor control) {
        this.transport = transport;
        this.credentials = credentials;
        this.handler = handler;
        this.control = control;
    }

    /**
     * Opens missing connections and closes those to hosts that are not wanted any more.
     *
     * @param addressByName the wanted hosts
     * @param now steady time, in milliseconds
     */
    public void maintain(Map<String, String> addressByName, long now) {
        for (Map.Entry<String, String> wanted : addressByName.entrySet()) {
            if (wanted.getKey().equals(credentials.name())) {
                continue;
            }
            Link link = links.get(wanted.getKey());
            if (link == null || !link.address.equals(wanted.getValue())) {
                close(link);
                link = new Link(wanted.getValue());
                links.put(wanted.getKey(), link);
            }
            if (!link.isOpen() && !link.connecting && now >= link.nextAttempt) {
                connect(wanted.getKey(), link, now);
            }
        }
        links.entrySet().removeIf(entry -> {
            boolean unwanted = !addressByName.containsKey(entry.getKey());
            if (unwanted) {
                close(entry.getValue());
            }
            return unwanted;
        });
    }

    private void connect(String name, Link link, long now) {
        link.connecting = true;
        link.nextAttempt = now + RETRY_MILLISECONDS;
        transport
                .connect(link.address, credentials, handler)
                .whenCompleteAsync(
                        (connection, failure) -> {
                            link.connecting = false;
                            if (failure != null) {
                                return;
                            }
                            if (links.get(name) != link
                                    || !connection.remoteName().equals(name)) {
                                connection.close();
                                return;
                            }
                            link.connection = connection;
                        },
                        control);
    }

    /**
     * Sends a message. It is dropped if there is no connection or the host does not keep up, because every sender repeats
     * what still matters.
     *
     * @param name the host
     * @param message the message
     */
    public void send(String name, Message message) {
        Link link = links.get(name);
        if (link != null && link.isOpen() && link.connection.isWritable()) {
            link.connection.send(message);
        }
    }

    /**
     * Returns the connection to a host.
     *
     * @param name the host
     * @return its open connection, or empty if there is none
     */
    public Optional<WireConnection> connection(String name) {
        return Optional.ofNullable(links.get(name)).filter(Link::isOpen).map(link -> link.connection);
    }

    /**
     * Returns the wanted hosts.
     *
     * @return their names
     */
    public Set<String> names() {
        return links.keySet();
    }

    /** Closes all connections. */
    public void closeAll() {
        links.values().forEach(PeerLinks::close);
        links.clear();
    }

    private static void close(Link link) {
        if (link != null && link.connection != null) {
            link.connection.close();
        }
    }

    /** A connection that is kept open. Confined to the control executor. */
    private static final class Link {
        private final String address;
        private WireConnection connection;
        private boolean connecting;
        private long nextAttempt;

        Link(String address) {
            this.address = address;
        }

        boolean isOpen() {
            return connection != null && connection.isOpen();
        }
    }
}
