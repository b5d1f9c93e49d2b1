package io.rosemarybeam.decision.request;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Actions scheduled for a later time, in order of time and then of scheduling. Confined to the thread of the core. */
final class Timers {
    private record Timer(long dueAt, long sequence, Runnable action) {}

    private final PriorityQueue<Timer> queue =
            new PriorityQueue<>(Comparator.comparingLong(Timer::dueAt).thenComparingLong(Timer::sequence));
    private long sequence;

    /** Schedules an action. Timers cannot be cancelled, so the action must check whether it still applies. */
    void schedule(long dueAt, Runnable action) {
        queue.add(new Timer(dueAt, sequence++, action));
    }

    void runDue(long now) {
        while (!queue.isEmpty() && queue.peek().dueAt() <= now) {
            queue.poll().action().run();
        }
    }

    int size() {
        return queue.size();
    }
}
