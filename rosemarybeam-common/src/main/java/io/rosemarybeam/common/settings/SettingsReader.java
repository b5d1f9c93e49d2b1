package io.rosemarybeam.common.settings;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Function;

import io.rosemarybeam.common.error.InvalidIdentifierException;
import io.rosemarybeam.common.settings.JsonValue.ArrayValue;
import io.rosemarybeam.common.settings.JsonValue.NumberValue;
import io.rosemarybeam.common.settings.JsonValue.ObjectValue;
import io.rosemarybeam.common.settings.JsonValue.Position;
import io.rosemarybeam.common.settings.JsonValue.StringValue;

/**
 * Reads the members of one JSON object and validates their types and ranges.
 *
 * <p>Invariant: an invalid member is added as a finding with line and path and never causes an exception; the reader
 * then returns a placeholder value, so that all findings are reported together. After reading all keys, a caller calls
 * {@link #reportUnknownKeys()}. Not safe for use by several threads.
 */
public final class SettingsReader {
    private final ObjectValue object;
    private final Findings findings;
    private final TreeSet<String> knownKeys = new TreeSet<>();

    private SettingsReader(ObjectValue object, Findings findings) {
        this.object = object;
        this.findings = findings;
    }

    /**
     * Returns a reader of an object.
     *
     * @param object the object
     * @param findings receives the violations
     * @return the reader
     */
    public static SettingsReader of(ObjectValue object, Findings findings) {
        return new SettingsReader(object, findings);
    }

    /**
     * Returns whether the object has a member.
     *
     * @param key its key
     * @return true if it is present, whatever its type
     */
    public boolean has(String key) {
        knownKeys.add(key);
        return object.members().containsKey(key);
    }

    /**
     * Returns the position of a member.
     *
     * @param key its key
     * @return its position, or that of the object if the member is missing
     */
    public Position positionOf(String key) {
        JsonValue value = object.members().get(key);
        return value == null ? object.position() : value.position();
    }

    /**
     * Adds a violation.
     *
     * @param key key of the invalid member
     * @param message the rule and the value found
     */
    public void report(String key, String message) {
        findings.add(positionOf(key), message);
    }

    /** Reports every member whose key has not been read. */
    public void reportUnknownKeys() {
        for (Map.Entry<String, JsonValue> member : object.members().entrySet()) {
            if (!knownKeys.contains(member.getKey())) {
                findings.add(
                        member.getValue().position(), "unknown key; known keys are " + String.join(", ", knownKeys));
            }
        }
    }

    private Optional<JsonValue> find(String key) {
        knownKeys.add(key);
        return Optional.ofNullable(object.members().get(key));
    }

    private Optional<JsonValue> require(String key) {
        Optional<JsonValue> value = find(key);
        if (value.isEmpty()) {
            findings.add(object.position(), "key \"" + key + "\" is missing");
        }
        return value;
    }

    private <T extends JsonValue> Optional<T> requireType(JsonValue value, Class<T> type, String typeName) {
        if (type.isInstance(value)) {
            return Optional.of(type.cast(value));
        }
        findings.add(value.position(), "must be " + typeName + ", is " + value.typeName());
        return Optional.empty();
    }

    /**
     * Reads a required string.
     *
     * @param key its key
     * @return the string, or empty if it is missing or of another type
     */
    public Optional<String> string(String key) {
        return require(key).flatMap(this::stringOf);
    }

    /**
     * Reads an optional string.
     *
     * @param key its key
     * @return the string, or empty if it is absent or of another type
     */
    public Optional<String> optionalString(String key) {
        return find(key).flatMap(this::stringOf);
    }

    private Optional<String> stringOf(JsonValue value) {
        return requireType(value, StringValue.class, "a text").map(StringValue::value);
    }

    /**
     * Reads an optional array of strings.
     *
     * @param key its key
     * @return the strings; empty if the array is absent, null or of another type
     */
    public List<String> texts(String key) {
        return find(key).filter(value -> !(value instanceof JsonValue.NullValue)).flatMap(this::elementsOf).stream()
                .flatMap(List::stream)
                .flatMap(value -> stringOf(value).stream())
                .toList();
    }

