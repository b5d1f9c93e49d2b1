package io.rosemarybeam.common.wire;

import java.util.Objects;

import io.rosemarybeam.common.wire.HandshakeMessage.Role;
import org.apache.commons.codec.digest.HmacAlgorithms;
import org.apache.commons.codec.digest.HmacUtils;

/**
 * Identity of a process and the secret that proves it. Immutable and safe for use by several threads.
 *
 * @param role role of the process
 * @param name its name
 * @param incarnation its incarnation
 * @param secret the cluster secret, or the operator token for operators
 */
public record Credentials(Role role, String name, long incarnation, String secret) {
    public Credentials {
        Objects.requireNonNull(role, "role");
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(secret, "secret");
    }

    static byte[] clientProof(String secret, HandshakeMessage.Hello hello, byte[] serverNonce) {
        String identity = "client|" + hello.role() + "|" + hello.name() + "|" + hello.incarnation();
        return digest(secret, identity, hello.nonce(), serverNonce);
    }

    static byte[] serverProof(String secret, String serverName, byte[] clientNonce, byte[] serverNonce) {
        return digest(secret, "server|" + serverName, clientNonce, serverNonce);
    }

    private static byte[] digest(String secret, String identity, byte[] clientNonce, byte[] serverNonce) {
        HmacUtils hmac = new HmacUtils(HmacAlgorithms.HMAC_SHA_256, secret);
        StringBuilder text = new StringBuilder(identity);
        text.append('|').append(org.apache.commons.codec.binary.Hex.encodeHexString(clientNonce));
        text.append('|').append(org.apache.commons.codec.binary.Hex.encodeHexString(serverNonce));
        return hmac.hmac(text.toString());
    }

    @Override
    public String toString() {
        return "Credentials[" + role + ", " + name + ", " + incarnation + "]";
    }
}
