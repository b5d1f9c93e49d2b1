package io.rosemarybeam.common.event;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.AsynchronouslyFormattable;
import org.apache.logging.log4j.message.MapMessage;

/** Writes numbered events as structured log records. Implementations are safe for use by several threads. */
public interface EventLog {
    /**
     * Writes an event.
     *
     * @param event the event
     * @param fields alternating names and values, for example {@code "host", name}
     */
    void log(Event event, Object... fields);

    /**
     * Writes an event with the failure that caused it.
     *
     * @param event the event
     * @param failure the failure
     * @param fields alternating names and values
     */
    void log(Event event, Throwable failure, Object... fields);

    /**
     * Returns a log that writes through Log4j 2.
     *
     * @param source the class that writes
     * @return the log
     */
    static EventLog of(Class<?> source) {
        return new Log4jEventLog(LogManager.getLogger(source));
    }

    /**
     * Returns the log record of an event.
     *
     * @param event the event
     * @param fields alternating names and values
     * @return the record
     */
    static EventMessage message(Event event, List<?> fields) {
        Map<String, String> named = new LinkedHashMap<>();
        for (int index = 0; index + 1 < fields.size(); index += 2) {
            named.put(String.valueOf(fields.get(index)), String.valueOf(fields.get(index + 1)));
        }
        EventMessage message = new EventMessage();
        message.with("event", event.number());
        message.with("name", event.name());
        message.with("fields", named);
        return message;
    }

    /** Writes events through Log4j 2. Immutable and safe for use by several threads. */
    final class Log4jEventLog implements EventLog {
        private final Logger logger;

        private Log4jEventLog(Logger logger) {
            this.logger = logger;
        }

        @Override
        public void log(Event event, Object... fields) {
            write(event, null, fields);
        }

        @Override
        public void log(Event event, Throwable failure, Object... fields) {
            write(event, failure, fields);
        }

        private void write(Event event, Throwable failure, Object[] fields) {
            EventMessage message = message(event, Arrays.asList(fields));
            switch (event.severity()) {
                case INFORMATION -> logger.info(message, failure);
                case WARNING -> logger.warn(message, failure);
                case ERROR -> logger.error(message, failure);
                default -> throw new IllegalStateException("severity " + event.severity());
            }
        }
    }

    /**
     * An event as a log record: its number, its name and a map of its fields, which do not change after it is written. Without
     * the annotation, which subclasses do not inherit, the calling thread formats each record to a text that is never used.
     */
    @AsynchronouslyFormattable
    final class EventMessage extends MapMessage<EventMessage, Object> {
        private static final long serialVersionUID = 1L;
    }
}
