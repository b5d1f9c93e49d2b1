package io.rosemarybeam.decision.step;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.rosemarybeam.common.configuration.ServiceConfiguration.Training;
import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.RequestId;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.id.TrainerName;
import io.rosemarybeam.common.id.WeightVersion;
import io.rosemarybeam.decision.step.SampleEntity.AttemptEntity;
import io.rosemarybeam.decision.step.SampleEntity.Status;
import io.rosemarybeam.decision.step.StepTables.RunningAttempt;

/**
 * Submits pending samples while the service has capacity for training.
 *
 * <p>Invariant: the next sample belongs to the trainer with the fewest predicted tokens in progress relative to its weight, so
 * that no trainer starves. A sample is submitted only if an endpoint in service has loaded a version within the staleness
 * bound. Confined to the thread of the core.
 */
final class SubmissionSystem {
    /** Deadline of an attempt: nine minutes, within which all samples of a step should complete. */
    static final long SAMPLE_DEADLINE_MILLISECONDS = 9 * 60 * 1_000;

    private final StepTables tables;

    SubmissionSystem(StepTables tables) {
        this.tables = tables;
    }

    void run(long now, List<StepCommand> commands) {
        Set<ServiceName> services = new HashSet<>();
        for (StepEntity step : tables.steps.values()) {
            if (step.count(Status.PENDING) > 0) {
                services.add(step.specification.service());
            }
        }
        services.stream().sorted().forEach(service -> submit(now, service, commands));
    }

    private void submit(long now, ServiceName service, List<StepCommand> commands) {
        Map<TrainerName, Long> tokens = new HashMap<>();
        int free = tables.capacity(service);
        for (RunningAttempt running : tables.runningAttempts.values()) {
            if (running.step().specification.service().equals(service)) {
                free--;
                tokens.merge(
                        running.step().key.trainer(),
                        (long) tables.lengthPredictor.predict(running.step(), running.sample()),
                        Long::sum);
            }
        }
        List<StepEntity> steps = new ArrayList<>();
        for (StepEntity step : tables.steps.values()) {
            if (step.specification.service().equals(service) && step.count(Status.PENDING) > 0) {
                steps.add(step);
            }
        }
        Map<StepEntity, List<SampleEntity>> queues = new HashMap<>();
        while (free > 0) {
            Optional<StepEntity> next = steps.stream()
                    .filter(step -> !queues.computeIfAbsent(step, unused -> queue(now, step))
                            .isEmpty())
                    .min(Comparator.comparingDouble(
                            step -> tokens.getOrDefault(step.key.trainer(), 0L) / (double) weight(step)));
            if (next.isEmpty()) {
                return;
            }
            StepEntity step = next.get();
            SampleEntity sample = queues.get(step).removeFirst();
            start(now, step, sample, false, commands);
            tokens.merge(step.key.trainer(), (long) tables.lengthPredictor.predict(step, sample), Long::sum);
            free--;
        }
    }

    /** Returns the number of additional samples of a service that may run now. */
    int freeCapacity(ServiceName service) {
        long running = tables.runningAttempts.values().stream()
                .filter(other -> other.step().specification.service().equals(service))
                .count();
        return (int) (tables.capacity(service) - running);
    }

    private int weight(StepEntity step) {
        return tables.training(step)
                .map(rules -> Math.max(1, rules.trainerShares().getOrDefault(step.key.trainer(), 1)))
                .orElse(1);
    }

    private List<SampleEntity> queue(long now, StepEntity step) {
        Optional<Training> rules = tables.training(step);
        if (rules.isEmpty()
                || tables.newestVersion(step).value()
                        < tables.oldestPermitted(step).orElse(0L)) {
            return new ArrayList<>();
        }
        Comparator<SampleEntity> order = Comparator.comparingInt(sample -> sample.index);
        if (tables.settings.policies().contains(StepPolicy.LONGEST_FIRST)) {
            order = Comparator.comparingInt((SampleEntity sample) -> -tables.lengthPredictor.predict(step, sample))
                    .thenComparing(order);
        }
        return new ArrayList<>(step.samplesWith(Status.PENDING).stream()
                .filter(sample -> now >= sample.notBeforeMilliseconds)
                .sorted(order)
                .toList());
    }

    void start(long now, StepEntity step, SampleEntity sample, boolean duplicate, List<StepCommand> commands) {
        RequestId request = tables.nextRequestId();
        AttemptEntity attempt = new AttemptEntity(
                request, now, now + SAMPLE_DEADLINE_MILLISECONDS, tables.newestVersion(step), duplicate);
        Set<EndpointId> avoid = new HashSet<>();
        for (AttemptEntity other : sample.attempts) {
            if (other.endpoint != null) {
                avoid.add(other.endpoint);
            }
        }
        commands.add(new StepCommand.SubmitSample(
                request,
                step.key.trainer(),
                step.specification.service(),
                sample.prompt,
                sample.maximumTokens,
                tables.lengthPredictor.predict(step, sample),
                WeightVersion.of(tables.oldestPermitted(step).orElse(0L)),
                avoid,
                attempt.deadlineMilliseconds,
                step.key,
                sample.index));
        sample.attempts.add(attempt);
        tables.runningAttempts.put(request, new RunningAttempt(step, sample, attempt));
        step.move(sample, Status.RUNNING);
    }
}
