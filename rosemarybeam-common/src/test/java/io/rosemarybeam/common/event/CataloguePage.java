package io.rosemarybeam.common.event;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Reads the table rows of the pages in docs that list error codes and events. Stateless. */
public final class CataloguePage {
    private static final Path DOCS = Path.of("..", "docs");

    private CataloguePage() {}

    /**
     * Reads the rows whose first cell contains a digit, which excludes header rows.
     *
     * @param name name of the page
     * @param cells maximum number of cells to return per row
     * @return the cells of each row
     * @throws IOException if the page cannot be read
     */
    public static List<List<String>> rows(String name, int cells) throws IOException {
        List<List<String>> rows = new ArrayList<>();
        for (String line : Files.readAllLines(DOCS.resolve(name))) {
            List<String> row =
                    Arrays.stream(line.split("\\|")).map(String::strip).skip(1).toList();
            if (line.startsWith("|") && row.getFirst().matches(".*[0-9].*")) {
                rows.add(row.subList(0, Math.min(cells, row.size())));
            }
        }
        return rows;
    }

    /**
     * Checks that a page has exactly the expected rows in the expected order.
     *
     * @param name name of the page
     * @param expected first cells of each row
     * @throws IOException if the page cannot be read
     */
    public static void assertLists(String name, List<List<String>> expected) throws IOException {
        List<List<String>> found = rows(name, expected.getFirst().size());
        List<List<String>> missing = new ArrayList<>(expected);
        missing.removeAll(found);
        List<List<String>> surplus = new ArrayList<>(found);
        surplus.removeAll(expected);
        assertEquals(List.of(), missing, "docs/" + name + " lacks rows");
        assertEquals(List.of(), surplus, "docs/" + name + " has rows that the code lacks");
        assertEquals(expected, found, "docs/" + name + " has another order than the code, or repeats a row");
    }
}
