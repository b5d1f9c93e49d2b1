package io.rosemarybeam.common.event;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

/**
 * Measures how long tasks wait for an event loop, and samples what the loop executes while one waits too long.
 *
 * <p>Invariants: at most one probe waits at a time; the stack of the loop is read only while a probe is overdue, so a loop
 * that keeps up is not disturbed. The callbacks run on the thread of the monitor. Safe for use by several threads.
 */
public final class LoopMonitor implements AutoCloseable {
    /** Interval between two probes, in milliseconds. */
    private static final long PROBE_INTERVAL_MILLISECONDS = 100;

    /** Delay of a probe from which the stack of the loop is sampled, in milliseconds. */
    private static final long OVERDUE_MILLISECONDS = 40;

    /**
     * Interval between two samples of the stack, in milliseconds. A sample takes up to a millisecond of a small host's only core,
     * which the stalled loop then lacks.
     */
    private static final long SAMPLE_INTERVAL_MILLISECONDS = 50;

    /** Maximum number of frames of this project in a sample, from the innermost. */
    private static final int MAXIMUM_FRAMES = 4;

    private static final EventLog LOG = EventLog.of(LoopMonitor.class);

    private static final String PROJECT_PACKAGE = "io.rosemarybeam.";

    private final Executor loop;
    private final Consumer<Delay> onDelay;
    private final LongConsumer onOverdue;
    private final Pause pause;
    private final Thread thread;
    private volatile Thread loopThread;
    private volatile boolean closed;

    private LoopMonitor(Executor loop, Consumer<Delay> onDelay, LongConsumer onOverdue, Pause pause) {
        this.loop = Objects.requireNonNull(loop, "loop");
        this.onDelay = Objects.requireNonNull(onDelay, "onDelay");
        this.onOverdue = Objects.requireNonNull(onOverdue, "onOverdue");
        this.pause = Objects.requireNonNull(pause, "pause");
        this.thread = Thread.ofPlatform().name("loop-monitor").daemon().unstarted(this::run);
    }

    /**
     * Starts to monitor an event loop.
     *
     * @param loop executes its tasks one after the other on one thread
     * @param onDelay is told the delay of each probe
     * @param onOverdue is told at each sample how long the probe has waited so far, in milliseconds
     * @return the monitor, which runs until it is closed
     */
    public static LoopMonitor start(Executor loop, Consumer<Delay> onDelay, LongConsumer onOverdue) {
        return start(loop, onDelay, onOverdue, Thread::sleep);
    }

    static LoopMonitor start(Executor loop, Consumer<Delay> onDelay, LongConsumer onOverdue, Pause pause) {
        LoopMonitor monitor = new LoopMonitor(loop, onDelay, onOverdue, pause);
        monitor.thread.start();
        return monitor;
    }

    /** Waits between two probes. */
    interface Pause {
        void sleep(long milliseconds) throws InterruptedException;
    }

    @Override
    public void close() {
        closed = true;
        thread.interrupt();
    }

    /** Waits until the monitor has stopped, in milliseconds; returns whether it has. */
    boolean awaitStop(long milliseconds) throws InterruptedException {
        thread.join(milliseconds);
        return !thread.isAlive();
    }

    private void run() {
        try {
            long dueAt = System.nanoTime();
            while (!closed) {
                measure(dueAt);
                dueAt = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PROBE_INTERVAL_MILLISECONDS);
                pause.sleep(PROBE_INTERVAL_MILLISECONDS);
            }
        } catch (InterruptedException | RejectedExecutionException stopping) {
            // The monitor was closed, or the loop accepts no more tasks.
        }
    }

    /** An error of one probe, such as a lack of memory, ends neither the monitor nor the process, which serves without it. */
    private void measure(long dueAt) throws InterruptedException {
        try {
            onDelay.accept(probe(dueAt));
        } catch (Error failure) {
            LOG.log(Event.HANDLER_FAILED, failure, "thread", thread.getName());
        }
    }

    /** Measures from the time at which the probe was due, because a suspended process does not queue it in time either. */
    private Delay probe(long dueAt) throws InterruptedException {
        Probe probe = new Probe();
        Map<String, Integer> samples = new HashMap<>();
        loop.execute(probe);
        long sampleDelay = OVERDUE_MILLISECONDS;
        while (!probe.await(sampleDelay)) {
            onOverdue.accept(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - dueAt));
            Thread monitored = loopThread;
            if (monitored != null) {
                samples.merge(describe(monitored.getStackTrace()), 1, Integer::sum);
            }
            sampleDelay = SAMPLE_INTERVAL_MILLISECONDS;
        }
        return new Delay(Math.max(0, TimeUnit.NANOSECONDS.toMillis(probe.executedAt - dueAt)), samples);
    }

    /** Returns the innermost frames of this project, the innermost first, after the innermost frame of all. */
    private static String describe(StackTraceElement[] stack) {
        StringBuilder text = new StringBuilder(stack.length == 0 ? "unknown" : name(stack[0]));
        int frames = 0;
        for (StackTraceElement frame : stack) {
            if (frame.getClassName().startsWith(PROJECT_PACKAGE) && frames < MAXIMUM_FRAMES) {
                text.append(" < ").append(name(frame));
                frames++;
            }
        }
        return text.toString();
    }

    private static String name(StackTraceElement frame) {
        String className = frame.getClassName();
        return className.substring(className.lastIndexOf('.') + 1) + "." + frame.getMethodName();
    }

    /**
     * The delay of one probe. Immutable.
     *
     * @param milliseconds time that the probe waited for the loop
     * @param samples number of samples by what the loop executed meanwhile; empty if the probe did not wait long
     */
    public record Delay(long milliseconds, Map<String, Integer> samples) {
        public Delay {
            samples = Map.copyOf(samples);
        }

        /**
         * Returns what was sampled most often.
         *
         * @param limit maximum number of entries
         * @return entries like {@code 12x StoreState.apply}, the most frequent first
         */
        public List<String> mostFrequent(int limit) {
            return samples.entrySet().stream()
                    .sorted(Map.Entry.<String, Integer>comparingByValue(Comparator.reverseOrder())
                            .thenComparing(Map.Entry.comparingByKey()))
                    .limit(limit)
                    .map(entry -> entry.getValue() + "x " + entry.getKey())
                    .toList();
        }
    }

    /** A task that records when the loop executes it. */
    private final class Probe implements Runnable {
        private volatile long executedAt;
        private boolean executed;

        @Override
        public synchronized void run() {
            loopThread = Thread.currentThread();
            executedAt = System.nanoTime();
            executed = true;
            notifyAll();
        }

        /** Waits until the loop has executed this task; returns false if that takes longer than the given milliseconds. */
        private synchronized boolean await(long milliseconds) throws InterruptedException {
            long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(milliseconds);
            long remaining = milliseconds;
            while (!executed && remaining > 0) {
                wait(remaining);
                remaining = TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime());
            }
            return executed;
        }
    }
}
