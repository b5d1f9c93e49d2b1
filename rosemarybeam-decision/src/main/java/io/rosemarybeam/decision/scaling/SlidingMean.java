package io.rosemarybeam.decision.scaling;

import java.util.ArrayDeque;
import java.util.Deque;

/** The mean of the values of a recent period, added at equal intervals. Confined to one thread. */
final class SlidingMean {
    private final long periodMilliseconds;
    private final Deque<Sample> samples = new ArrayDeque<>();
    private long sum;

    SlidingMean(long periodMilliseconds) {
        this.periodMilliseconds = periodMilliseconds;
    }

    /** Adds a value; times must not decrease. */
    void add(int value, long now) {
        samples.addLast(new Sample(value, now));
        sum += value;
        while (now - samples.getFirst().time >= periodMilliseconds) {
            sum -= samples.removeFirst().value;
        }
    }

    /** Returns the mean; 0 if no value was added. */
    double value() {
        return samples.isEmpty() ? 0 : (double) sum / samples.size();
    }

    /** A value and the monotonic time at which it was added, in milliseconds. Immutable. */
    private record Sample(int value, long time) {}
}
