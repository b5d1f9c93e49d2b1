package io.rosemarybeam.common.settings;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** A JSON value with its position in the text. Implementations are immutable and safe for use by several threads. */
public sealed interface JsonValue {
    /** Returns the position of the value; for a member of an object, that of its key. */
    Position position();

    /**
     * Returns the name of the type for messages.
     *
     * @return for example {@code a text}
     */
    String typeName();

    /**
     * A position in a text.
     *
     * <p>Stores its parent instead of its full path, because the paths of a large array below long keys would take
     * thousands of times the memory of the text.
     *
     * @param offset number of characters before it
     * @param line line number, starting at 1
     * @param parent position of the object or array that contains it; empty for the root
     * @param name key or index within the parent
     */
    record Position(long offset, int line, Optional<Position> parent, String name) {
        /**
         * Returns the position of a root value.
         *
         * @param offset number of characters before it
         * @param line line number, starting at 1
         * @return the position
         */
        static Position root(long offset, int line) {
            return new Position(offset, line, Optional.empty(), "");
        }

        /** Returns the JSON pointer; that of the root is {@code /}. */
        public String path() {
            return parent.map(container -> container.parent().isEmpty() ? "" : container.path())
                            .orElse("") + "/" + name.replace("~", "~0").replace("/", "~1");
        }
    }

    /**
     * An object.
     *
     * @param position its position in the text
     * @param members its members in the order of the text
     */
    record ObjectValue(Position position, Map<String, JsonValue> members) implements JsonValue {
        /** Copies the members and preserves their order. */
        public ObjectValue {
            members = Collections.unmodifiableMap(new LinkedHashMap<>(members));
        }

        @Override
        public String typeName() {
            return "an object";
        }
    }

    /**
     * An array.
     *
     * @param position its position in the text
     * @param elements its elements
     */
    record ArrayValue(Position position, List<JsonValue> elements) implements JsonValue {
        public ArrayValue {
            elements = List.copyOf(elements);
        }

        @Override
        public String typeName() {
            return "an array";
        }
    }

    /**
     * A string.
     *
     * @param position its position in the text
     * @param value its content
     */
    record StringValue(Position position, String value) implements JsonValue {
        @Override
        public String typeName() {
            return "a text";
        }
    }

    /**
     * A number.
     *
     * @param position its position in the text
     * @param literal the number as written
     * @param whole whether it is an integer, written without fraction and exponent
     */
    record NumberValue(Position position, String literal, boolean whole) implements JsonValue {
        @Override
        public String typeName() {
            return whole ? "a whole number" : "a fractional number";
        }
    }

    /**
     * True or false.
     *
     * @param position its position in the text
     * @param value the value
     */
    record BooleanValue(Position position, boolean value) implements JsonValue {
        @Override
        public String typeName() {
            return "a boolean";
        }
    }

    /**
     * Null.
     *
     * @param position its position in the text
     */
    record NullValue(Position position) implements JsonValue {
        @Override
        public String typeName() {
            return "null";
        }
    }
}
