package io.rosemarybeam.common.event;

import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a stall of an event loop that the log does not explain. */
class LoopMonitorTest {
    private static final long TIMEOUT_MILLISECONDS = 10_000;
    private static final long STALL_MILLISECONDS = 400;

    private final ExecutorService loop = Executors.newSingleThreadExecutor();
    private final BlockingQueue<LoopMonitor.Delay> delays = new LinkedBlockingQueue<>();
    private final BlockingQueue<Long> overdue = new LinkedBlockingQueue<>();
    private final LoopMonitor monitor = LoopMonitor.start(loop, delays::add, overdue::add);

    @AfterEach
    void stopLoop() {
        monitor.close();
        loop.shutdownNow();
    }

    @Test
    void shouldNameWhatTheLoopExecutesWhenATaskTakesLong() throws InterruptedException {
        // Guards against a stall whose log line does not tell what the loop was doing.
        assertNotNull(delays.poll(TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS));
        loop.execute(LoopMonitorTest::computeForLong);
        LoopMonitor.Delay longest = awaitDelayOf(STALL_MILLISECONDS / 2);
        assertTrue(
                longest.mostFrequent(3).stream().anyMatch(sample -> sample.contains("computeForLong")),
                () -> "samples " + longest.samples());
    }

    @Test
    void shouldReportAStallWhileItLasts() throws InterruptedException {
        // Guards against followers that hear of the stall of their leader only when it is over.
        assertNotNull(delays.poll(TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS));
        CountDownLatch released = new CountDownLatch(1);
        loop.execute(() -> awaitQuietly(released));
        long reported = 0;
        while (reported < STALL_MILLISECONDS) {
            Long milliseconds = overdue.poll(TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS);
            assertNotNull(milliseconds, "the stall was not reported while it lasted");
            reported = milliseconds;
        }
        released.countDown();
        assertTrue(awaitDelayOf(STALL_MILLISECONDS).milliseconds() >= reported);
    }

    private static void awaitQuietly(CountDownLatch released) {
        try {
            released.await();
        } catch (InterruptedException stopping) {
            Thread.currentThread().interrupt();
        }
    }

    @Test
    void shouldTakeNoSamplesWhenTheLoopIsIdle() throws InterruptedException {
        // Guards against reading the stack of a loop that keeps up, which would cost processor time all day.
        for (int probe = 0; probe < 3; probe++) {
            LoopMonitor.Delay delay = delays.poll(TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS);
            assertNotNull(delay);
            assertTrue(delay.milliseconds() >= 40 || delay.samples().isEmpty(), delay::toString);
        }
    }

    @Test
    void shouldGoOnWhenAProbeEndsWithAnError() throws InterruptedException {
        // Guards against a process that ends, or whose stalls are not seen any more, because of a lack of memory in one
        // probe.
        BlockingQueue<LoopMonitor.Delay> later = new LinkedBlockingQueue<>();
        AtomicBoolean hasFailed = new AtomicBoolean();
        LoopMonitor failing = LoopMonitor.start(
                loop,
                delay -> {
                    if (hasFailed.compareAndSet(false, true)) {
                        throw new OutOfMemoryError("Java heap space");
                    }
                    later.add(delay);
                },
                ignored -> {});
        try {
            assertNotNull(later.poll(TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS));
        } finally {
            failing.close();
        }
    }

    @Test
    void shouldCountTheTimeInWhichTheProcessWasSuspendedBeforeItsProbe() throws InterruptedException {
        // Guards against a suspended host without a log line: the monitor is suspended together with the loop.
        BlockingQueue<LoopMonitor.Delay> suspended = new LinkedBlockingQueue<>();
        LoopMonitor frozen = LoopMonitor.start(
                loop, suspended::add, ignored -> {}, interval -> Thread.sleep(interval + STALL_MILLISECONDS));
        try {
            suspended.poll(TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS);
            LoopMonitor.Delay second = suspended.poll(TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS);
            assertNotNull(second);
            assertTrue(second.milliseconds() >= STALL_MILLISECONDS / 2, second::toString);
        } finally {
            frozen.close();
        }
    }

    @Test
    void shouldStopWhenTheLoopAcceptsNoMoreTasks() throws InterruptedException {
        // Guards against a monitor thread that fails loudly during a normal stop of the process.
        assertNotNull(delays.poll(TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS));
        loop.shutdown();
        assertTrue(monitor.awaitStop(TIMEOUT_MILLISECONDS));
    }

    @Test
    void shouldListTheMostFrequentSampleFirst() {
        // Guards against a log line that cuts off the main cause.
        LoopMonitor.Delay delay = new LoopMonitor.Delay(300, Map.of("a", 2, "b", 9, "c", 1));
        assertEquals(List.of("9x b", "2x a"), delay.mostFrequent(2));
        assertFalse(delay.mostFrequent(5).isEmpty());
    }

    private LoopMonitor.Delay awaitDelayOf(long milliseconds) throws InterruptedException {
        while (true) {
            LoopMonitor.Delay delay = delays.poll(TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS);
            assertNotNull(delay, "no delay of " + milliseconds + " ms was reported");
            if (delay.milliseconds() >= milliseconds) {
                return delay;
            }
        }
    }

    private static void computeForLong() {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(STALL_MILLISECONDS);
        while (System.nanoTime() < end) {
            Thread.onSpinWait();
        }
    }
}