    /**
     * Reads a required string and converts it.
     *
     * @param key its key
     * @param conversion throws {@link InvalidIdentifierException} or {@link IllegalArgumentException} to reject it
     * @param <T> the type of the result
     * @return the result, or empty if the string is missing or rejected
     */
    public <T> Optional<T> converted(String key, Function<String, T> conversion) {
        return require(key).flatMap(value -> converted(value, conversion));
    }

    /**
     * Converts a string.
     *
     * @param value the string
     * @param conversion throws {@link InvalidIdentifierException} or {@link IllegalArgumentException} to reject it
     * @param <T> the type of the result
     * @return the result, or empty if the value is not a string or is rejected
     */
    public <T> Optional<T> converted(JsonValue value, Function<String, T> conversion) {
        return stringOf(value).flatMap(text -> {
            try {
                return Optional.of(conversion.apply(text));
            } catch (InvalidIdentifierException | IllegalArgumentException rejection) {
                findings.add(value.position(), rejection.getMessage());
                return Optional.empty();
            }
        });
    }

    /**
     * Reads an optional array of distinct strings and converts them.
     *
     * @param key its key
     * @param conversion rejects a string as in {@link #converted(String, Function)}
     * @param <T> the type of the elements
     * @return the elements with their positions, empty if the array is absent; invalid elements are omitted
     */
    public <T> Map<T, Position> distinct(String key, Function<String, T> conversion) {
        return distinct(elements(key), conversion);
    }

    /**
     * Converts distinct strings.
     *
     * @param values the strings
     * @param conversion rejects a string as in {@link #converted(String, Function)}
     * @param <T> the type of the elements
     * @return the elements with their positions; invalid elements are omitted
     */
    public <T> Map<T, Position> distinct(List<JsonValue> values, Function<String, T> conversion) {
        Map<T, Position> elements = new LinkedHashMap<>();
        for (JsonValue element : values) {
            converted(element, conversion).ifPresent(converted -> {
                Position earlier = elements.putIfAbsent(converted, element.position());
                if (earlier != null) {
                    findings.add(
                            element.position(), "\"" + converted + "\" is listed already on line " + earlier.line());
                }
            });
        }
        return elements;
    }

    /**
     * Reads a required whole number.
     *
     * @param key its key
     * @param minimum smallest accepted number
     * @param maximum largest accepted number
     * @return the number, or the minimum if it is missing or invalid
     */
    public long wholeNumber(String key, long minimum, long maximum) {
        return require(key)
                .map(value -> wholeNumber(value, minimum, maximum, minimum))
                .orElse(minimum);
    }

    /**
     * Reads an optional whole number.
     *
     * @param key its key
     * @param minimum smallest accepted number
     * @param maximum largest accepted number
     * @param fallback the number if it is absent or invalid
     * @return the number
     */
    public long wholeNumber(String key, long minimum, long maximum, long fallback) {
        return find(key)
                .map(value -> wholeNumber(value, minimum, maximum, fallback))
                .orElse(fallback);
    }

    /**
     * Reads an optional whole number that fits an int.
     *
     * @param key its key
     * @param minimum smallest accepted number
     * @param maximum largest accepted number
     * @param fallback the number if it is absent or invalid
     * @return the number
     */
    public int integer(String key, int minimum, int maximum, int fallback) {
        return Math.toIntExact(wholeNumber(key, minimum, maximum, (long) fallback));
    }

    /**
     * Validates a whole number.
     *
     * @param value the number
     * @param minimum smallest accepted number
     * @param maximum largest accepted number
     * @param fallback the number if the value is invalid
     * @return the number
     */
    public long wholeNumber(JsonValue value, long minimum, long maximum, long fallback) {
        Optional<NumberValue> number = requireType(value, NumberValue.class, "a whole number");
        if (number.isEmpty()) {
            return fallback;
        }
        if (!number.get().whole()) {
            findings.add(
                    value.position(),
                    "must be a whole number, is " + number.get().literal());
            return fallback;
        }
        try {
            long parsed = Long.parseLong(number.get().literal());
            if (parsed >= minimum && parsed <= maximum) {
                return parsed;
            }
        } catch (NumberFormatException beyondLong) {
            // Reported below like any other number out of range.
        }
        findings.add(
                value.position(),
                "must be from " + minimum + " to " + maximum + ", is "
                        + number.get().literal());
        return fallback;
    }

