package io.rosemarybeam.testbed.capacity;

import java.lang.management.ManagementFactory;
import java.lang.management.MemoryMXBean;
import java.lang.management.ThreadMXBean;
import java.lang.ref.Reference;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

import com.sun.management.OperatingSystemMXBean;

/** Measures processor time and retained memory of this process. Stateless; measurements must not overlap. */
public final class ResourceMeter {
    private static final OperatingSystemMXBean SYSTEM =
            (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
    private static final MemoryMXBean MEMORY = ManagementFactory.getMemoryMXBean();
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    /** Garbage collections that run before the used heap is read. */
    private static final int GARBAGE_COLLECTION_RUNS = 5;

    /** Number of equal values over which the retained memory is averaged. */
    private static final int COPY_COUNT = 16;

    /** Time before a measurement in which the JVM compiles the measured code. */
    private static final long WARM_UP_NANOSECONDS = 700_000_000;

    private static final long MEASURED_NANOSECONDS = 500_000_000;
    private static final double NANOSECONDS_PER_MICROSECOND = 1_000.0;

    private ResourceMeter() {}

    /**
     * Returns the processor time that this process has used since its start.
     *
     * @return nanoseconds, summed over all threads
     */
    public static long processorNanoseconds() {
        return SYSTEM.getProcessCpuTime();
    }

    /**
     * Measures the processor time that the calling thread uses for an action. Runs the action repeatedly, first for a warm-up
     * and then for the measurement.
     *
     * @param action action to measure; must do the same work each time
     * @return microseconds per run
     */
    public static double microsecondsPerRun(Runnable action) {
        runFor(WARM_UP_NANOSECONDS, action);
        long start = THREADS.getCurrentThreadCpuTime();
        long runs = runFor(MEASURED_NANOSECONDS, action);
        return (THREADS.getCurrentThreadCpuTime() - start) / NANOSECONDS_PER_MICROSECOND / runs;
    }

    private static long runFor(long nanoseconds, Runnable action) {
        long end = System.nanoTime() + nanoseconds;
        long runs = 0;
        while (System.nanoTime() < end) {
            action.run();
            runs++;
        }
        return runs;
    }

    /**
     * Measures the heap that a value retains, as the mean over several equal values.
     *
     * @param create creates a new value at each call
     * @param <T> type of the value
     * @return bytes per value
     */
    public static <T> double retainedBytes(Supplier<T> create) {
        List<T> values = new ArrayList<>();
        for (int copy = 0; copy < COPY_COUNT; copy++) {
            create.get();
        }
        long before = usedHeapAfterCollection();
        for (int copy = 0; copy < COPY_COUNT; copy++) {
            values.add(create.get());
        }
        long after = usedHeapAfterCollection();
        Reference.reachabilityFence(values);
        return (after - before) / (double) COPY_COUNT;
    }

    private static long usedHeapAfterCollection() {
        for (int run = 0; run < GARBAGE_COLLECTION_RUNS; run++) {
            System.gc();
        }
        return MEMORY.getHeapMemoryUsage().getUsed();
    }
}
