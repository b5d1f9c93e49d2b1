package io.rosemarybeam.common.wire;

/** Messages exchanged before a connection is authenticated. Immutable and safe for use by several threads. */
public sealed interface HandshakeMessage extends Message {
    /** The role of a connecting process. */
    enum Role {
        /** A control process. */
        CONTROL,
        /** An entry process. */
        ENTRY,
        /** An operator's command line. */
        OPERATOR
    }

    /**
     * Opens the handshake.
     *
     * @param role role of the client
     * @param name name of the client
     * @param incarnation incarnation of the client
     * @param nonce random bytes of the client
     */
    record Hello(Role role, String name, long incarnation, byte[] nonce) implements HandshakeMessage {}

    /**
     * Requests the proof of the client.
     *
     * @param nonce random bytes of the server
     */
    record Challenge(byte[] nonce) implements HandshakeMessage {}

    /**
     * Proves that the client knows the secret.
     *
     * @param proof HMAC over the identity of the client and both nonces
     */
    record Proof(byte[] proof) implements HandshakeMessage {}

    /**
     * Accepts the client and proves that the server knows the secret.
     *
     * @param name name of the server
     * @param proof HMAC over the name of the server and both nonces
     */
    record Welcome(String name, byte[] proof) implements HandshakeMessage {}
}
