package io.rosemarybeam.common.event;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against requests that block because nothing reads the standard output of their process. */
class EventLogProcessTest {
    private static final int TIMEOUT_SECONDS = 30;

    @TempDir
    Path folder;

    @Test
    void shouldNeverBlockWhenReaderOfStandardOutputStops() throws IOException, InterruptedException {
        Path marker = folder.resolve("marker");
        Process process = new ProcessBuilder(List.of(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Drosemarybeam.log.target=SYSTEM_OUT",
                        "-cp",
                        System.getProperty("java.class.path"),
                        LogFloodProgram.class.getName(),
                        marker.toString()))
                .redirectError(folder.resolve("error").toFile())
                .start();
        try {
            boolean hasEnded = process.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            assertTrue(hasEnded && Files.exists(marker), "the program blocks until its output is read");
        } finally {
            process.destroyForcibly();
        }
    }
}
