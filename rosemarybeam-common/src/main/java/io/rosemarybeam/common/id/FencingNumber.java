package io.rosemarybeam.common.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Fencing number of the process that sends orders to endpoints. Every new issuer has a larger number; an endpoint that
 * checks it refuses orders with a smaller number than it has seen.
 *
 * <p>Invariant: the value is not negative. Immutable and safe for use by several threads.
 *
 * @param value the number
 */
@JsonFormat(shape = JsonFormat.Shape.ANY)
public record FencingNumber(@JsonValue long value) implements Comparable<FencingNumber> {
    /** @throws io.rosemarybeam.common.error.InvalidIdentifierException if the value is negative */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public FencingNumber {
        NumberIdentifier.check("fencing number", value);
    }

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
