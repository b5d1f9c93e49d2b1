package io.rosemarybeam.cli;

import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.util.DefaultIndenter;
import com.fasterxml.jackson.core.util.DefaultPrettyPrinter;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectWriter;
import io.rosemarybeam.common.error.RosemarybeamException;

/**
 * Where a command writes.
 *
 * <p>Invariant: results go to standard output, failures to standard error. Not safe for use by several threads.
 *
 * @param out standard output
 * @param err standard error
 */
record Console(PrintStream out, PrintStream err) {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final ObjectWriter PRETTY = MAPPER.writer(new DefaultPrettyPrinter()
            .withObjectIndenter(new DefaultIndenter("  ", "\n"))
            .withArrayIndenter(new DefaultIndenter("  ", "\n")));

    /**
     * Prints a line of the result.
     *
     * @param text the line
     */
    void print(String text) {
        out.print(text + "\n");
    }

    /**
     * Prints a text as it is.
     *
     * @param text the text; a missing line end is added
     */
    void printText(String text) {
        out.print(text.endsWith("\n") ? text : text + "\n");
    }

    /**
     * Prints a result as indented JSON.
     *
     * @param value maps, lists, texts, numbers, or a JSON tree
     */
    void printJson(Object value) {
        try {
            out.print(PRETTY.writeValueAsString(value) + "\n");
        } catch (JsonProcessingException failure) {
            throw new IllegalArgumentException("value cannot be written as JSON", failure);
        }
    }

    /**
     * Prints a line for the operator that is no result.
     *
     * @param text the line
     */
    void printNote(String text) {
        err.print(text + "\n");
    }

    /**
     * Prints a failure.
     *
     * @param failure what failed
     * @param json whether a script reads it
     */
    void printFailure(RosemarybeamException failure, boolean json) {
        if (!json) {
            printNote("rosemarybeam: " + failure.getMessage());
            return;
        }
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("code", failure.code().label());
        fields.put("name", failure.code().name());
        fields.put("message", failure.getMessage());
        try {
            printNote(MAPPER.writeValueAsString(Map.of("error", fields)));
        } catch (JsonProcessingException unwritable) {
            printNote("rosemarybeam: " + failure.getMessage());
        }
    }

    /**
     * Reads a JSON document that a control host sent.
     *
     * @param json the document
     * @return its tree; a text that is no JSON becomes a tree of one text
     */
    static JsonNode parseJson(String json) {
        try {
            return MAPPER.readTree(json);
        } catch (JsonProcessingException malformed) {
            return MAPPER.getNodeFactory().textNode(json);
        }
    }
}
