package io.rosemarybeam.common.metric;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.lang.management.RuntimeMXBean;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import com.sun.management.OperatingSystemMXBean;

/** Reads the memory and processor usage of the process. Stateless and safe for use by several threads. */
public final class ProcessMetrics {
    private static final Path STATUS_FILE = Path.of("/proc/self/status");
    private static final String RESIDENT_KEY = "VmRSS:";
    private static final long BYTES_PER_KIBIBYTE = 1_024;

    private ProcessMetrics() {}

    static void register(Metrics metrics) {
        metrics.computedGauge(
                "process_resident_bytes",
                "Resident memory of the process in bytes; not a number if the operating system does not tell.",
                () -> {
                    OptionalLong bytes = residentBytes();
                    return bytes.isPresent() ? bytes.getAsLong() : Double.NaN;
                });
        metrics.computedCounter(
                "process_processor_seconds",
                "Processor time used by the process in seconds.",
                ProcessMetrics::processorSeconds);
        metrics.computedGauge(
                "process_uptime_seconds",
                "Time since the start of the process in seconds.",
                ProcessMetrics::uptimeSeconds);
    }

    /**
     * Reads the resident memory of the process from its status file.
     *
     * @return bytes, or empty if the operating system has no such file
     */
    public static OptionalLong residentBytes() {
        return residentBytes(STATUS_FILE);
    }

    static OptionalLong residentBytes(Path statusFile) {
        try (var lines = Files.lines(statusFile)) {
            return lines.filter(line -> line.startsWith(RESIDENT_KEY))
                    .map(line -> line.substring(RESIDENT_KEY.length()).strip().split("\\s+")[0])
                    .mapToLong(kibibytes -> Long.parseLong(kibibytes) * BYTES_PER_KIBIBYTE)
                    .findFirst();
        } catch (IOException | NumberFormatException unavailable) {
            return OptionalLong.empty();
        }
    }

    /** Returns the processor time used by all threads, in seconds. */
    public static double processorSeconds() {
        OperatingSystemMXBean system = ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class);
        return Math.max(0, system.getProcessCpuTime()) / (double) TimeUnit.SECONDS.toNanos(1);
    }

    /** Returns the time since the start of the process, in seconds. */
    public static double uptimeSeconds() {
        RuntimeMXBean runtime = ManagementFactory.getRuntimeMXBean();
        return runtime.getUptime() / (double) TimeUnit.SECONDS.toMillis(1);
    }
}
