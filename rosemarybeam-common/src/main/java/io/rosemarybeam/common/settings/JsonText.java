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
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import io.rosemarybeam.common.settings.JsonValue.ObjectValue;
import io.rosemarybeam.common.settings.JsonValue.Position;

/**
 * Reads JSON with comments into values that know their place.
 *
 * <p>Invariant: no input throws; whatever is wrong becomes a finding. Stateless and safe for use by several threads.
 */
public final class JsonText {
    /** Longest accepted file, in bytes; four bytes for each character. */
    public static final long MAXIMUM_BYTES = 8_000_000;

    /** Longest accepted text, in characters; as UTF-8 it fits into one frame of the wire protocol. */
    public static final int MAXIMUM_CHARACTERS = 2_000_000;

    private static final int MAXIMUM_DEPTH = 32;
    private static final int MAXIMUM_NUMBER_CHARACTERS = 100;
    private static final int MAXIMUM_STRING_CHARACTERS = 100_000;
    private static final int MAXIMUM_KEY_CHARACTERS = 1_000;
    private static final String HIDDEN_SOURCE = "Source: REDACTED \\([^)]*\\); ";

    private static final JsonFactory FACTORY = JsonFactory.builder()
            .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
            .streamReadConstraints(StreamReadConstraints.builder()
                    .maxNestingDepth(MAXIMUM_DEPTH)
                    .maxNumberLength(MAXIMUM_NUMBER_CHARACTERS)
                    .maxStringLength(MAXIMUM_STRING_CHARACTERS)
                    .maxNameLength(MAXIMUM_KEY_CHARACTERS)
                    .build())
            .build();

    private JsonText() {}

    /**
     * Reads a text whose root is an object.
     *
     * @param text JSON with comments
     * @param findings receives syntax errors and duplicate keys
     * @return the root, or empty if the text cannot be read to its end
     */
    public static Optional<ObjectValue> read(String text, Findings findings) {
        if (text.length() > MAXIMUM_CHARACTERS) {
            findings.add(
                    new Position(0, 1, "/"),
                    "the text has " + text.length() + " characters, more than " + MAXIMUM_CHARACTERS);
            return Optional.empty();
        }
        try (JsonParser parser = FACTORY.createParser(text)) {
            return readRoot(parser, findings);
        } catch (JsonProcessingException failure) {
            JsonLocation location = failure.getLocation();
            int line = location == null ? 1 : Math.max(1, location.getLineNr());
            long offset = location == null ? text.length() : Math.max(0, location.getCharOffset());
            findings.add(new Position(offset, line, path(failure)), "not valid JSON: " + message(failure));
            return Optional.empty();
        } catch (IOException failure) {
            findings.add(new Position(text.length(), 1, "/"), "not readable: " + failure.getMessage());
            return Optional.empty();
        }
    }

    private static String message(JsonProcessingException failure) {
        return String.valueOf(failure.getOriginalMessage()).replaceAll(HIDDEN_SOURCE, "");
    }

    private static String path(JsonProcessingException failure) {
        if (failure.getProcessor() instanceof JsonParser parser && !parser.isClosed()) {
            return shown(parser.getParsingContext().pathAsPointer().toString());
        }
        return "/";
    }

    private static String shown(String pointer) {
        return pointer.isEmpty() ? "/" : pointer;
    }

    private static Optional<ObjectValue> readRoot(JsonParser parser, Findings findings) throws IOException {
        JsonToken first = parser.nextToken();
        if (first == null) {
            findings.add(new Position(0, 1, "/"), "the text is empty; an object is required");
            return Optional.empty();
        }
        JsonValue root = readValue(parser, position(parser, ""), findings);
        if (parser.nextToken() != null) {
            findings.add(position(parser, ""), "nothing may follow the object");
            return Optional.empty();
        }
        if (root instanceof ObjectValue object) {
            return Optional.of(object);
        }
        findings.add(root.position(), "must be an object, is " + root.typeName());
        return Optional.empty();
    }

    private static Position position(JsonParser parser, String pointer) {
        JsonLocation location = parser.currentTokenLocation();
        return new Position(location.getCharOffset(), location.getLineNr(), shown(pointer));
    }

    private static JsonValue readValue(JsonParser parser, Position position, Findings findings) throws IOException {
        return switch (parser.currentToken()) {
            case START_OBJECT -> readObject(parser, position, findings);
            case START_ARRAY -> readArray(parser, position, findings);
            case VALUE_NUMBER_INT -> new JsonValue.NumberValue(position, parser.getText(), true);
            case VALUE_NUMBER_FLOAT -> new JsonValue.NumberValue(position, parser.getText(), false);
            case VALUE_TRUE, VALUE_FALSE -> new JsonValue.BooleanValue(position, parser.getBooleanValue());
            case VALUE_NULL -> new JsonValue.NullValue(position);
            default -> new JsonValue.TextValue(position, parser.getText());
        };
    }

    private static ObjectValue readObject(JsonParser parser, Position position, Findings findings) throws IOException {
        Map<String, JsonValue> members = new LinkedHashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String key = parser.currentName();
            Position member = position(parser, child(position, escape(key)));
            parser.nextToken();
            JsonValue value = readValue(parser, member, findings);
            JsonValue earlier = members.putIfAbsent(key, value);
            if (earlier != null) {
                findings.add(
                        member,
                        "duplicate key, first on line " + earlier.position().line());
            }
        }
        return new ObjectValue(position, members);
    }

    private static JsonValue readArray(JsonParser parser, Position position, Findings findings) throws IOException {
        List<JsonValue> elements = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            Position element = position(parser, child(position, Integer.toString(elements.size())));
            elements.add(readValue(parser, element, findings));
        }
        return new JsonValue.ArrayValue(position, elements);
    }

    private static String child(Position parent, String name) {
        return parent.path().equals("/") ? "/" + name : parent.path() + "/" + name;
    }

    private static String escape(String key) {
        return key.replace("~", "~0").replace("/", "~1");
    }
}
