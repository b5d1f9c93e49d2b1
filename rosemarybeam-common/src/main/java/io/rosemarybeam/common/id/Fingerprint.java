package io.rosemarybeam.common.id;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonValue;
import org.apache.commons.codec.binary.Hex;
import org.apache.commons.codec.digest.DigestUtils;

/**
 * Digest of the target and the body of a request, equal for every resend of that request.
 *
 * <p>Invariant: the value is not blank and has at most {@value TextIdentifier#MAXIMUM_LENGTH} characters. Immutable and
 * safe for use by several threads.
 *
 * @param value the text of the identifier
 */
@JsonFormat(shape = JsonFormat.Shape.ANY)
public record Fingerprint(@JsonValue String value) implements Comparable<Fingerprint> {
    /** @throws io.rosemarybeam.common.error.InvalidIdentifierException if the value is blank or too long */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public Fingerprint {
        TextIdentifier.check("fingerprint", value);
    }

    public static Fingerprint of(String value) {
        return new Fingerprint(value);
    }

    /**
     * Computes the fingerprint of a request.
     *
     * @param target the service or host that the request is for
     * @param call method and path, as far as they distinguish requests with the same body
     * @param body body of the request
     * @return the fingerprint
     */
    public static Fingerprint ofRequest(String target, String call, byte[] body) {
        MessageDigest digest = DigestUtils.getSha256Digest();
        digest.update(target.getBytes(StandardCharsets.UTF_8));
        digest.update((byte) 0);
        digest.update(call.getBytes(StandardCharsets.UTF_8));
        digest.update((byte) 0);
        return of(Hex.encodeHexString(digest.digest(body)));
    }

    @Override
    public int compareTo(Fingerprint other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
