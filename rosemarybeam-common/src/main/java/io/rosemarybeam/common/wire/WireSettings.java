package io.rosemarybeam.common.wire;

import java.time.Duration;

/**
 * Timeouts of connections between processes. Immutable and safe for use by several threads.
 *
 * @param heartbeatInterval interval between heartbeats on an otherwise idle connection
 * @param silenceTimeout time without any received byte after which a connection is closed
 * @param handshakeTimeout maximum time for connecting, and for the handshake
 */
public record WireSettings(Duration heartbeatInterval, Duration silenceTimeout, Duration handshakeTimeout) {
    private static final Duration DEFAULT_HEARTBEAT_INTERVAL = Duration.ofMillis(500);
    private static final Duration DEFAULT_SILENCE_TIMEOUT = Duration.ofMillis(2_000);
    private static final Duration DEFAULT_HANDSHAKE_TIMEOUT = Duration.ofMillis(2_000);
    private static final Duration SHORT_HEARTBEAT_INTERVAL = Duration.ofMillis(300);
    private static final Duration SHORT_SILENCE_TIMEOUT = Duration.ofMillis(1_200);
    private static final Duration SHORT_HANDSHAKE_TIMEOUT = Duration.ofMillis(1_000);

    /** Returns the default timeouts, which the protocol page documents. */
    public static WireSettings standard() {
        return new WireSettings(DEFAULT_HEARTBEAT_INTERVAL, DEFAULT_SILENCE_TIMEOUT, DEFAULT_HANDSHAKE_TIMEOUT);
    }

    /**
     * Returns shorter timeouts, for processes whose callers wait for less than a second.
     *
     * @return settings that close a silent connection after 1.2 s, when three heartbeats are missing
     */
    public static WireSettings shortTimeouts() {
        return new WireSettings(SHORT_HEARTBEAT_INTERVAL, SHORT_SILENCE_TIMEOUT, SHORT_HANDSHAKE_TIMEOUT);
    }
}
