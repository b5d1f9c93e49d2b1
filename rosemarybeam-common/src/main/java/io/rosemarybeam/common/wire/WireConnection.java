package io.rosemarybeam.common.wire;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * A trusted connection to another process of the system.
 *
 * <p>Invariant: the identity of the remote process was proved in the handshake. Implementations are safe for use by
 * several threads; futures complete on the event loop of the connection.
 */
public interface WireConnection {
    /**
     * Returns what the remote process is.
     *
     * @return its role
     */
    HandshakeMessage.Role remoteRole();

    /**
     * Returns the name of the remote process.
     *
     * @return its name
     */
    String remoteName();

    /**
     * Returns the incarnation of the remote process; zero if the remote process is the server.
     *
     * @return its incarnation
     */
    long remoteIncarnation();

    /**
     * Sends a request and awaits the reply.
     *
     * @param message the request
     * @param timeout how long to wait
     * @return completes with the reply, or with a {@link io.rosemarybeam.common.error.WireException} if the deadline
     *     passes or the connection closes
     */
    CompletableFuture<Message> request(Message message, Duration timeout);

    /**
     * Sends a message that has no reply. Dropped if the connection is closed.
     *
     * @param message the message
     */
    void send(Message message);

    /**
     * Answers a request. Dropped if the connection is closed.
     *
     * @param correlation as given to {@link MessageHandler#onMessage}
     * @param message the reply
     */
    void reply(long correlation, Message message);

    /**
     * Returns whether the connection is open.
     *
     * @return false once it has closed
     */
    boolean isOpen();

    /**
     * Returns whether the remote process keeps up with what is sent. A sender that can repeat or leave out a message does so
     * while this is false, because whatever is sent to a process that does not read stays in memory.
     *
     * @return false while too many bytes wait to be sent
     */
    default boolean isWritable() {
        return isOpen();
    }

    /** Closes the connection and fails its outstanding requests. */
    void close();
}
