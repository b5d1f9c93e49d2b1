package io.rosemarybeam.replay;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.HdrHistogram.Histogram;

/**
 * Collects the measures and the promise checks by which a replay is judged. A promise is a guarantee of the service, such
 * as that every sample is delivered exactly once. Confined to one thread.
 */
final class Measures {
    /** Names of the measures for which a trace may set a bound. */
    static final Set<String> NAMES = Set.of(
            "promisesBroken",
            "trainerIdleSeconds",
            "stepSecondsMaximum",
            "stepsUnfinished",
            "stalenessMean",
            "stalenessP99",
            "stalenessMaximum",
            "customerLatencyP50Milliseconds",
            "customerLatencyP99Milliseconds",
            "customerRequestsUnanswered",
            "rolloutSecondsMaximum",
            "goodputTokensPerSecond",
            "wastedTokens",
            "endpointsCrashedByPoison");

    /** Upper limit of the latency histogram; longer than any trace needs. */
    private static final long LARGEST_LATENCY_MILLISECONDS = 3_600_000;

    /** Number of checks and violations of a promise. */
    private static final class PromiseCount {
        long checked;
        long broken;
    }

    /** In milliseconds, from the first sending to the answer. */
    final Histogram customerLatency = new Histogram(LARGEST_LATENCY_MILLISECONDS, 3);
    /** In weight versions, one value for each sample. */
    final Histogram staleness = new Histogram(1_000, 3);

    final TreeMap<String, Long> counts = new TreeMap<>();
    long customerTokens;
    long sampleTokens;
    double producedTokens;
    double trainerIdleSeconds;
    double stepSecondsMaximum;
    long stepsUnfinished;
    long customerRequestsUnanswered;
    double rolloutSecondsMaximum;
    long endpointsCrashedByPoison;
    private final Map<String, PromiseCount> promises = new TreeMap<>();
    private final Map<String, String> firstViolations = new LinkedHashMap<>();

    void count(String name) {
        counts.merge(name, 1L, Long::sum);
    }

    /** Counts a check of a promise; the detail of the first violation is reported. */
    void checkPromise(String name, boolean holds, String detail) {
        PromiseCount count = promises.computeIfAbsent(name, unused -> new PromiseCount());
        count.checked++;
        if (!holds) {
            count.broken++;
            firstViolations.putIfAbsent(name, detail);
        }
    }

    /** Returns the value of each measure in {@link #NAMES}. */
    Map<String, Double> values(long endMilliseconds) {
        Map<String, Double> values = new LinkedHashMap<>();
        values.put("promisesBroken", (double)
                promises.values().stream().mapToLong(count -> count.broken).sum());
        values.put("trainerIdleSeconds", trainerIdleSeconds);
        values.put("stepSecondsMaximum", stepSecondsMaximum);
        values.put("stepsUnfinished", (double) stepsUnfinished);
        values.put("stalenessMean", staleness.getTotalCount() == 0 ? 0 : staleness.getMean());
        values.put("stalenessP99", (double) staleness.getValueAtPercentile(99));
        values.put("stalenessMaximum", (double) staleness.getMaxValue());
        values.put("customerLatencyP50Milliseconds", (double) customerLatency.getValueAtPercentile(50));
        values.put("customerLatencyP99Milliseconds", (double) customerLatency.getValueAtPercentile(99));
        values.put("customerRequestsUnanswered", (double) customerRequestsUnanswered);
        values.put("rolloutSecondsMaximum", rolloutSecondsMaximum);
        values.put("goodputTokensPerSecond", (customerTokens + sampleTokens) * 1_000.0 / Math.max(1, endMilliseconds));
        values.put("wastedTokens", Math.max(0, producedTokens - customerTokens - sampleTokens));
        values.put("endpointsCrashedByPoison", (double) endpointsCrashedByPoison);
        return values;
    }

    /** Returns the number of checks and violations by promise, as text for the report. */
    Map<String, String> promiseLines() {
        Map<String, String> lines = new LinkedHashMap<>();
        promises.forEach((name, count) -> lines.put(
                name,
                count.checked + " checked, " + count.broken + " broken"
                        + (firstViolations.containsKey(name) ? ", first: " + firstViolations.get(name) : "")));
        return lines;
    }
}
