package io.rosemarybeam.testbed;

/**
 * Detects periods in which the machine did not run this process, because it was overloaded or suspended. What a soak sees in
 * such a period says nothing about the processes that it tests. Safe for use by several threads.
 */
final class StallMonitor {
    private static final long INTERVAL_MILLISECONDS = 20;

    /** Gap between two checks above which the machine has stalled; requests of a soak time out after 1,500 ms. */
    private static final long STALL_MILLISECONDS = 250;

    private volatile long lastStallEnd = Long.MIN_VALUE / 2;
    private volatile long stalledMilliseconds;

    /** Starts to watch, until this process ends. */
    void start() {
        Thread watcher = new Thread(this::watch, "stall-monitor");
        watcher.setDaemon(true);
        watcher.start();
    }

    private void watch() {
        long last = SoakReport.now();
        while (true) {
            SoakTraffic.pause(INTERVAL_MILLISECONDS);
            long now = SoakReport.now();
            if (now - last > STALL_MILLISECONDS) {
                lastStallEnd = now;
                stalledMilliseconds += now - last;
            }
            last = now;
        }
    }

    /** Returns whether the machine stalled after a monotonic time in milliseconds. */
    boolean hasStalledSince(long time) {
        return lastStallEnd >= time;
    }

    /** Returns the sum of all stalls so far. */
    long stalledMilliseconds() {
        return stalledMilliseconds;
    }
}
