package io.rosemarybeam.common.wire;

import java.time.Duration;

/**
 * Timeouts of connections between processes. Immutable and safe for use by several threads.
 *
 * @param heartbeatInterval interval between heartbeats on an otherwise idle connection
 * @param silenceTimeout time without any received byte after which a connection is closed
 * @param connectTimeout maximum time for connecting
 * @param handshakeTimeout maximum time for the handshake on an open connection
 */
public record WireSettings(
        Duration heartbeatInterval, Duration silenceTimeout, Duration connectTimeout, Duration handshakeTimeout) {
    private static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(500);
    private static final Duration SILENCE_TIMEOUT = Duration.ofMillis(2_000);
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(2_000);
    private static final Duration HANDSHAKE_TIMEOUT = Duration.ofMillis(2_000);

    /** Three heartbeats; callers get the address of an edge that is frozen or cut off until its connections are closed. */
    private static final Duration SHORT_SILENCE_TIMEOUT = Duration.ofMillis(1_500);

    /** A lost SYN is sent again after 1 s, and a new attempt gets through as soon. */
    private static final Duration SHORT_CONNECT_TIMEOUT = Duration.ofMillis(1_000);

    /**
     * A process that restarts under load needs up to 2 s for its first handshakes; one that is given up is begun again, which
     * adds to the load.
     */
    private static final Duration LONG_HANDSHAKE_TIMEOUT = Duration.ofMillis(4_000);

    /** Returns the default timeouts, which the protocol page documents. */
    public static WireSettings standard() {
        return new WireSettings(HEARTBEAT_INTERVAL, SILENCE_TIMEOUT, CONNECT_TIMEOUT, HANDSHAKE_TIMEOUT);
    }

    /**
     * Returns the timeouts of processes that hold connections to many others and restart under load.
     *
     * @return settings that give up connecting and a silent connection sooner than the default ones, and a handshake later
     */
    public static WireSettings ofMesh() {
        return new WireSettings(
                HEARTBEAT_INTERVAL, SHORT_SILENCE_TIMEOUT, SHORT_CONNECT_TIMEOUT, LONG_HANDSHAKE_TIMEOUT);
    }
}
