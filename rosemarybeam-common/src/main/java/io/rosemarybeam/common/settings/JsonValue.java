package io.rosemarybeam.common.settings;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** A JSON value that knows where it stands in its text. Implementations are immutable and safe for use by several threads. */
public sealed interface JsonValue {
    /**
     * Returns where the value stands.
     *
     * @return the position; for the member of an object, that of its key
     */
    Position position();

    /**
     * Names the type for messages.
     *
     * @return for example {@code a text}
     */
    String typeName();

    /**
     * A place in a text.
     *
     * <p>Holds its parent and not its whole path: the paths of a large array below long keys would take thousands of
     * times the memory of the text.
     *
     * @param offset characters before it
     * @param line its line, from 1
     * @param parent the place of the object or array around it; empty for the root
     * @param name key or index within the parent
     */
    record Position(long offset, int line, Optional<Position> parent, String name) {
        /**
         * Returns the place of a whole text.
         *
         * @param offset characters before it
         * @param line its line, from 1
         * @return the place
         */
        static Position root(long offset, int line) {
            return new Position(offset, line, Optional.empty(), "");
        }

        /**
         * Returns the path.
         *
         * @return the JSON pointer; the root is {@code /}
         */
        public String path() {
            return parent.map(container -> container.parent().isEmpty() ? "" : container.path())
                            .orElse("") + "/" + name.replace("~", "~0").replace("/", "~1");
        }
    }

    /**
     * An object.
     *
     * @param position where it stands
     * @param members its members in order of the text
     */
    record ObjectValue(Position position, Map<String, JsonValue> members) implements JsonValue {
        /** Copies the members and keeps their order. */
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
     * @param position where it stands
     * @param elements its elements
     */
    record ArrayValue(Position position, List<JsonValue> elements) implements JsonValue {
        /** Copies the elements. */
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
     * @param position where it stands
     * @param value its content
     */
    record TextValue(Position position, String value) implements JsonValue {
        @Override
        public String typeName() {
            return "a text";
        }
    }

    /**
     * A number.
     *
     * @param position where it stands
     * @param literal the number as written
     * @param whole whether it is written without fraction and exponent
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
     * @param position where it stands
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
     * @param position where it stands
     */
    record NullValue(Position position) implements JsonValue {
        @Override
        public String typeName() {
            return "null";
        }
    }
}
