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
 * <p>A line may have a prefix before its record, as added by log collectors; the last word of the prefix is then the name
 * of the process. Without a prefix, the name is taken from the latest {@link Event#PROCESS_STARTED} record of the file;
 * before the first one, the file name is used. Invariant: a line without an event is counted and skipped. Not safe for
 * use by several threads.
 */
final class LogReader {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final List<LogRecord> records = new ArrayList<>();
    private int skippedLines;

    /**
     * Adds the records of a log file.
     *
     * @param file the log file in UTF-8; malformed bytes are replaced
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
     * Returns the records that were read.
     *
     * @return the records of all logs in order of time; records of the same time are in the order in which they were read
     */
    List<LogRecord> records() {
        return records.stream().sorted(Comparator.comparing(LogRecord::time)).toList();
    }

    /**
     * Returns the number of lines without an event.
     *
     * @return the number, without blank lines
     */
    int skippedLines() {
        return skippedLines;
    }
}
