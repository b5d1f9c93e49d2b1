package io.rosemarybeam.replay;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * A virtual clock in milliseconds with a queue of scheduled actions.
 *
 * <p>Invariant: actions run in order of time; actions of the same time run in the order in which they were scheduled.
 * Confined to one thread.
 */
final class VirtualTime {
    private record Action(long at, long sequence, Runnable body) {}

    private final PriorityQueue<Action> actions =
            new PriorityQueue<>(Comparator.comparingLong(Action::at).thenComparingLong(Action::sequence));
    private long now;
    private long sequence;

    long now() {
        return now;
    }

    /** Schedules an action; a time in the past means now. */
    void at(long milliseconds, Runnable body) {
        sequence++;
        actions.add(new Action(Math.max(now, milliseconds), sequence, body));
    }

    void after(long milliseconds, Runnable body) {
        at(now + milliseconds, body);
    }

    /** Repeats an action until the replay ends, for the first time after one interval. */
    void every(long milliseconds, Runnable body) {
        after(milliseconds, () -> {
            body.run();
            every(milliseconds, body);
        });
    }

    /** Runs all actions up to and including a time, and advances the clock to it. */
    void runUntil(long endMilliseconds) {
        while (!actions.isEmpty() && actions.peek().at() <= endMilliseconds) {
            Action action = actions.remove();
            now = action.at();
            action.body().run();
        }
        now = endMilliseconds;
    }
}
