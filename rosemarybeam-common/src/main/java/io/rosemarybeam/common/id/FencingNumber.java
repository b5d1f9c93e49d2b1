package io.rosemarybeam.common.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Orders the issuers of orders to endpoints; an endpoint that checks it refuses a smaller number.
 *
 * <p>Invariant: the value is not negative. Immutable and safe for use by several threads.
 *
 * @param value the number
 */
@JsonFormat(shape = JsonFormat.Shape.ANY)
public record FencingNumber(@JsonValue long value) implements Comparable<FencingNumber> {
    /**
     * Checks the value.
     *
     * @throws io.rosemarybeam.common.error.InvalidIdentifierException if the value is negative
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public FencingNumber {
        NumberIdentifier.check("fencing number", value);
    }

    /**
     * Returns the identifier with the given number.
     *
     * @param value the number
     * @return the identifier
     */
    public static FencingNumber of(long value) {
        return new FencingNumber(value);
    }

    @Override
    public int compareTo(FencingNumber other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
