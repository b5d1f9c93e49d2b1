package io.rosemarybeam.common.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of a failure domain, which is a set of hosts that a single fault can take down together.
 *
 * <p>Invariant: the value is not blank and has at most {@value TextIdentifier#MAXIMUM_LENGTH} characters. Immutable and
 * safe for use by several threads.
 *
 * @param value the text of the identifier
 */
@JsonFormat(shape = JsonFormat.Shape.ANY)
public record FailureDomain(@JsonValue String value) implements Comparable<FailureDomain> {
    /** @throws io.rosemarybeam.common.error.InvalidIdentifierException if the value is blank or too long */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public FailureDomain {
        TextIdentifier.check("failure domain", value);
    }

    public static FailureDomain of(String value) {
        return new FailureDomain(value);
    }

    @Override
    public int compareTo(FailureDomain other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
