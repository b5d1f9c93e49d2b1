package io.rosemarybeam.testbed;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;

import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Counts and histograms of the outcomes that callers and trainers observed. Safe for use by several threads. */
public final class LoadReport {
    /** Upper limit of the histograms; longer values are recorded as this value. */
    private static final long MAXIMUM_MILLISECONDS = TimeUnit.MINUTES.toMillis(10);

    private static final int SIGNIFICANT_DIGITS = 3;

    private final Map<String, LongAdder> counts = new ConcurrentHashMap<>();
    private final Map<String, Histogram> histograms = new ConcurrentHashMap<>();

    /**
     * Counts one occurrence.
     *
     * @param name line of the report under which to count
     */
    public void count(String name) {
        counts.computeIfAbsent(name, ignored -> new LongAdder()).increment();
    }

    /**
     * Adds a value to a histogram.
     *
     * @param name line of the report that shows the histogram
     * @param value the value; the report prints every histogram in milliseconds
     */
    public void record(String name, long value) {
        histograms
                .computeIfAbsent(name, ignored -> new ConcurrentHistogram(MAXIMUM_MILLISECONDS, SIGNIFICANT_DIGITS))
                .recordValue(Math.min(value, MAXIMUM_MILLISECONDS));
    }

    public long countOf(Outcome outcome) {
        return counts.getOrDefault(outcome.label(), new LongAdder()).sum();
    }

    /** Outcomes that decide whether a run passed. */
    public enum Outcome {
        /** A complete and correct answer. */
        ANSWERED("requests answered in full", false),
        /** An answer with a text other than the expected one. */
        WRONG_ANSWER("WRONG ANSWERS", true),
        /** A stream that ended without the {@code [DONE]} event. */
        CUT_STREAM("STREAMS CUT", true),
        /** A request that the caller abandoned after its retry timeout. */
        LOST("REQUESTS LOST", true),
        /** An order that ran more than once. */
        RAN_TWICE("ORDERS RUN MORE THAN ONCE", true),
        /** A sample that was delivered again under a different cursor. */
        DELIVERED_TWICE("SAMPLES DELIVERED MORE THAN ONCE", true),
        /** A sample with a weight version older than the staleness bound allows. */
        TOO_STALE("SAMPLES OLDER THAN THE BOUND", true),
        /** A sample that does not list the weight versions that produced it. */
        UNLABELLED("SAMPLES WITHOUT VERSIONS", true),
        /** A step that did not receive all its samples before its deadline. */
        STEP_INCOMPLETE("STEPS NOT WHOLE IN TIME", true),
        /** A step that received all its samples before its deadline. */
        STEP_WHOLE("steps whole", false),
        /** A request that may have run and was not resent. */
        OUTCOME_UNKNOWN("requests with an unknown outcome", false);

        private final String label;
        private final boolean failure;

        Outcome(String label, boolean failure) {
            this.label = label;
            this.failure = failure;
        }

        /** Returns the name of the outcome as the report prints it. */
        public String label() {
            return label;
        }
    }

    public void count(Outcome outcome) {
        count(outcome.label());
    }

    /**
     * Returns whether the run met all guarantees.
     *
     * @return true if at least one request was answered and no answer was wrong, cut, lost, repeated, stale or incomplete
     */
    public boolean passed() {
        for (Outcome outcome : Outcome.values()) {
            if (outcome.failure && countOf(outcome) > 0) {
                return false;
            }
        }
        return countOf(Outcome.ANSWERED) > 0;
    }

    /**
     * Renders the report.
     *
     * @return one line per count and histogram; all outcomes come first, in the order of their declaration
     */
    public String render() {
        StringBuilder text = new StringBuilder();
        for (Outcome outcome : Outcome.values()) {
            text.append(String.format("  %-46s %8d%n", outcome.label(), countOf(outcome)));
        }
        new TreeMap<>(counts).forEach((name, count) -> {
            if (isCustomCount(name)) {
                text.append(String.format("  %-46s %8d%n", name, count.sum()));
            }
        });
        new TreeMap<>(histograms)
                .forEach((name, histogram) -> text.append(String.format(
                        "  %-46s p50 %d ms, p99 %d ms, max %d ms%n",
                        name,
                        histogram.getValueAtPercentile(50),
                        histogram.getValueAtPercentile(99),
                        histogram.getMaxValue())));
        return text.toString();
    }

    private static boolean isCustomCount(String name) {
        for (Outcome outcome : Outcome.values()) {
            if (outcome.label().equals(name)) {
                return false;
            }
        }
        return true;
    }
}