    /**
     * Reads a required boolean.
     *
     * @param key its key
     * @return the value, or false if it is missing or of another type
     */
    public boolean flag(String key) {
        return require(key)
                .flatMap(value -> requireType(value, JsonValue.BooleanValue.class, "true or false"))
                .map(JsonValue.BooleanValue::value)
                .orElse(false);
    }

    /**
     * Reads a required number.
     *
     * @param key its key
     * @param minimum smallest accepted number
     * @param maximum largest accepted number
     * @return the number, or the maximum if it is missing or invalid
     */
    public double number(String key, double minimum, double maximum) {
        Optional<NumberValue> number = require(key).flatMap(value -> requireType(value, NumberValue.class, "a number"));
        if (number.isEmpty()) {
            return maximum;
        }
        double parsed = Double.parseDouble(number.get().literal());
        if (parsed >= minimum && parsed <= maximum) {
            return parsed;
        }
        report(
                key,
                "must be from " + minimum + " to " + maximum + ", is "
                        + number.get().literal());
        return maximum;
    }

    /**
     * Reads an optional array.
     *
     * @param key its key
     * @return the elements, empty if the array is absent or of another type
     */
    public List<JsonValue> elements(String key) {
        return find(key).flatMap(this::elementsOf).orElse(List.of());
    }

    /**
     * Reads a required array.
     *
     * @param key its key
     * @return the elements, or empty if the array is missing or of another type
     */
    public Optional<List<JsonValue>> requiredElements(String key) {
        return require(key).flatMap(this::elementsOf);
    }

    private Optional<List<JsonValue>> elementsOf(JsonValue value) {
        return requireType(value, ArrayValue.class, "an array").map(ArrayValue::elements);
    }

    /**
     * Reads an optional object.
     *
     * @param key its key
     * @return a reader of it, or empty if it is absent or of another type
     */
    public Optional<SettingsReader> object(String key) {
        return find(key).flatMap(this::objectOf);
    }

    /**
     * Reads a required object.
     *
     * @param key its key
     * @return a reader of it, or empty if it is missing or of another type
     */
    public Optional<SettingsReader> requiredObject(String key) {
        return require(key).flatMap(this::objectOf);
    }

    /**
     * Checks that a value is an object.
     *
     * @param value the value
     * @return a reader of it, or empty if it is of another type
     */
    public Optional<SettingsReader> objectOf(JsonValue value) {
        return requireType(value, ObjectValue.class, "an object").map(found -> new SettingsReader(found, findings));
    }

    /**
     * Reads all members as a map, so that none is reported as unknown.
     *
     * @param keyConversion rejects a key as in {@link #converted(String, Function)}
     * @param <K> the type of the keys
     * @return the members with accepted keys, in the order of the text
     */
    public <K> Map<K, JsonValue> members(Function<String, K> keyConversion) {
        Map<K, JsonValue> converted = new LinkedHashMap<>();
        object.members().forEach((key, value) -> {
            knownKeys.add(key);
            try {
                converted.put(keyConversion.apply(key), value);
            } catch (InvalidIdentifierException | IllegalArgumentException rejection) {
                findings.add(value.position(), rejection.getMessage());
            }
        });
        return converted;
    }

    /**
     * Reports every duplicate value.
     *
     * @param values values with their positions, in the order of the text
     * @param kind name of the kind of value, for the message
     * @param <T> the type of the values
     */
    public <T> void reportDuplicates(List<Map.Entry<T, Position>> values, String kind) {
        Map<T, Position> seen = new HashMap<>();
        for (Map.Entry<T, Position> value : new ArrayList<>(values)) {
            Position earlier = seen.putIfAbsent(value.getKey(), value.getValue());
            if (earlier != null) {
                findings.add(
                        value.getValue(),
                        kind + " \"" + value.getKey() + "\" is used already on line " + earlier.line());
            }
        }
    }
}
