package io.rosemarybeam.decision.step;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import io.rosemarybeam.common.configuration.ServiceConfiguration.Training;
import io.rosemarybeam.decision.step.SampleEntity.AttemptEntity;
import io.rosemarybeam.decision.step.SampleEntity.Status;
import io.rosemarybeam.decision.step.StepTables.ServiceEntity;

/**
 * Runs the slowest remaining samples (stragglers) of a step a second time on another endpoint.
 *
 * <p>Invariant: a sample has at most two attempts at a time; a second one starts only while no sample of the step is pending
 * and the service has spare capacity. The configured weight of trainer idle time, relative to that of staleness, limits the
 * number of duplicated samples. Confined to the thread of the core.
 */
final class StragglerSystem {
    /** Interval between two checks for stragglers. */
    private static final long INTERVAL_MILLISECONDS = 250;

    /** Window over which the rate of an attempt is measured; short, as an endpoint may become slow at any time. */
    static final long RATE_WINDOW_MILLISECONDS = 2_000;

    /** Minimum ratio of the remaining time of the first attempt to the expected time of a second one. */
    private static final double MINIMUM_SPEEDUP = 1.25;

    /** Time until a new attempt produces its first token. */
    private static final double FIRST_TOKEN_MILLISECONDS = 500;

    /** Maximum share of the running samples that are duplicated, reached when only trainer idle time has weight. */
    private static final double MAXIMUM_DUPLICATED_SHARE = 0.5;

    /** Weight of the newest attempt in the moving average of the rate of a service. */
    private static final double RATE_SMOOTHING = 0.05;

    private record Candidate(SampleEntity sample, double gainMilliseconds) {}

    private final StepTables tables;
    private final SubmissionSystem submission;
    private long nextAtMilliseconds = Long.MIN_VALUE;

    StragglerSystem(StepTables tables, SubmissionSystem submission) {
        this.tables = tables;
        this.submission = submission;
    }

    void run(long now, List<StepCommand> commands) {
        if (now < nextAtMilliseconds || !tables.settings.policies().contains(StepPolicy.DUPLICATE_STRAGGLERS)) {
            return;
        }
        nextAtMilliseconds = now + INTERVAL_MILLISECONDS;
        for (StepEntity step : tables.steps.values()) {
            if (step.count(Status.PENDING) == 0 && step.count(Status.RUNNING) > 0) {
                tables.training(step).ifPresent(rules -> duplicate(now, step, rules, commands));
            }
        }
    }

    private void duplicate(long now, StepEntity step, Training rules, List<StepCommand> commands) {
        List<SampleEntity> running = step.samplesWith(Status.RUNNING);
        // Based on completed attempts. The running ones are not representative: stragglers gather on slow endpoints.
        double typical = tables.service(step.specification.service()).tokensPerMillisecond;
        if (typical <= 0) {
            return;
        }
        long duplicated =
                running.stream().filter(sample -> sample.attempts.size() > 1).count();
        double share = MAXIMUM_DUPLICATED_SHARE
                * rules.trainerIdleWeight()
                / Math.max(0.01, rules.trainerIdleWeight() + rules.stalenessWeight());
        long permitted = Math.max(1, Math.round(share * running.size())) - duplicated;
        int spare = submission.freeCapacity(step.specification.service());
        List<Candidate> candidates = new ArrayList<>();
        for (SampleEntity sample : running) {
            if (sample.attempts.size() == 1) {
                double gain = gain(now, step, sample, typical);
                if (gain > 0) {
                    candidates.add(new Candidate(sample, gain));
                }
            }
        }
        candidates.stream()
                .sorted(Comparator.comparingDouble(Candidate::gainMilliseconds).reversed())
                .limit(Math.max(0, Math.min(permitted, spare)))
                .forEach(candidate -> submission.start(now, step, candidate.sample(), true, commands));
    }

    /** Returns by how many milliseconds a second attempt is expected to complete earlier; 0 if it is not worthwhile. */
    private double gain(long now, StepEntity step, SampleEntity sample, double typical) {
        AttemptEntity attempt = sample.attempts.getFirst();
        double rate = rate(now, attempt);
        if (rate < 0) {
            return 0;
        }
        double predicted = tables.lengthPredictor.predictRunning(step, sample, attempt.tokens);
        double remaining = Math.max(1, predicted - attempt.tokens) / Math.max(rate, typical / 100);
        double secondAttempt = FIRST_TOKEN_MILLISECONDS + predicted / typical;
        return remaining > secondAttempt * MINIMUM_SPEEDUP ? remaining - secondAttempt : 0;
    }

    /** Records the rate of a completed attempt. */
    void recordRate(StepEntity step, AttemptEntity attempt) {
        ServiceEntity service = tables.service(step.specification.service());
        if (attempt.recentRate > 0) {
            service.tokensPerMillisecond = service.tokensPerMillisecond == 0
                    ? attempt.recentRate
                    : (1 - RATE_SMOOTHING) * service.tokensPerMillisecond + RATE_SMOOTHING * attempt.recentRate;
        }
    }

    /** Returns tokens per millisecond in the last window, lower if the attempt has stalled since, negative if unknown. */
    private static double rate(long now, AttemptEntity attempt) {
        long elapsed = now - attempt.windowStartMilliseconds;
        if (attempt.endpoint == null || attempt.recentRate < 0 && elapsed < RATE_WINDOW_MILLISECONDS) {
            return -1;
        }
        if (elapsed < 2 * RATE_WINDOW_MILLISECONDS && attempt.recentRate >= 0) {
            return attempt.recentRate;
        }
        return (double) (attempt.tokens - attempt.windowStartTokens) / elapsed;
    }
}
