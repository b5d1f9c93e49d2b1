package io.rosemarybeam.common.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Digest of a service name and a request body, equal for every resend of that request.
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

    @Override
    public int compareTo(Fingerprint other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
