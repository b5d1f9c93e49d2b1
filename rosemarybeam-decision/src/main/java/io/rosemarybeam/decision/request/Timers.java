package io.rosemarybeam.decision.request;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Actions that are due at a later time, in order of time and then of entry. Confined to the thread of the core. */
final class Timers {
    private record Timer(long dueAt, long sequence, Runnable action) {}

    private final PriorityQueue<Timer> queue =
            new PriorityQueue<>(Comparator.comparingLong(Timer::dueAt).thenComparingLong(Timer::sequence));
    private long sequence;

    /** Runs an action once the time has come; the action checks whether it is still wanted. */
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
