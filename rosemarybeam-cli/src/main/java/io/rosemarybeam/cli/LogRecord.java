package io.rosemarybeam.cli;

import java.time.Instant;
import java.util.Map;
import java.util.Optional;

import io.rosemarybeam.common.event.Event;

/**
 * An event that a process logged. Immutable and safe for use by several threads.
 *
 * @param time the time of day at which the process logged the event, by the clock of its host
 * @param process the name of the process, or of its log file if the log does not contain the name
 * @param number the number of the event; docs/EVENTS.md lists them
 * @param name the name of the event
 * @param fields the fields of the event in the order in which they were written
 * @param failure the stack trace, if the event has one
 */
record LogRecord(
        Instant time, String process, int number, String name, Map<String, String> fields, Optional<String> failure) {
    boolean is(Event event) {
        return number == event.number();
    }

    /**
     * Returns the value of a field.
     *
     * @param field the name of the field
     * @return the value, empty if the event does not have the field
     */
    String field(String field) {
        return fields.getOrDefault(field, "");
    }

    /**
     * Returns the value of a field as a number.
     *
     * @param field the name of the field
     * @return the number, empty if the field is missing or not a whole number
     */
    Optional<Long> number(String field) {
        try {
            return Optional.of(Long.parseLong(field(field)));
        } catch (NumberFormatException other) {
            return Optional.empty();
        }
    }
}
