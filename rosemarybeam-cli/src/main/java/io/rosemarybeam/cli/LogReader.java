package io.rosemarybeam.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.DateTimeException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.error.SettingsException;
import io.rosemarybeam.common.event.Event;

/**
 * Reads the logs of several processes.
 *
 * <p>A line may have a prefix before its record, as log collectors add it; the last word of the prefix then names the
 * process. Without a prefix, the process is named by its {@link Event#PROCESS_STARTED} record, and by the file before
 * that. Invariant: a line that holds no event is counted and skipped. Not safe for use by several threads.
 */
final class LogReader {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final List<LogRecord> records = new ArrayList<>();
    private int skippedLines;

    /**
     * Adds the records of a log.
     *
     * @param file the log, in UTF-8; bytes that are not UTF-8 are replaced
     * @throws SettingsException if the file cannot be read
     */
    void read(Path file) {
        String process = file.getFileName().toString();
        try (BufferedReader lines =
                new BufferedReader(new InputStreamReader(Files.newInputStream(file), StandardCharsets.UTF_8))) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                process = read(line, process);
            }
        } catch (IOException failure) {
            throw new SettingsException(ErrorCode.USAGE, "log " + file + " cannot be read: " + failure, failure);
        }
    }

    private String read(String line, String process) {
        int start = line.indexOf('{');
        Optional<LogRecord> record = start < 0 ? Optional.empty() : record(line, start, process);
        if (record.isEmpty()) {
            skippedLines += line.isBlank() ? 0 : 1;
            return process;
        }
        LogRecord read = record.get();
        records.add(read);
        return start == 0 ? read.process() : process;
    }

    private static Optional<LogRecord> record(String line, int start, String process) {
        try {
            JsonNode tree = MAPPER.readTree(line.substring(start));
            if (!tree.path("event").isInt()) {
                return Optional.empty();
            }
            Map<String, String> fields = new LinkedHashMap<>();
            tree.path("fields")
                    .properties()
                    .forEach(
                            field -> fields.put(field.getKey(), field.getValue().asText()));
            int number = tree.path("event").intValue();
            return Optional.of(new LogRecord(
                    Instant.parse(tree.path("time").asText()),
                    process(line.substring(0, start), number, fields, process),
                    number,
                    tree.path("name").asText(),
                    Collections.unmodifiableMap(fields),
                    Optional.of(tree.path("failure").asText()).filter(text -> !text.isEmpty())));
        } catch (JsonProcessingException | DateTimeException malformed) {
            return Optional.empty();
        }
    }

    private static String process(String prefix, int number, Map<String, String> fields, String previousProcess) {
        String[] words = prefix.strip().split("\\s+");
        String last = words[words.length - 1];
        if (!last.isEmpty()) {
            return last;
        }
        return number == Event.PROCESS_STARTED.number()
                ? fields.getOrDefault("name", previousProcess)
                : previousProcess;
    }

    /**
     * Returns what was read.
     *
     * @return the records of all logs by their time; records of one time stand in the order in which they were read
     */
    List<LogRecord> records() {
        return records.stream().sorted(Comparator.comparing(LogRecord::time)).toList();
    }

    /**
     * Returns how many lines hold no event.
     *
     * @return the count, without blank lines
     */
    int skippedLines() {
        return skippedLines;
    }
}
