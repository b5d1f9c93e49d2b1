package io.rosemarybeam.common.wire;

/** Messages exchanged before a connection is trusted. Immutable and safe for use by several threads. */
public sealed interface HandshakeMessage extends Message {
    /** What a connecting process is. */
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
     * @param role what the client is
     * @param name name of the client
     * @param incarnation incarnation of the client
     * @param nonce random bytes of the client
     */
    record Hello(Role role, String name, long incarnation, byte[] nonce) implements HandshakeMessage {}

    /**
     * Asks the client for its proof.
     *
     * @param nonce random bytes of the server
     */
    record Challenge(byte[] nonce) implements HandshakeMessage {}

    /**
     * Proves that the client knows the secret.
     *
     * @param proof keyed digest over the identity of the client and both nonces
     */
    record Proof(byte[] proof) implements HandshakeMessage {}

    /**
     * Accepts the client and proves that the server knows the secret.
     *
     * @param name name of the server
     * @param proof keyed digest over the name of the server and both nonces
     */
    record Welcome(String name, byte[] proof) implements HandshakeMessage {}
}
