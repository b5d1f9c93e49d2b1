package io.rosemarybeam.control;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.Objects;
import java.util.Optional;

import io.rosemarybeam.consensus.MemberId;
import org.apache.commons.codec.digest.HmacAlgorithms;
import org.apache.commons.codec.digest.HmacUtils;

/**
 * States that the process of a leader runs although its event loop is stalled. Immutable and safe for use by several threads.
 *
 * @param leader the leader
 * @param term the term in which it leads
 */
public record KeepAliveMessage(MemberId leader, long term) {
    public KeepAliveMessage {
        Objects.requireNonNull(leader, "leader");
    }

    /**
     * Encodes messages as datagrams: a version, term and incarnation, the name, and a digest with the cluster secret. A
     * datagram of another version or with another digest is refused. Confined to one thread for encoding and one for decoding.
     */
    static final class Codec {
        private static final byte VERSION = 1;
        private static final int DIGEST_BYTES = 32;
        private static final int FIXED_BYTES = 1 + 2 * Long.BYTES;

        private final HmacUtils hmac;

        /** The last valid datagram; a leader repeats the same one during a stall. */
        private byte[] lastDatagram = {};

        private Optional<KeepAliveMessage> lastMessage = Optional.empty();

        Codec(String secret) {
            this.hmac = new HmacUtils(HmacAlgorithms.HMAC_SHA_256, secret);
        }

        byte[] encode(KeepAliveMessage message) {
            byte[] name = message.leader.name().getBytes(StandardCharsets.UTF_8);
            byte[] content = ByteBuffer.allocate(FIXED_BYTES + name.length)
                    .put(VERSION)
                    .putLong(message.term)
                    .putLong(message.leader.incarnation())
                    .put(name)
                    .array();
            return ByteBuffer.allocate(content.length + DIGEST_BYTES)
                    .put(content)
                    .put(hmac.hmac(content))
                    .array();
        }

        Optional<KeepAliveMessage> decode(byte[] datagram) {
            if (lastMessage.isPresent() && Arrays.equals(datagram, lastDatagram)) {
                return lastMessage;
            }
            int contentBytes = datagram.length - DIGEST_BYTES;
            if (contentBytes <= FIXED_BYTES || datagram[0] != VERSION) {
                return Optional.empty();
            }
            byte[] content = Arrays.copyOf(datagram, contentBytes);
            byte[] digest = Arrays.copyOfRange(datagram, contentBytes, datagram.length);
            if (!MessageDigest.isEqual(digest, hmac.hmac(content))) {
                return Optional.empty();
            }
            ByteBuffer fields = ByteBuffer.wrap(content, 1, contentBytes - 1);
            long term = fields.getLong();
            long incarnation = fields.getLong();
            String name = new String(content, FIXED_BYTES, contentBytes - FIXED_BYTES, StandardCharsets.UTF_8);
            lastDatagram = datagram;
            lastMessage = Optional.of(new KeepAliveMessage(new MemberId(name, incarnation), term));
            return lastMessage;
        }
    }
}
