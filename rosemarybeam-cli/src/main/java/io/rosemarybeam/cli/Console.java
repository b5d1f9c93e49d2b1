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
 * Output of a command.
 *
 * <p>Invariant: results go to standard output, notes and failures to standard error. Not safe for use by several threads.
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
     * Prints a result text unchanged.
     *
     * @param text the text; a newline is added if it does not end with one
     */
    void printText(String text) {
        out.print(text.endsWith("\n") ? text : text + "\n");
    }

    /**
     * Prints a result as indented JSON.
     *
     * @param value maps, lists, strings, numbers, or a JSON tree
     */
    void printJson(Object value) {
        try {
            out.print(PRETTY.writeValueAsString(value) + "\n");
        } catch (JsonProcessingException failure) {
            throw new IllegalArgumentException("value cannot be written as JSON", failure);
        }
    }

    /**
     * Prints a line that is not part of the result to standard error.
     *
     * @param text the line
     */
    void printNote(String text) {
        err.print(text + "\n");
    }

    /**
     * Prints a failure to standard error.
     *
     * @param failure the failure
     * @param json whether to print it as JSON
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
     * Parses a JSON document that a host sent.
     *
     * @param json the document
     * @return its tree; a document that is not valid JSON becomes a single text node
     */
    static JsonNode parseJson(String json) {
        try {
            return MAPPER.readTree(json);
        } catch (JsonProcessingException malformed) {
            return MAPPER.getNodeFactory().textNode(json);
        }
    }
}
