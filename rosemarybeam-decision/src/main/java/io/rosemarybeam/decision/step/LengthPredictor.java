package io.rosemarybeam.decision.step;

import java.util.LinkedHashMap;
import java.util.Map;

import io.rosemarybeam.common.collection.LeastRecentlyUsedMap;
import io.rosemarybeam.common.wire.StepRecords.VersionSpan;
import io.rosemarybeam.decision.step.SampleEntity.AttemptEntity;
import io.rosemarybeam.decision.step.StepEntity.GroupEntity;

/**
 * Predicts the number of tokens of a sample, from its group, from earlier samples of the same prompt, and from all samples of
 * the trainer.
 *
 * <p>Invariant: a prediction is between one token and the maximum length of the sample. Confined to the thread of the core.
 */
final class LengthPredictor {
    /** Weight of the prior from outside the group, as a number of samples. */
    private static final double PRIOR_SAMPLES = 1;

    /** Share of the maximum length that is predicted when nothing is known of the prompt or the trainer. */
    private static final double PRIOR_SHARE = 0.5;

    /** Weight of the newest sample in the moving average of a prompt or a trainer. */
    private static final double SMOOTHING = 0.2;

    /** Minimum expected remaining length of a running sample, as a share of the mean. */
    private static final double RESIDUAL_SHARE = 0.5;

    /** Number of prompts whose averages are retained, to bound memory. */
    private static final int MAXIMUM_PROMPTS = 8_192;

    private final Map<Integer, Double> shareByPrompt = new LeastRecentlyUsedMap<>(MAXIMUM_PROMPTS);
    private final Map<String, Double> shareByTrainer = new LinkedHashMap<>();

    /** Records the length of a completed sample. */
    void record(StepEntity step, SampleEntity sample, Iterable<VersionSpan> spans) {
        int tokens = 0;
        for (VersionSpan span : spans) {
            tokens += span.tokens();
        }
        GroupEntity group = step.groups.get(sample.group);
        group.samples++;
        group.tokens += tokens;
        double share = (double) tokens / Math.max(1, sample.maximumTokens);
        shareByPrompt.merge(sample.prompt.hashCode(), share, LengthPredictor::smooth);
        shareByTrainer.merge(step.key.trainer().value(), share, LengthPredictor::smooth);
    }

    int predict(StepEntity step, SampleEntity sample) {
        int generated = sample.attempts.stream()
                .mapToInt((AttemptEntity attempt) -> attempt.tokens + 1)
                .max()
                .orElse(1);
        return (int) Math.max(1, Math.min(Math.max(mean(step, sample), generated), Math.max(1, sample.maximumTokens)));
    }

    /** Predicts the length of a running sample; one that is longer than the mean is likely to continue for a while. */
    double predictRunning(StepEntity step, SampleEntity sample, int tokens) {
        double mean = mean(step, sample);
        double predicted = Math.max(mean, tokens + RESIDUAL_SHARE * mean);
        return Math.max(tokens + 1, Math.min(predicted, sample.maximumTokens));
    }

    private double mean(StepEntity step, SampleEntity sample) {
        GroupEntity group = step.groups.get(sample.group);
        Double share = shareByPrompt.get(sample.prompt.hashCode());
        if (share == null) {
            share = shareByTrainer.getOrDefault(step.key.trainer().value(), PRIOR_SHARE);
        }
        double prior = share * sample.maximumTokens;
        return (group.tokens + PRIOR_SAMPLES * prior) / (group.samples + PRIOR_SAMPLES);
    }

    private static double smooth(double known, double added) {
        return (1 - SMOOTHING) * known + SMOOTHING * added;
    }
}
