package io.rosemarybeam.decision.request;

/**
 * An exponentially weighted moving average with mean deviation, which starts at its first value.
 *
 * <p>Confined to the thread of the core.
 */
final class MovingAverage {
    private final double weight;
    private double value;
    private double deviation;
    private long count;

    /**
     * Creates an empty average.
     *
     * @param weight weight of a new value, between 0 and 1
     */
    MovingAverage(double weight) {
        this.weight = weight;
    }

    void add(double sample) {
        // The first values have equal weight, so that a single early one does not dominate.
        double effective = Math.max(weight, 1.0 / (count + 1));
        deviation += effective * (Math.abs(sample - value) - deviation);
        value += effective * (sample - value);
        count++;
    }

    long count() {
        return count;
    }

    /** Returns the average plus a multiple of the mean deviation. */
    double upperBound(double deviations) {
        return value + deviations * deviation;
    }

    double value() {
        return value;
    }
}
