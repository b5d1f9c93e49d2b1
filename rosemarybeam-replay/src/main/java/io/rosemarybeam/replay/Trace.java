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
 * A trace: timed events to replay, and the expected outcomes.
 *
 * <p>Invariant: events are in order of time, and outcomes come last. Immutable and safe for use by several threads.
 *
 * @param name file name of the trace
 * @param events the events to replay
 * @param outcomes the bounds that are checked at the end
 * @param endMilliseconds end of the replay, which is the time of the last line
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
     * @param file path of the file
     * @return the trace
     * @throws TraceException if the file cannot be read, a line is not valid or there is no outcome
     */
    static Trace read(Path file) {
        try {
            return parse(file.getFileName().toString(), Files.readAllLines(file));
        } catch (IOException exception) {
            throw new TraceException(ErrorCode.TRACE_INVALID, "cannot read " + file.getFileName(), exception);
        }
    }

    /**
     * Parses the lines of a trace. Blank lines and lines that start with {@code //} are skipped.
     *
     * @param name file name of the trace, for the report and error messages
     * @param lines one JSON object each
     * @return the trace
     * @throws TraceException if a line is not valid or there is no outcome
     */
    static Trace parse(String name, List<String> lines) {
        List<TraceEvent> events = new ArrayList<>();
        List<TraceEvent.Outcome> outcomes = new ArrayList<>();
        long lastTime = 0;
        for (int lineNumber = 1; lineNumber <= lines.size(); lineNumber++) {
            String line = lines.get(lineNumber - 1).strip();
            if (line.isEmpty() || line.startsWith("//")) {
                continue;
            }
            TraceEvent event = parse(name, lineNumber, line);
            if (event.at() < lastTime) {
                throw invalid(
                        name,
                        lineNumber,
                        "time " + event.at() + " is before time " + lastTime + " of an earlier line",
                        null);
            }
            lastTime = event.at();
            if (event instanceof TraceEvent.Outcome outcome) {
                if (!Measures.NAMES.contains(outcome.measure())) {
                    throw invalid(name, lineNumber, "measure \"" + outcome.measure() + "\" does not exist", null);
                }
                outcomes.add(outcome);
            } else if (outcomes.isEmpty()) {
                events.add(event);
            } else {
                throw invalid(name, lineNumber, "an event follows an outcome", null);
            }
        }
        if (outcomes.isEmpty()) {
            throw invalid(name, lines.size(), "the trace states no outcome", null);
        }
        return new Trace(name, events, outcomes, lastTime);
    }

    private static TraceEvent parse(String name, int lineNumber, String line) {
        try {
            return MAPPER.readValue(line, TraceEvent.class);
        } catch (JsonProcessingException exception) {
            throw invalid(name, lineNumber, exception.getOriginalMessage(), exception);
        }
    }

    private static TraceException invalid(String name, int lineNumber, String problem, Throwable cause) {
        return new TraceException(ErrorCode.TRACE_INVALID, name + " line " + lineNumber + ": " + problem, cause);
    }
}
