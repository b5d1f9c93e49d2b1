package io.rosemarybeam.common.configuration;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Random;

import io.rosemarybeam.common.settings.JsonValue;

/**
 * Renders a JSON tree with one member or element per line and comments between them, injects a fault at one member, and
 * records the line of the fault.
 *
 * <p>Not safe for use by several threads.
 */
final class RenderedText {
    private final StringBuilder text = new StringBuilder();
    private final String target;
    private final Fault fault;
    private final Random random;
    private int line = 1;
    private int targetLine;

    /** The fault to inject at the target. */
    enum Fault {
        /** Replace the value by null, which is of no accepted type. */
        WRONG_TYPE,
        /** Write the member twice. */
        DUPLICATE_KEY,
        /** Write an unknown member before it. */
        UNKNOWN_KEY
    }

    private RenderedText(String target, Fault fault, Random random) {
        this.target = target;
        this.fault = fault;
        this.random = random;
    }

    /** The rendered text and the line of the injected fault. */
    record Rendered(String text, int line) {}

    static Rendered render(JsonValue root, String target, Fault fault, long seed) {
        RenderedText rendered = new RenderedText(target, fault, new Random(seed));
        rendered.lineBreakAndComments();
        rendered.value(root);
        return new Rendered(rendered.text.toString(), rendered.targetLine);
    }

    /** Lists the paths of all members below a value; elements of arrays are omitted. */
    static List<String> memberPaths(JsonValue value) {
        List<String> paths = new ArrayList<>();
        if (value instanceof JsonValue.ObjectValue object) {
            for (JsonValue member : object.members().values()) {
                paths.add(member.position().path());
                paths.addAll(memberPaths(member));
            }
        } else if (value instanceof JsonValue.ArrayValue array) {
            array.elements().forEach(element -> paths.addAll(memberPaths(element)));
        }
        return paths;
    }

    private void value(JsonValue value) {
        switch (value) {
            case JsonValue.ObjectValue object -> object(object);
            case JsonValue.ArrayValue array -> array(array);
            case JsonValue.StringValue string ->
                text.append('"').append(string.value()).append('"');
            case JsonValue.NumberValue number -> text.append(number.literal());
            case JsonValue.BooleanValue flag -> text.append(flag.value());
            case JsonValue.NullValue nothing -> text.append("null");
        }
    }

    private void object(JsonValue.ObjectValue object) {
        text.append('{');
        lineBreakAndComments();
        Iterator<Map.Entry<String, JsonValue>> members =
                object.members().entrySet().iterator();
        while (members.hasNext()) {
            Map.Entry<String, JsonValue> member = members.next();
            if (member.getValue().position().path().equals(target)) {
                memberWithFault(member.getKey(), member.getValue());
            } else {
                key(member.getKey());
                value(member.getValue());
            }
            text.append(members.hasNext() ? "," : "");
            lineBreakAndComments();
        }
        text.append('}');
    }

    private void memberWithFault(String key, JsonValue value) {
        if (fault == Fault.UNKNOWN_KEY) {
            targetLine = line;
            text.append("\"colour\": {\"red\": [1, \"x\"]},");
            lineBreakAndComments();
            key(key);
            value(value);
            return;
        }
        if (fault == Fault.DUPLICATE_KEY) {
            key(key);
            value(value);
            text.append(',');
            lineBreakAndComments();
            targetLine = line;
            key(key);
            value(value);
            return;
        }
        targetLine = line;
        key(key);
        text.append("null");
    }

    private void key(String key) {
        text.append('"').append(key).append("\": ");
    }

    private void array(JsonValue.ArrayValue array) {
        text.append('[');
        lineBreakAndComments();
        for (int index = 0; index < array.elements().size(); index++) {
            value(array.elements().get(index));
            text.append(index + 1 < array.elements().size() ? "," : "");
            lineBreakAndComments();
        }
        text.append(']');
    }

    /**
     * Ends the line and writes up to two lines of comments, whose content a parser that does not skip comments would
     * take for JSON.
     */
    private void lineBreakAndComments() {
        String[] fillers = {"", "// { \"number\": é\n", "/* \"a\":\n , */\n", "\r\n", "\t \n"};
        text.append('\n');
        line++;
        for (int count = random.nextInt(3); count > 0; count--) {
            String filler = fillers[random.nextInt(fillers.length)];
            text.append(filler);
            line += (int) filler.chars().filter(character -> character == '\n').count();
        }
    }
}
