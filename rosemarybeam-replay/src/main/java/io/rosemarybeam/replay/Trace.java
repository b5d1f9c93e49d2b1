package io.rosemarybeam.replay;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.error.TraceException;

/**
 * A recorded trace.
 *
 * <p>Invariant: events are in order of time, and outcomes come last. Immutable and safe for use by several threads.
 *
 * @param name name of the trace
 * @param events what happens
 * @param outcomes the bounds at the end
 * @param endMilliseconds when the replay ends
 */
record Trace(String name, List<TraceEvent> events, List<TraceEvent.Outcome> outcomes, long endMilliseconds) {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();

    Trace {
        events = List.copyOf(events);
        outcomes = List.copyOf(outcomes);
    }

    /**
     * Reads a trace file.
     *
     * @param file the file
     * @return the trace
     * @throws TraceException if the file cannot be read or a line is not valid
     */
    static Trace read(Path file) {
        try {
            return parse(file.getFileName().toString(), Files.readAllLines(file));
        } catch (IOException exception) {
            throw new TraceException(ErrorCode.TRACE_INVALID, "cannot read " + file.getFileName(), exception);
        }
    }

    /**
     * Reads the lines of a trace. Blank lines and lines that start with {@code //} are skipped.
     *
     * @param name name of the trace
     * @param lines one JSON object each
     * @return the trace
     * @throws TraceException if a line is not valid
     */
    static Trace parse(String name, List<String> lines) {
        List<TraceEvent> events = new ArrayList<>();
        List<TraceEvent.Outcome> outcomes = new ArrayList<>();
        long last = 0;
        for (int number = 1; number <= lines.size(); number++) {
            String line = lines.get(number - 1).strip();
            if (line.isEmpty() || line.startsWith("//")) {
                continue;
            }
            TraceEvent event = parse(name, number, line);
            if (event.at() < last) {
                throw invalid(
                        name, number, "time " + event.at() + " is before time " + last + " of an earlier line", null);
            }
            last = event.at();
            if (event instanceof TraceEvent.Outcome outcome) {
                if (!Measures.NAMES.contains(outcome.measure())) {
                    throw invalid(name, number, "measure \"" + outcome.measure() + "\" does not exist", null);
                }
                outcomes.add(outcome);
            } else if (outcomes.isEmpty()) {
                events.add(event);
            } else {
                throw invalid(name, number, "an event follows an outcome", null);
            }
        }
        if (outcomes.isEmpty()) {
            throw invalid(name, lines.size(), "the trace states no outcome", null);
        }
        return new Trace(name, events, outcomes, last);
    }

    private static TraceEvent parse(String name, int number, String line) {
        try {
            return MAPPER.readValue(line, TraceEvent.class);
        } catch (JsonProcessingException exception) {
            throw invalid(name, number, exception.getOriginalMessage(), exception);
        }
    }

    private static TraceException invalid(String name, int number, String problem, Throwable cause) {
        return new TraceException(ErrorCode.TRACE_INVALID, name + " line " + number + ": " + problem, cause);
    }
}
