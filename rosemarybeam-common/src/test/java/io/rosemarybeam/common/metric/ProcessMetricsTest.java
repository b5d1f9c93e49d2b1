package io.rosemarybeam.common.metric;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.OptionalLong;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;

/**
 * Guards against a wrong unit of the memory metric and against a failure on operating systems without a status file.
 */
class ProcessMetricsTest {
    @TempDir
    private Path folder;

    @Test
    void shouldConvertToBytesWhenStatusFileHasKibibytes() throws Exception {
        Path status = Files.writeString(folder.resolve("status"), "Name:\tjava\nVmRSS:\t   65536 kB\nThreads:\t9\n");

        assertEquals(OptionalLong.of(67_108_864), ProcessMetrics.residentBytes(status));
    }

    @Test
    void shouldBeEmptyWhenStatusFileIsAbsentOrMalformed() throws Exception {
        Path malformed = Files.writeString(folder.resolve("status"), "VmRSS:\tmuch\n");

        assertEquals(OptionalLong.empty(), ProcessMetrics.residentBytes(malformed));
        assertEquals(OptionalLong.empty(), ProcessMetrics.residentBytes(folder.resolve("absent")));
    }
}
