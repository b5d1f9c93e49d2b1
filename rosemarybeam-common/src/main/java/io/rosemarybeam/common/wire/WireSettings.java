package io.rosemarybeam.common.wire;

import java.time.Duration;

/**
 * Time limits of connections between processes. Immutable and safe for use by several threads.
 *
 * @param heartbeatInterval how often an otherwise quiet connection sends a heartbeat
 * @param silenceDeadline after how long without any byte a connection is closed
 * @param handshakeDeadline how long opening a connection and the handshake may take
 */
public record WireSettings(Duration heartbeatInterval, Duration silenceDeadline, Duration handshakeDeadline) {
    private static final Duration DEFAULT_HEARTBEAT_INTERVAL = Duration.ofMillis(500);
    private static final Duration DEFAULT_SILENCE_DEADLINE = Duration.ofMillis(2_000);
    private static final Duration DEFAULT_HANDSHAKE_DEADLINE = Duration.ofMillis(2_000);

    /**
     * Returns the settings of the protocol page.
     *
     * @return the settings
     */
    public static WireSettings standard() {
        return new WireSettings(DEFAULT_HEARTBEAT_INTERVAL, DEFAULT_SILENCE_DEADLINE, DEFAULT_HANDSHAKE_DEADLINE);
    }
}
