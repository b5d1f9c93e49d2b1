package io.rosemarybeam.decision.step;

import java.util.List;
import java.util.Optional;

import io.rosemarybeam.common.configuration.ServiceConfiguration;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.wire.PeerRequest.SampleBody;
import io.rosemarybeam.decision.step.SampleEntity.Status;
import io.rosemarybeam.decision.step.StepInput.SampleScored;
import io.rosemarybeam.decision.step.StepInput.ScoringFailed;
import io.rosemarybeam.decision.step.StepInput.StepKey;

/**
 * Has every accepted body scored before it is copied, unless the service has no scoring service.
 *
 * <p>Invariant: a score is accepted only for the current body of a sample, and only once. Confined to the thread of the core.
 */
final class ScoringSystem {
    /** Time after which a scoring request without an answer is repeated under the same idempotency key. */
    private static final long TIMEOUT_MILLISECONDS = 10_000;

    /** Delay before scoring is requested again after the first failure; doubles with each further failure. */
    private static final long FIRST_BACKOFF_MILLISECONDS = 200;

    private static final long MAXIMUM_BACKOFF_MILLISECONDS = 10_000;

    private final StepTables tables;

    ScoringSystem(StepTables tables) {
        this.tables = tables;
    }

    void scored(SampleScored scored) {
        awaitingScore(scored.step(), scored.index(), scored.digest()).ifPresent(sample -> {
            SampleBody body = sample.body;
            sample.body = new SampleBody(body.index(), body.digest(), body.text(), body.spans(), scored.score());
            finish(tables.steps.get(scored.step()), sample);
        });
    }

    void failed(long now, ScoringFailed failed) {
        awaitingScore(failed.step(), failed.index(), failed.digest()).ifPresent(sample -> {
            sample.clearCommand();
            sample.notBeforeMilliseconds =
                    now + Math.min(FIRST_BACKOFF_MILLISECONDS << sample.failures, MAXIMUM_BACKOFF_MILLISECONDS);
            sample.failures = Math.min(sample.failures + 1, 10);
        });
    }

    void run(long now, List<StepCommand> commands) {
        for (StepEntity step : tables.steps.values()) {
            Optional<ServiceConfiguration> configuration = tables.configuration(step);
            if (configuration.isEmpty() || step.count(Status.GENERATED) == 0) {
                continue;
            }
            for (SampleEntity sample : step.samplesWith(Status.GENERATED)) {
                Optional<ServiceName> service = configuration.get().scoringService();
                if (service.isEmpty()) {
                    finish(step, sample);
                } else {
                    requestScore(now, step, sample, service.get(), commands);
                }
            }
        }
    }

    private void requestScore(
            long now, StepEntity step, SampleEntity sample, ServiceName service, List<StepCommand> commands) {
        boolean isPending = sample.commandId != 0 && now < sample.commandSentAtMilliseconds + TIMEOUT_MILLISECONDS;
        if (isPending || now < sample.notBeforeMilliseconds) {
            return;
        }
        sample.commandId = tables.nextCommandId();
        sample.commandSentAtMilliseconds = now;
        commands.add(new StepCommand.ScoreSample(
                step.key, sample.index, sample.body.digest(), service, sample.prompt, sample.body.text()));
    }

    private void finish(StepEntity step, SampleEntity sample) {
        sample.clearCommand();
        sample.failures = 0;
        sample.notBeforeMilliseconds = 0;
        step.move(sample, Status.SCORED);
    }

    private Optional<SampleEntity> awaitingScore(StepKey key, int index, String digest) {
        return Optional.ofNullable(tables.steps.get(key))
                .filter(step -> index >= 0 && index < step.samples.size())
                .map(step -> step.samples.get(index))
                .filter(sample -> sample.status == Status.GENERATED)
                .filter(sample -> sample.body.digest().equals(digest));
    }
}
