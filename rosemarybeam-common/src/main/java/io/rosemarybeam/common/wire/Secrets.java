package io.rosemarybeam.common.wire;

import java.util.Optional;

import io.rosemarybeam.common.wire.HandshakeMessage.Role;

/**
 * The secrets that a server accepts. Immutable and safe for use by several threads.
 *
 * @param clusterSecret secret of control and entry processes
 * @param operatorToken token of operators; empty if operators are not accepted
 */
public record Secrets(String clusterSecret, Optional<String> operatorToken) {
    /**
     * Returns the secret for a role.
     *
     * @param role the role that a client states in its handshake
     * @return the secret, or empty if clients of this role are not accepted
     */
    public Optional<String> forRole(Role role) {
        return switch (role) {
            case CONTROL, ENTRY -> Optional.of(clusterSecret);
            case OPERATOR -> operatorToken;
        };
    }

    @Override
    public String toString() {
        return "Secrets[]";
    }
}
