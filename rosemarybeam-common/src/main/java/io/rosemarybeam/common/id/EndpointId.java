package io.rosemarybeam.common.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies an endpoint across its restarts.
 *
 * <p>Invariant: the value is not blank and has at most {@value TextIdentifier#MAXIMUM_LENGTH} characters. Immutable and
 * safe for use by several threads.
 *
 * @param value the text of the identifier
 */
@JsonFormat(shape = JsonFormat.Shape.ANY)
public record EndpointId(@JsonValue String value) implements Comparable<EndpointId> {
    /** @throws io.rosemarybeam.common.error.InvalidIdentifierException if the value is blank or too long */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public EndpointId {
        TextIdentifier.check("endpoint id", value);
    }

    public static EndpointId of(String value) {
        return new EndpointId(value);
    }

    @Override
    public int compareTo(EndpointId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
