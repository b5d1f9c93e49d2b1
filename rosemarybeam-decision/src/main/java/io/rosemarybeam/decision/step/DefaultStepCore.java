package io.rosemarybeam.decision.step;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import io.rosemarybeam.decision.step.StepInput.BodiesFetched;
import io.rosemarybeam.decision.step.StepInput.BodiesStored;
import io.rosemarybeam.decision.step.StepInput.CapacityChanged;
import io.rosemarybeam.decision.step.StepInput.CommitAnswered;
import io.rosemarybeam.decision.step.StepInput.ConfigurationActivated;
import io.rosemarybeam.decision.step.StepInput.CursorAcknowledged;
import io.rosemarybeam.decision.step.StepInput.EntryHostsChanged;
import io.rosemarybeam.decision.step.StepInput.HandOverAnswered;
import io.rosemarybeam.decision.step.StepInput.ReadRequested;
import io.rosemarybeam.decision.step.StepInput.SampleFailed;
import io.rosemarybeam.decision.step.StepInput.SampleGenerated;
import io.rosemarybeam.decision.step.StepInput.SampleProgressed;
import io.rosemarybeam.decision.step.StepInput.SampleScored;
import io.rosemarybeam.decision.step.StepInput.ScoringFailed;
import io.rosemarybeam.decision.step.StepInput.StepLost;
import io.rosemarybeam.decision.step.StepInput.StepOwned;
import io.rosemarybeam.decision.step.StepInput.Tick;
import io.rosemarybeam.decision.step.StepInput.WeightsPublished;
import io.rosemarybeam.decision.step.StepTables.ServiceEntity;

/**
 * Step core made of systems that run over shared tables, as in an entity-component-system architecture.
 *
 * <p>Invariant: an input changes the tables first; then every system runs once, in the order in which a sample passes through
 * them, with the submission of new and duplicate attempts last. A progress report runs no system, as it changes
 * only the state of one attempt. Confined to one thread.
 */
final class DefaultStepCore implements StepCore {
    /** Weight of the newest interval in the moving average of the time between two weight publications. */
    private static final double INTERVAL_SMOOTHING = 0.5;

    private final StepTables tables;
    private final OwnershipSystem ownership;
    private final GenerationSystem generation;
    private final SubmissionSystem submission;
    private final StragglerSystem stragglers;
    private final ScoringSystem scoring;
    private final BodySystem bodies;
    private final CommitSystem commits;
    private final HandOverSystem handOvers;

    DefaultStepCore(StepCoreSettings settings) {
        tables = new StepTables(Objects.requireNonNull(settings, "settings"));
        ownership = new OwnershipSystem(tables);
        submission = new SubmissionSystem(tables);
        stragglers = new StragglerSystem(tables, submission);
        generation = new GenerationSystem(tables, stragglers);
        scoring = new ScoringSystem(tables);
        bodies = new BodySystem(tables);
        commits = new CommitSystem(tables);
        handOvers = new HandOverSystem(tables);
    }

    @Override
    public List<StepCommand> handle(long nowMilliseconds, StepInput input) {
        List<StepCommand> commands = new ArrayList<>();
        apply(nowMilliseconds, Objects.requireNonNull(input, "input"), commands);
        if (input instanceof SampleProgressed) {
            return commands;
        }
        generation.run(nowMilliseconds, commands);
        scoring.run(nowMilliseconds, commands);
        bodies.run(nowMilliseconds, commands);
        commits.run(nowMilliseconds, commands);
        handOvers.run(nowMilliseconds, commands);
        submission.run(nowMilliseconds, commands);
        stragglers.run(nowMilliseconds, commands);
        return commands;
    }

    @Override
    public Map<String, Object> dump() {
        return tables.dump();
    }

    private void apply(long now, StepInput input, List<StepCommand> commands) {
        switch (input) {
            case Tick unused -> {
                // Changes no table; the systems run on every input.
            }
            case StepOwned owned -> ownership.takeOwnership(now, owned.snapshot(), commands);
            case StepLost lost -> ownership.releaseOwnership(lost.step(), commands);
            case ConfigurationActivated activated -> activate(activated);
            case EntryHostsChanged changed -> {
                tables.hosts.clear();
                changed.entryHosts().forEach(host -> tables.hosts.put(host.name(), host));
            }
            case WeightsPublished published -> publish(now, published);
            case CapacityChanged changed -> changeCapacity(changed);
            case SampleProgressed progressed -> generation.progressed(now, progressed);
            case SampleGenerated generated -> generation.generated(now, generated, commands);
            case SampleFailed failed -> generation.failed(now, failed);
            case SampleScored scored -> scoring.scored(scored);
            case ScoringFailed failed -> scoring.failed(now, failed);
            case BodiesStored stored -> bodies.stored(now, stored);
            case BodiesFetched fetched -> bodies.fetched(now, fetched);
            case CommitAnswered answered -> commits.answered(now, answered);
            case HandOverAnswered answered -> handOvers.answered(now, answered);
            case ReadRequested read -> tables.reads.put(read.readId(), read);
            case CursorAcknowledged acknowledged -> ownership.acknowledge(acknowledged, commands);
        }
    }

    private void activate(ConfigurationActivated activated) {
        boolean newer = tables.configuration
                .map(current ->
                        current.number().compareTo(activated.configuration().number()) < 0)
                .orElse(true);
        if (newer) {
            tables.configuration = Optional.of(activated.configuration());
        }
    }

    private void publish(long now, WeightsPublished published) {
        ServiceEntity service = tables.service(published.service());
        long version = published.version().value();
        if (version <= service.publishedVersion) {
            return;
        }
        if (service.publishedVersion > 0) {
            double interval = (double) (now - service.publishedAtMilliseconds) / (version - service.publishedVersion);
            service.publicationIntervalMilliseconds = service.publicationIntervalMilliseconds == 0
                    ? interval
                    : INTERVAL_SMOOTHING * interval
                            + (1 - INTERVAL_SMOOTHING) * service.publicationIntervalMilliseconds;
        }
        service.publishedVersion = version;
        service.publishedAtMilliseconds = now;
    }

    private void changeCapacity(CapacityChanged changed) {
        ServiceEntity service = tables.service(changed.service());
        service.reportedCapacity = Optional.of(Math.max(0, changed.trainingCapacity()));
        service.newestVersion = changed.newestVersion().value();
    }
}
