package io.rosemarybeam.decision.step;

import java.util.ArrayList;
import java.util.List;

import io.rosemarybeam.common.id.RequestId;
import io.rosemarybeam.common.wire.PeerRequest.SampleBody;
import io.rosemarybeam.common.wire.StepRecords.VersionSpan;
import io.rosemarybeam.decision.step.SampleEntity.AttemptEntity;
import io.rosemarybeam.decision.step.SampleEntity.Status;
import io.rosemarybeam.decision.step.StepInput.SampleFailed;
import io.rosemarybeam.decision.step.StepInput.SampleGenerated;
import io.rosemarybeam.decision.step.StepInput.SampleProgressed;
import io.rosemarybeam.decision.step.StepTables.RunningAttempt;

/**
 * Handles the results of attempts, accepts the first valid one of each sample, and restarts samples that became stale.
 *
 * <p>Invariant: a sample has at most one accepted body at a time; when accepted, the version spans of the body are present,
 * in ascending order and within the staleness bound. Confined to the thread of the core.
 */
final class GenerationSystem {
    /** Delay before a sample is submitted again after its first failure; doubles with each further failure. */
    private static final long FIRST_BACKOFF_MILLISECONDS = 200;

    private static final long MAXIMUM_BACKOFF_MILLISECONDS = 10_000;

    /** Time after its deadline at which an attempt without a result counts as failed. */
    private static final long OVERDUE_GRACE_MILLISECONDS = 5_000;

    private final StepTables tables;
    private final StragglerSystem stragglers;

    GenerationSystem(StepTables tables, StragglerSystem stragglers) {
        this.tables = tables;
        this.stragglers = stragglers;
    }

    void progressed(long now, SampleProgressed progressed) {
        RunningAttempt running = tables.runningAttempts.get(progressed.request());
        if (running == null) {
            return;
        }
        AttemptEntity attempt = running.attempt();
        attempt.tokens = Math.max(attempt.tokens, progressed.tokens());
        if (!progressed.endpoint().equals(attempt.endpoint)) {
            attempt.endpoint = progressed.endpoint();
            attempt.recentRate = -1;
            attempt.windowStartMilliseconds = now;
            attempt.windowStartTokens = attempt.tokens;
        } else if (now >= attempt.windowStartMilliseconds + StragglerSystem.RATE_WINDOW_MILLISECONDS) {
            attempt.recentRate =
                    (double) (attempt.tokens - attempt.windowStartTokens) / (now - attempt.windowStartMilliseconds);
            attempt.windowStartMilliseconds = now;
            attempt.windowStartTokens = attempt.tokens;
        }
    }

    void generated(long now, SampleGenerated generated, List<StepCommand> commands) {
        RunningAttempt running = tables.runningAttempts.remove(generated.request());
        if (running == null) {
            return;
        }
        StepEntity step = running.step();
        SampleEntity sample = running.sample();
        sample.attempts.remove(running.attempt());
        if (!isConsistent(step, generated.spans())) {
            postpone(now, step, sample, 0);
            return;
        }
        if (tables.isStale(step, generated.spans())) {
            requeue(step, sample);
            return;
        }
        tables.cancelAttempts(sample, commands);
        sample.body = new SampleBody(sample.index, generated.digest(), generated.text(), generated.spans(), Double.NaN);
        sample.failures = 0;
        sample.clearCommand();
        tables.lengthPredictor.record(step, sample, generated.spans());
        stragglers.recordRate(step, running.attempt());
        step.move(sample, Status.GENERATED);
    }

    void failed(long now, SampleFailed failed) {
        RunningAttempt running = tables.runningAttempts.remove(failed.request());
        if (running == null) {
            return;
        }
        running.sample().attempts.remove(running.attempt());
        postpone(now, running.step(), running.sample(), failed.retryAfterMilliseconds());
    }

    void run(long now, List<StepCommand> commands) {
        List<RequestId> overdue = new ArrayList<>();
        tables.runningAttempts.forEach((request, running) -> {
            if (now > running.attempt().deadlineMilliseconds + OVERDUE_GRACE_MILLISECONDS) {
                overdue.add(request);
            }
        });
        overdue.sort(null);
        for (RequestId request : overdue) {
            RunningAttempt running = tables.runningAttempts.remove(request);
            running.sample().attempts.remove(running.attempt());
            commands.add(new StepCommand.CancelSample(request));
            postpone(now, running.step(), running.sample(), 0);
        }
        for (StepEntity step : tables.steps.values()) {
            tables.oldestPermitted(step).ifPresent(oldest -> dropStale(step, oldest, commands));
        }
    }

    private void dropStale(StepEntity step, long oldest, List<StepCommand> commands) {
        if (step.checkedOldestPermitted == oldest) {
            return;
        }
        step.checkedOldestPermitted = oldest;
        for (SampleEntity sample : step.samplesWith(Status.RUNNING)) {
            // An attempt starts with a version that was in service at that time, so its result would be stale.
            if (sample.attempts.stream().allMatch(attempt -> attempt.newestVersionAtStart.value() < oldest)) {
                tables.regenerate(step, sample, commands);
            }
        }
        for (Status status : List.of(Status.GENERATED, Status.SCORED, Status.COPIED, Status.COMMITTED)) {
            for (SampleEntity sample : step.samplesWith(status)) {
                if (!sample.delivered
                        && !step.isCommitting(sample)
                        && SampleEntity.oldestVersion(sample.body.spans()) < oldest) {
                    tables.regenerate(step, sample, commands);
                }
            }
        }
        for (SampleEntity sample : step.samplesWith(Status.FETCHING)) {
            if (!sample.delivered && SampleEntity.oldestVersion(sample.committed.spans()) < oldest) {
                tables.regenerate(step, sample, commands);
            }
        }
    }

    private boolean isConsistent(StepEntity step, List<VersionSpan> spans) {
        if (spans.isEmpty()) {
            return false;
        }
        long newest = Math.max(tables.newestVersion(step).value(), tables.trainerVersion(step));
        long previous = 0;
        for (VersionSpan span : spans) {
            if (span.tokens() <= 0 || span.version().value() < previous) {
                return false;
            }
            previous = span.version().value();
        }
        return previous <= newest;
    }

    private void postpone(long now, StepEntity step, SampleEntity sample, long retryAfterMilliseconds) {
        long backoff = FIRST_BACKOFF_MILLISECONDS << Math.min(sample.failures, 10);
        sample.failures++;
        sample.notBeforeMilliseconds =
                now + Math.max(retryAfterMilliseconds, Math.min(backoff, MAXIMUM_BACKOFF_MILLISECONDS));
        requeue(step, sample);
    }

    private void requeue(StepEntity step, SampleEntity sample) {
        if (sample.attempts.isEmpty() && sample.status == Status.RUNNING) {
            step.move(sample, Status.PENDING);
        }
    }
}
