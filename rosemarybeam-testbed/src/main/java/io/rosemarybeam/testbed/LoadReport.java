package io.rosemarybeam.testbed;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;

import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Counts what callers and trainers saw. Safe for use by several threads. */
public final class LoadReport {
    private static final long MAXIMUM_MILLISECONDS = TimeUnit.MINUTES.toMillis(10);
    private static final int SIGNIFICANT_DIGITS = 3;

    private final Map<String, LongAdder> counts = new ConcurrentHashMap<>();
    private final Map<String, Histogram> histograms = new ConcurrentHashMap<>();

    /**
     * Counts one occurrence.
     *
     * @param name what happened
     */
    public void count(String name) {
        counts.computeIfAbsent(name, ignored -> new LongAdder()).increment();
    }

    /**
     * Records a latency.
     *
     * @param name what was measured
     * @param value how long it took
     */
    public void record(String name, long value) {
        histograms
                .computeIfAbsent(name, ignored -> new ConcurrentHistogram(MAXIMUM_MILLISECONDS, SIGNIFICANT_DIGITS))
                .recordValue(Math.min(value, MAXIMUM_MILLISECONDS));
    }

    /**
     * Returns a count.
     *
     * @param outcome what happened
     * @return how often
     */
    public long countOf(Outcome outcome) {
        return counts.getOrDefault(outcome.label(), new LongAdder()).sum();
    }

    /** Outcomes that decide whether a run passed. */
    public enum Outcome {
        /** A whole and correct answer. */
        ANSWERED("requests answered in full", false),
        /** An answer that was not the expected text. */
        WRONG_ANSWER("WRONG ANSWERS", true),
        /** A stream that ended without its end mark. */
        CUT_STREAM("STREAMS CUT", true),
        /** A request that was given up after all tries. */
        LOST("REQUESTS LOST", true),
        /** An order that ran more than once. */
        RAN_TWICE("ORDERS RUN MORE THAN ONCE", true),
        /** A sample that was delivered again under another cursor. */
        DELIVERED_TWICE("SAMPLES DELIVERED MORE THAN ONCE", true),
        /** A sample that was older than the bound. */
        TOO_STALE("SAMPLES OLDER THAN THE BOUND", true),
        /** A sample without the versions that produced it. */
        UNLABELLED("SAMPLES WITHOUT VERSIONS", true),
        /** A step that was not whole in time. */
        STEP_INCOMPLETE("STEPS NOT WHOLE IN TIME", true),
        /** A whole step. */
        STEP_WHOLE("steps whole", false),
        /** A request that may have run and was not resent. */
        OUTCOME_UNKNOWN("requests with an unknown outcome", false);

        private final String label;
        private final boolean failure;

        Outcome(String label, boolean failure) {
            this.label = label;
            this.failure = failure;
        }

        /**
         * Returns the line of the report.
         *
         * @return a short text
         */
        public String label() {
            return label;
        }
    }

    /**
     * Counts an outcome.
     *
     * @param outcome the outcome
     */
    public void count(Outcome outcome) {
        count(outcome.label());
    }

    /**
     * Returns whether no promise was broken.
     *
     * @return false if anything was wrong, cut, lost, doubled, stale or incomplete
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
     * Returns the report as text.
     *
     * @return one line per count and latency
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
