package io.rosemarybeam.replay;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.error.TraceException;

/**
 * Result of a replay. The component names are the keys of the JSON report. Immutable and safe for use by several threads.
 *
 * @param trace name of the trace
 * @param seed the seed
 * @param policy the set of policies that was used, in lower case
 * @param promises number of checks and violations by promise, as text
 * @param measures values by name of the measure
 * @param counts further counters by name
 * @param outcomes the bounds of the trace and whether they were met
 */
record Report(
        String trace,
        long seed,
        String policy,
        Map<String, String> promises,
        Map<String, Double> measures,
        Map<String, Long> counts,
        List<JudgedOutcome> outcomes) {
    /**
     * A bound of the trace and its result.
     *
     * @param measure name of the measure
     * @param bound the bound as text, for example {@code at most 3}
     * @param value the measured value
     * @param met whether the value is within the bound
     */
    record JudgedOutcome(String measure, String bound, double value, boolean met) {}

    /** Creates the report and compares the measures with the bounds of the trace. */
    static Report of(Trace trace, long seed, Replay.PolicyChoice policy, Measures measures) {
        Map<String, Double> values = measures.values(trace.endMilliseconds());
        List<JudgedOutcome> judged = new ArrayList<>();
        for (TraceEvent.Outcome outcome : trace.outcomes()) {
            double value = values.get(outcome.measure());
            boolean met = outcome.atMost() != null ? value <= outcome.atMost() : value >= outcome.atLeast();
            String bound = outcome.atMost() != null
                    ? "at most " + number(outcome.atMost())
                    : "at least " + number(outcome.atLeast());
            judged.add(new JudgedOutcome(outcome.measure(), bound, value, met));
        }
        return new Report(
                trace.name(),
                seed,
                policy.name().toLowerCase(Locale.ROOT),
                measures.promiseLines(),
                values,
                new LinkedHashMap<>(measures.counts),
                judged);
    }

    /** Returns whether every bound of the trace is met. */
    boolean isMet() {
        return outcomes.stream().allMatch(JudgedOutcome::met);
    }

    String toText() {
        StringBuilder text = new StringBuilder();
        text.append("trace ").append(trace).append(", seed ").append(seed);
        text.append(", policy ").append(policy).append('\n');
        text.append("promises\n").append(lines(promises));
        text.append("measures\n");
        text.append(lines(measures.entrySet().stream()
                .collect(Collectors.toMap(
                        Map.Entry::getKey, entry -> number(entry.getValue()), (a, b) -> a, LinkedHashMap::new))));
        text.append("counts\n").append(lines(counts));
        text.append("outcomes\n");
        for (JudgedOutcome outcome : outcomes) {
            text.append("  ").append(outcome.met() ? "met    " : "MISSED ");
            text.append(outcome.measure()).append(' ').append(outcome.bound());
            text.append(": ").append(number(outcome.value())).append('\n');
        }
        return text.toString();
    }

    String toJson() {
        try {
            return JsonMapper.builder()
                            .enable(SerializationFeature.INDENT_OUTPUT)
                            .build()
                            .writeValueAsString(this)
                    + "\n";
        } catch (JsonProcessingException exception) {
            throw new TraceException(ErrorCode.INTERNAL, "the report cannot be written as JSON", exception);
        }
    }

    private static String lines(Map<String, ?> values) {
        StringBuilder text = new StringBuilder();
        values.forEach((name, value) ->
                text.append("  ").append(name).append(": ").append(value).append('\n'));
        return text.toString();
    }

    private static String number(double value) {
        return String.format(Locale.ROOT, "%.3f", value).replaceAll("\\.?0+$", "");
    }
}
