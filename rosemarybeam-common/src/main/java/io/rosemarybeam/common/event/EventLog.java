package io.rosemarybeam.common.event;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.StringMapMessage;

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
            StringMapMessage message = new StringMapMessage();
            message.put("event", Integer.toString(event.number()));
            message.put("name", event.name());
            for (int index = 0; index + 1 < fields.length; index += 2) {
                message.put(String.valueOf(fields[index]), String.valueOf(fields[index + 1]));
            }
            switch (event.severity()) {
                case INFORMATION -> logger.info(message, failure);
                case WARNING -> logger.warn(message, failure);
                case ERROR -> logger.error(message, failure);
                default -> throw new IllegalStateException("severity " + event.severity());
            }
        }
    }
}
