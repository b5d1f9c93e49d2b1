package io.rosemarybeam.common.wire;

/** Messages between control processes. Immutable and safe for use by several threads. */
public sealed interface ControlTraffic extends Message {
    /**
     * Carries one message of the replicated log.
     *
     * @param fromName name of the sending control host
     * @param fromIncarnation its incarnation
     * @param payload the encoded message
     */
    record LogTraffic(String fromName, long fromIncarnation, byte[] payload) implements ControlTraffic {}
}
