package io.rosemarybeam.common.wire;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * An authenticated connection to another process of the system.
 *
 * <p>Invariant: the identity of the remote process was proved in the handshake. Implementations are safe for use by
 * several threads; futures complete on the event loop of the connection.
 */
public interface WireConnection {
    HandshakeMessage.Role remoteRole();

    String remoteName();

    /** Returns the incarnation of the remote process; zero if this side opened the connection. */
    long remoteIncarnation();

    /**
     * Sends a request.
     *
     * @param message the request
     * @param timeout maximum time to wait for the reply
     * @return completes with the reply, or with a {@link io.rosemarybeam.common.error.WireException} if the timeout
     *     elapses, the connection closes, or no frame can carry the request ({@code FRAME_INVALID}), which is then not sent
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

    boolean isOpen();

    /**
     * Returns whether the remote process reads fast enough. While this is false, a sender defers or skips messages that
     * it can repeat or omit, because messages to a process that does not read accumulate in memory.
     *
     * @return false while too many bytes are waiting to be sent
     */
    default boolean isWritable() {
        return isOpen();
    }

    /** Closes the connection and fails its outstanding requests. */
    void close();
}
