package io.rosemarybeam.decision.step;

import io.rosemarybeam.decision.step.SampleEntity.AttemptEntity;
import io.rosemarybeam.decision.step.StepEntity.GroupEntity;

/**
 * Predicts how many tokens a sample will have.
 *
 * <p>Invariant: a prediction is between one token and the longest permitted length. Stateless and safe for use by several
 * threads as long as its arguments are confined to one.
 */
final class LengthPredictor {
    /** Weight of the permitted length, in samples, before a group or step has results of its own. */
    private static final double PRIOR_SAMPLES = 1;

    /** Share of the permitted length that a sample has when nothing else is known. */
    private static final double PRIOR_SHARE = 0.5;

    private LengthPredictor() {}

    static int predict(StepEntity step, SampleEntity sample) {
        GroupEntity group = step.groups.get(sample.group);
        double prior = PRIOR_SHARE * sample.maximumTokens;
        double mean = (group.tokens + PRIOR_SAMPLES * prior) / (group.samples + PRIOR_SAMPLES);
        int sofar = sample.attempts.stream()
                .mapToInt((AttemptEntity attempt) -> attempt.tokens + 1)
                .max()
                .orElse(1);
        return (int) Math.max(1, Math.min(Math.max(mean, sofar), Math.max(1, sample.maximumTokens)));
    }
}
