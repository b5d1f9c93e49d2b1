package io.rosemarybeam.replay;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Runs actions in order of virtual time.
 *
 * <p>Invariant: actions of the same time run in the order in which they were scheduled. Confined to one thread.
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

    void at(long milliseconds, Runnable body) {
        sequence++;
        actions.add(new Action(Math.max(now, milliseconds), sequence, body));
    }

    void after(long milliseconds, Runnable body) {
        at(now + milliseconds, body);
    }

    /** Repeats an action as long as the time runs. */
    void every(long milliseconds, Runnable body) {
        after(milliseconds, () -> {
            body.run();
            every(milliseconds, body);
        });
    }

    void runUntil(long endMilliseconds) {
        while (!actions.isEmpty() && actions.peek().at() <= endMilliseconds) {
            Action action = actions.remove();
            now = action.at();
            action.body().run();
        }
        now = endMilliseconds;
    }
}
