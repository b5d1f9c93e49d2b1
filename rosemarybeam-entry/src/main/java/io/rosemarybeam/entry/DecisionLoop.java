package io.rosemarybeam.entry;

import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongConsumer;

import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;

/**
 * Runs the decision cores on one thread, called the decision thread.
 *
 * <p>Invariant: tasks run one after another in the order in which they were submitted; the tick runs between them at
 * least once per tick interval unless one task takes longer. {@link #execute} is safe for use by several threads.
 */
final class DecisionLoop implements AutoCloseable {
    private static final EventLog LOG = EventLog.of(DecisionLoop.class);
    private static final long TICK_INTERVAL_MILLISECONDS = 10;

    /** Tick interval while no request is open: no other timer is finer, and each tick wakes the processor. */
    private static final long IDLE_TICK_INTERVAL_MILLISECONDS = 50;

    private static final long STOP_TIMEOUT_MILLISECONDS = 2_000;

    private final LinkedBlockingQueue<Runnable> tasks = new LinkedBlockingQueue<>();
    private final MonotonicClock clock;
    private final Thread thread;
    private volatile LongConsumer tick = now -> {};
    private volatile BooleanSupplier busy = () -> true;
    private volatile boolean running = true;

    DecisionLoop(MonotonicClock clock) {
        this.clock = clock;
        this.thread = new Thread(this::run, "decision");
        this.thread.setDaemon(true);
    }

    /**
     * Starts the thread.
     *
     * @param onTick called with the current time in milliseconds
     * @param isBusy whether to use the short tick interval; called on the decision thread
     */
    void start(LongConsumer onTick, BooleanSupplier isBusy) {
        tick = onTick;
        busy = isBusy;
        thread.start();
    }

    /** Queues a task for the decision thread. */
    void execute(Runnable task) {
        tasks.add(task);
    }

    /** Returns the time of the monotonic clock in milliseconds. */
    long now() {
        return clock.nowMilliseconds();
    }

    private void run() {
        long lastTick = now();
        while (running) {
            try {
                long nextTick =
                        lastTick + (busy.getAsBoolean() ? TICK_INTERVAL_MILLISECONDS : IDLE_TICK_INTERVAL_MILLISECONDS);
                Runnable task = tasks.poll(Math.max(0, nextTick - now()), TimeUnit.MILLISECONDS);
                if (task != null) {
                    task.run();
                }
                long now = now();
                if (now >= nextTick) {
                    lastTick = now;
                    tick.accept(now);
                }
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
                return;
            } catch (RuntimeException failure) {
                LOG.log(Event.HANDLER_FAILED, failure, "thread", "decision");
            } catch (Error failure) {
                LOG.log(Event.PROCESS_FAILED, failure, "thread", "decision");
                throw failure;
            }
        }
    }

    @Override
    public void close() {
        running = false;
        tasks.add(() -> {});
        try {
            thread.join(STOP_TIMEOUT_MILLISECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
