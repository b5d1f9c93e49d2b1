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
    private static final long LONGEST_MILLISECONDS = TimeUnit.MINUTES.toMillis(10);
    private static final int SIGNIFICANT_DIGITS = 3;

    private final Map<String, LongAdder> counts = new ConcurrentHashMap<>();
    private final Map<String, Histogram> latencies = new ConcurrentHashMap<>();

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
     * @param milliseconds how long it took
     */
    public void latency(String name, long milliseconds) {
        latencies
                .computeIfAbsent(name, ignored -> new ConcurrentHistogram(LONGEST_MILLISECONDS, SIGNIFICANT_DIGITS))
                .recordValue(Math.min(milliseconds, LONGEST_MILLISECONDS));
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
        private final boolean broken;

        Outcome(String label, boolean broken) {
            this.label = label;
            this.broken = broken;
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
            if (outcome.broken && countOf(outcome) > 0) {
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
            if (isOther(name)) {
                text.append(String.format("  %-46s %8d%n", name, count.sum()));
            }
        });
        new TreeMap<>(latencies)
                .forEach((name, histogram) -> text.append(String.format(
                        "  %-46s p50 %d ms, p99 %d ms, max %d ms%n",
                        name,
                        histogram.getValueAtPercentile(50),
                        histogram.getValueAtPercentile(99),
                        histogram.getMaxValue())));
        return text.toString();
    }

    private static boolean isOther(String name) {
        for (Outcome outcome : Outcome.values()) {
            if (outcome.label().equals(name)) {
                return false;
            }
        }
        return true;
    }
}
