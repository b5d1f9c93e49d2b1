package io.rosemarybeam.cli;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Formats a JSON document as plain text: lists of objects as tables, everything else as lines of key and value.
 *
 * <p>No key is treated specially, so a newer control host may add keys. Stateless and safe for use by several threads.
 */
final class PlainTextFormatter {
    private static final String INDENTATION = "  ";

    private PlainTextFormatter() {}

    /**
     * Formats a document.
     *
     * @param tree the document
     * @return lines, each terminated by a newline
     */
    static String format(JsonNode tree) {
        StringBuilder text = new StringBuilder();
        if (tree.isObject()) {
            appendMembers(text, tree, "");
        } else {
            text.append(cell(tree)).append('\n');
        }
        return text.toString();
    }

    private static void appendMembers(StringBuilder text, JsonNode object, String indentation) {
        for (Map.Entry<String, JsonNode> member : object.properties()) {
            JsonNode value = member.getValue();
            text.append(indentation).append(member.getKey()).append(':');
            if (isTable(value)) {
                text.append('\n');
                appendTable(text, value, indentation + INDENTATION);
            } else if (value.isObject() && !value.isEmpty()) {
                text.append('\n');
                appendMembers(text, value, indentation + INDENTATION);
            } else {
                text.append(' ').append(cell(value)).append('\n');
            }
        }
    }

    private static boolean isTable(JsonNode value) {
        if (!value.isArray() || value.isEmpty()) {
            return false;
        }
        for (JsonNode row : value) {
            if (!row.isObject()) {
                return false;
            }
        }
        return true;
    }

    private static void appendTable(StringBuilder text, JsonNode rows, String indentation) {
        Set<String> columns = new LinkedHashSet<>();
        rows.forEach(row -> row.fieldNames().forEachRemaining(columns::add));
        List<List<String>> lines = new ArrayList<>();
        lines.add(List.copyOf(columns));
        for (JsonNode row : rows) {
            lines.add(columns.stream()
                    .map(column -> row.has(column) ? cell(row.get(column)) : "-")
                    .toList());
        }
        text.append(formatTable(lines, indentation));
    }

    /**
     * Formats a table with left-aligned columns.
     *
     * @param lines the cells of each line; all lines have the same number of cells
     * @param indentation prefix of each line
     * @return lines, each terminated by a newline
     */
    static String formatTable(List<List<String>> lines, String indentation) {
        int columns = lines.getFirst().size();
        int[] widths = new int[columns];
        for (List<String> line : lines) {
            for (int column = 0; column < columns; column++) {
                widths[column] = Math.max(widths[column], line.get(column).length());
            }
        }
        StringBuilder text = new StringBuilder();
        for (List<String> line : lines) {
            StringBuilder row = new StringBuilder(indentation);
            for (int column = 0; column < columns; column++) {
                String cell = line.get(column);
                row.append(cell).append(" ".repeat(widths[column] - cell.length() + INDENTATION.length()));
            }
            text.append(row.toString().stripTrailing()).append('\n');
        }
        return text.toString();
    }

    private static String cell(JsonNode value) {
        if (value.isNull() || value.isMissingNode()) {
            return "-";
        }
        if (value.isArray() && !isTable(value)) {
            List<String> elements = new ArrayList<>();
            value.forEach(element -> elements.add(cell(element)));
            return elements.isEmpty() ? "none" : String.join(", ", elements);
        }
        if (value.isContainerNode()) {
            return value.isEmpty() ? "none" : value.toString();
        }
        return printable(value.asText());
    }

    /** Replaces control characters, so that a value cannot send escape sequences to the terminal. */
    private static String printable(String text) {
        return text.replaceAll("\\p{Cntrl}", "?");
    }
}
