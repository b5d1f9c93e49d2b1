package io.rosemarybeam.common.wire;

import java.time.Duration;

/**
 * Time limits of connections between processes. Immutable and safe for use by several threads.
 *
 * @param heartbeatInterval how often an otherwise quiet connection sends a heartbeat
 * @param silenceTimeout after how long without any byte a connection is closed
 * @param handshakeTimeout how long opening a connection and the handshake may take
 */
public record WireSettings(Duration heartbeatInterval, Duration silenceTimeout, Duration handshakeTimeout) {
    private static final Duration DEFAULT_HEARTBEAT_INTERVAL = Duration.ofMillis(500);
    private static final Duration DEFAULT_SILENCE_TIMEOUT = Duration.ofMillis(2_000);
    private static final Duration DEFAULT_HANDSHAKE_TIMEOUT = Duration.ofMillis(2_000);
    private static final Duration SHORT_HEARTBEAT_INTERVAL = Duration.ofMillis(300);
    private static final Duration SHORT_SILENCE_TIMEOUT = Duration.ofMillis(1_200);
    private static final Duration SHORT_HANDSHAKE_TIMEOUT = Duration.ofMillis(1_000);

    /**
     * Returns the settings of the protocol page.
     *
     * @return the settings
     */
    public static WireSettings standard() {
        return new WireSettings(DEFAULT_HEARTBEAT_INTERVAL, DEFAULT_SILENCE_TIMEOUT, DEFAULT_HANDSHAKE_TIMEOUT);
    }

    /**
     * Returns the settings for processes whose callers wait for less than a second.
     *
     * @return a silent connection is given up after 1.2 s, in which three heartbeats were due
     */
    public static WireSettings shortTimeouts() {
        return new WireSettings(SHORT_HEARTBEAT_INTERVAL, SHORT_SILENCE_TIMEOUT, SHORT_HANDSHAKE_TIMEOUT);
    }
}
