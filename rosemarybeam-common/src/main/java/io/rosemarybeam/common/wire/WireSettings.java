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
    private static final Duration QUICK_HEARTBEAT_INTERVAL = Duration.ofMillis(300);
    private static final Duration QUICK_SILENCE_DEADLINE = Duration.ofMillis(1_200);
    private static final Duration QUICK_HANDSHAKE_DEADLINE = Duration.ofMillis(1_000);

    /**
     * Returns the settings of the protocol page.
     *
     * @return the settings
     */
    public static WireSettings standard() {
        return new WireSettings(DEFAULT_HEARTBEAT_INTERVAL, DEFAULT_SILENCE_DEADLINE, DEFAULT_HANDSHAKE_DEADLINE);
    }

    /**
     * Returns the settings for processes whose callers wait for less than a second.
     *
     * @return a silent connection is given up after 1.2 s, in which three heartbeats were due
     */
    public static WireSettings quick() {
        return new WireSettings(QUICK_HEARTBEAT_INTERVAL, QUICK_SILENCE_DEADLINE, QUICK_HANDSHAKE_DEADLINE);
    }
}
