package io.rosemarybeam.common.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Version of the weights of a service; later versions have larger numbers.
 *
 * <p>Invariant: the value is not negative. Immutable and safe for use by several threads.
 *
 * @param value the number
 */
@JsonFormat(shape = JsonFormat.Shape.ANY)
public record WeightVersion(@JsonValue long value) implements Comparable<WeightVersion> {
    /** @throws io.rosemarybeam.common.error.InvalidIdentifierException if the value is negative */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public WeightVersion {
        NumberIdentifier.check("weight version", value);
    }

    public static WeightVersion of(long value) {
        return new WeightVersion(value);
    }

    @Override
    public int compareTo(WeightVersion other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
