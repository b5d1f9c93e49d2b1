package io.rosemarybeam.common.wire;

import java.util.Collection;

/**
 * Sends one message on several connections and encodes it once.
 *
 * <p>Load pattern: each of ten store hosts sends its status to 45 edges four times a second, and every change of an endpoint
 * as it happens. Stateless and safe for use by several threads.
 */
public final class Broadcast {
    private Broadcast() {}

    /**
     * Sends a message that has no reply, as {@link WireConnection#send} does.
     *
     * @param connections the connections; closed ones get nothing
     * @param message the message
     */
    public static void send(Collection<? extends WireConnection> connections, Message message) {
        Frame encoded = null;
        for (WireConnection connection : connections) {
            if (connection instanceof NettyConnection netty) {
                encoded = encoded == null ? NettyConnection.encode(message, 0) : encoded;
                netty.send(encoded);
            } else {
                connection.send(message);
            }
        }
    }
}
