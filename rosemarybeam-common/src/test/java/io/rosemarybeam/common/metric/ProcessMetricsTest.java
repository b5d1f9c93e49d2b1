package io.rosemarybeam.common.metric;

import java.io.IOException;
import java.lang.module.Configuration;
import java.lang.module.ModuleFinder;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.OptionalLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.sun.management.OperatingSystemMXBean;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against a wrong unit of the memory metric, against a failure on operating systems without a status file, and against
 * metrics that the Java runtime of the deployment cannot serve.
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

    /** Without the module each request for the metrics of a deployed program failed with a NoClassDefFoundError. */
    @Test
    void shouldFindTheProcessorTimeWhenRunByTheRuntimeOfTheDeployment() throws IOException {
        Matcher added =
                Pattern.compile("--add-modules ([a-z.,]+)").matcher(Files.readString(Path.of("../deploy/build")));
        assertTrue(added.find());

        Configuration runtime = Configuration.empty()
                .resolve(
                        ModuleFinder.ofSystem(),
                        ModuleFinder.of(),
                        List.of(added.group(1).split(",")));

        String needed = OperatingSystemMXBean.class.getModule().getName();
        assertTrue(runtime.findModule(needed).isPresent(), needed + " is not among " + added.group(1));
    }
}
