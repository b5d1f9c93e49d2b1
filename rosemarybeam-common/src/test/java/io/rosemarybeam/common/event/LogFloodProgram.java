package io.rosemarybeam.common.event;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.apache.logging.log4j.LogManager;

/**
 * Logs more records than the log queues and a pipe can hold and then writes a file. Run by a test as a separate
 * process.
 */
public final class LogFloodProgram {
    static final int RECORDS = 40_000;

    private LogFloodProgram() {}

    /**
     * Logs events and library warnings.
     *
     * @param arguments the file to write at the end
     * @throws IOException if it cannot be written
     */
    public static void main(String[] arguments) throws IOException {
        EventLog log = EventLog.of(LogFloodProgram.class);
        for (int number = 0; number < RECORDS; number++) {
            log.log(Event.REQUEST_FINISHED, "request", number, "outcome", "answered");
            log.log(Event.REQUEST_REFUSED, "request", number, "reason", "none ready");
            LogManager.getLogger("io.netty.channel").warn("warning {}", number);
        }
        Files.writeString(Path.of(arguments[0]), "done");
        Runtime.getRuntime().halt(0);
    }
}
