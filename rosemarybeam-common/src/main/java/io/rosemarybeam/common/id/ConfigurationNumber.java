package io.rosemarybeam.common.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The number of an operator configuration; later configurations have larger numbers.
 *
 * <p>Invariant: the value is not negative. Immutable and safe for use by several threads.
 *
 * @param value the number
 */
@JsonFormat(shape = JsonFormat.Shape.ANY)
public record ConfigurationNumber(@JsonValue long value) implements Comparable<ConfigurationNumber> {
    /** @throws io.rosemarybeam.common.error.InvalidIdentifierException if the value is negative */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public ConfigurationNumber {
        NumberIdentifier.check("configuration number", value);
    }

    public static ConfigurationNumber of(long value) {
        return new ConfigurationNumber(value);
    }

    @Override
    public int compareTo(ConfigurationNumber other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
