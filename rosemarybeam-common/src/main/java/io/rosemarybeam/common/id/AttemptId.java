package io.rosemarybeam.common.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies one attempt to run a request on an endpoint; the endpoint echoes it.
 *
 * <p>Invariant: the value is not blank and has at most {@value TextIdentifier#MAXIMUM_LENGTH} characters. Immutable and
 * safe for use by several threads.
 *
 * @param value the text of the identifier
 */
@JsonFormat(shape = JsonFormat.Shape.ANY)
public record AttemptId(@JsonValue String value) implements Comparable<AttemptId> {
    /** @throws io.rosemarybeam.common.error.InvalidIdentifierException if the value is blank or too long */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public AttemptId {
        TextIdentifier.check("attempt id", value);
    }

    public static AttemptId of(String value) {
        return new AttemptId(value);
    }

    @Override
    public int compareTo(AttemptId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
