package io.rosemarybeam.decision.scaling;

import java.util.ArrayDeque;
import java.util.Deque;

/** The largest of the values of a recent period. Confined to one thread. */
final class SlidingMaximum {
    private final long periodMilliseconds;
    private final Deque<Sample> samples = new ArrayDeque<>();

    SlidingMaximum(long periodMilliseconds) {
        this.periodMilliseconds = periodMilliseconds;
    }

    /** Adds a value; times must not decrease. */
    void add(double value, long now) {
        while (!samples.isEmpty() && samples.getLast().value <= value) {
            samples.removeLast();
        }
        samples.addLast(new Sample(value, now));
        while (now - samples.getFirst().time > periodMilliseconds) {
            samples.removeFirst();
        }
    }

    /** Returns the largest value; 0 if none was added. */
    double value() {
        return samples.isEmpty() ? 0 : samples.getFirst().value;
    }

    /** A value and the monotonic time at which it was added, in milliseconds. Immutable. */
    private record Sample(double value, long time) {}
}
