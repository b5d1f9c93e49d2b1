package io.rosemarybeam.common.settings;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonStreamContext;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.exc.StreamConstraintsException;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import io.rosemarybeam.common.settings.JsonValue.ObjectValue;
import io.rosemarybeam.common.settings.JsonValue.Position;

/**
 * Parses JSON with comments into a tree of values with their positions in the text.
 *
 * <p>Invariant: no input causes an exception; every error is added as a finding. An instance reads one text; confined
 * to the call that created it.
 */
public final class JsonTreeReader {
    /** Maximum size of a file, in bytes: four bytes for each character. */
    public static final long MAXIMUM_BYTES = 8_000_000;

    /** Maximum length of a text, in characters; as UTF-8 it fits into one frame of the wire protocol. */
    public static final int MAXIMUM_CHARACTERS = 2_000_000;

    /** Maximum number of values in a text; each takes about 200 bytes while the text is read. */
    private static final int MAXIMUM_VALUES = 50_000;

    private static final int MAXIMUM_NESTING_DEPTH = 32;
    private static final int MAXIMUM_NUMBER_CHARACTERS = 100;
    private static final int MAXIMUM_STRING_CHARACTERS = 100_000;
    private static final int MAXIMUM_KEY_CHARACTERS = 1_000;
    private static final String REDACTED_SOURCE = "Source: REDACTED \\([^)]*\\); ";

    private static final JsonFactory FACTORY = JsonFactory.builder()
            .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
            .streamReadConstraints(StreamReadConstraints.builder()
                    .maxNestingDepth(MAXIMUM_NESTING_DEPTH)
                    .maxNumberLength(MAXIMUM_NUMBER_CHARACTERS)
                    .maxStringLength(MAXIMUM_STRING_CHARACTERS)
                    .maxNameLength(MAXIMUM_KEY_CHARACTERS)
                    .build())
            .build();

    private final JsonParser parser;
    private final Findings findings;
    private int valueCount;

    private JsonTreeReader(JsonParser parser, Findings findings) {
        this.parser = parser;
        this.findings = findings;
    }

    /**
     * Parses a text whose root is an object.
     *
     * @param text JSON with comments
     * @param findings receives syntax errors and duplicate keys
     * @return the root, or empty if the text cannot be parsed to its end
     */
    public static Optional<ObjectValue> read(String text, Findings findings) {
        if (text.length() > MAXIMUM_CHARACTERS) {
            findings.add(
                    Position.root(0, 1),
                    "the text has " + text.length() + " characters, more than " + MAXIMUM_CHARACTERS);
            return Optional.empty();
        }
        try (JsonParser parser = FACTORY.createParser(text)) {
            return new JsonTreeReader(parser, findings).readAll();
        } catch (IOException failure) {
            findings.add(Position.root(0, 1), "not readable: " + failure.getMessage());
            return Optional.empty();
        }
    }

    private Optional<ObjectValue> readAll() throws IOException {
        try {
            return readRoot();
        } catch (JsonProcessingException failure) {
            JsonLocation location = Optional.ofNullable(failure.getLocation()).orElseGet(parser::currentLocation);
            long offset = Math.max(0, location.getCharOffset());
            int line = Math.max(1, location.getLineNr());
            findings.add(positionOf(parser.getParsingContext(), offset, line), message(failure));
            return Optional.empty();
        }
    }

    private static String message(JsonProcessingException failure) {
        String kind = failure instanceof StreamConstraintsException ? "not accepted: " : "not valid JSON: ";
        return kind + String.valueOf(failure.getOriginalMessage()).replaceAll(REDACTED_SOURCE, "");
    }

    private static Position positionOf(JsonStreamContext context, long offset, int line) {
        if (context.inRoot() || context.getParent() == null) {
            return Position.root(offset, line);
        }
        Position parentPosition = positionOf(context.getParent(), offset, line);
        if (context.inObject() && context.hasCurrentName()) {
            return new Position(offset, line, Optional.of(parentPosition), context.getCurrentName());
        }
        if (context.inArray() && context.hasCurrentIndex()) {
            return new Position(offset, line, Optional.of(parentPosition), Integer.toString(context.getCurrentIndex()));
        }
        return parentPosition;
    }

    private Optional<ObjectValue> readRoot() throws IOException {
        JsonToken first = parser.nextToken();
        if (first == null) {
            findings.add(Position.root(0, 1), "the text is empty; an object is required");
            return Optional.empty();
        }
        JsonValue root = readValue(rootPosition());
        if (parser.nextToken() != null) {
            findings.add(rootPosition(), "nothing may follow the root object");
            return Optional.empty();
        }
        if (root instanceof ObjectValue object) {
            return Optional.of(object);
        }
        findings.add(root.position(), "must be an object, is " + root.typeName());
        return Optional.empty();
    }

    private Position rootPosition() {
        JsonLocation location = parser.currentTokenLocation();
        return Position.root(location.getCharOffset(), location.getLineNr());
    }

    private Position childPosition(Position parent, String name) {
        JsonLocation location = parser.currentTokenLocation();
        return new Position(location.getCharOffset(), location.getLineNr(), Optional.of(parent), name);
    }

    private JsonValue readValue(Position position) throws IOException {
        valueCount++;
        if (valueCount > MAXIMUM_VALUES) {
            throw new StreamConstraintsException(
                    "the text has more than " + MAXIMUM_VALUES + " values", parser.currentTokenLocation());
        }
        return switch (parser.currentToken()) {
            case START_OBJECT -> readObject(position);
            case START_ARRAY -> readArray(position);
            case VALUE_NUMBER_INT -> new JsonValue.NumberValue(position, parser.getText(), true);
            case VALUE_NUMBER_FLOAT -> new JsonValue.NumberValue(position, parser.getText(), false);
            case VALUE_TRUE, VALUE_FALSE -> new JsonValue.BooleanValue(position, parser.getBooleanValue());
            case VALUE_NULL -> new JsonValue.NullValue(position);
            default -> new JsonValue.StringValue(position, parser.getText());
        };
    }

    private ObjectValue readObject(Position position) throws IOException {
        Map<String, JsonValue> members = new LinkedHashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String key = parser.currentName();
            Position member = childPosition(position, key);
            parser.nextToken();
            JsonValue value = readValue(member);
            JsonValue earlier = members.putIfAbsent(key, value);
            if (earlier != null) {
                findings.add(
                        member,
                        "duplicate key, first on line " + earlier.position().line());
            }
        }
        return new ObjectValue(position, members);
    }

    private JsonValue readArray(Position position) throws IOException {
        List<JsonValue> elements = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            Position element = childPosition(position, Integer.toString(elements.size()));
            elements.add(readValue(element));
        }
        return new JsonValue.ArrayValue(position, elements);
    }
}
