package io.rosemarybeam.common.wire;

/**
 * Receives the messages of authenticated connections.
 *
 * <p>Called on the event loop of the connection; implementations must not block.
 */
@FunctionalInterface
public interface MessageHandler {
    /**
     * Receives a message that is not a reply.
     *
     * @param connection the connection on which it arrived
     * @param correlation what to pass to {@link WireConnection#reply}; zero if no reply is expected
     * @param message the message
     */
    void onMessage(WireConnection connection, long correlation, Message message);

    /**
     * Called when a connection has been authenticated.
     *
     * @param connection the connection
     */
    default void onOpen(WireConnection connection) {}

    /**
     * Called when a connection has closed.
     *
     * @param connection the connection
     */
    default void onClose(WireConnection connection) {}
}
