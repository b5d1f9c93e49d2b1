package io.rosemarybeam.replay;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.LongFunction;

import io.rosemarybeam.common.configuration.OperatorConfiguration;
import io.rosemarybeam.common.configuration.ServiceConfiguration.Training;
import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.HostName;
import io.rosemarybeam.common.id.RequestId;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.id.StepId;
import io.rosemarybeam.common.id.TrainerName;
import io.rosemarybeam.common.id.WeightVersion;
import io.rosemarybeam.common.wire.EntryHostRecord;
import io.rosemarybeam.common.wire.PeerRequest.SampleBody;
import io.rosemarybeam.common.wire.StepRecords.GroupSpecification;
import io.rosemarybeam.common.wire.StepRecords.StepSnapshot;
import io.rosemarybeam.common.wire.StepRecords.StepSpecification;
import io.rosemarybeam.common.wire.StepRecords.VersionSpan;
import io.rosemarybeam.decision.step.StepCommand;
import io.rosemarybeam.decision.step.StepCore;
import io.rosemarybeam.decision.step.StepInput;
import io.rosemarybeam.decision.step.StepInput.StepKey;
import org.apache.commons.codec.digest.DigestUtils;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Runs the step core in the simulation. Its commands are executed by the other models: samples by the request core,
 * copies of sample bodies by simulated peers, commits by the control model and reads by the trainer models.
 *
 * <p>Invariant: an answer to a command of a replaced core never reaches its successor. Confined to one thread.
 */
final class StepModel implements EntryModel.SampleHandler, TrainerModel.Entry {
    private static final long PEER_DELAY_MILLISECONDS = 5;
    private static final long SCORING_DELAY_MILLISECONDS = 20;
    private static final long RETRY_DELAY_MILLISECONDS = 500;
    private static final int PROMPT_TOKENS = 64;
    private static final int PERCENT = 100;

    /** An odd number with well mixed bits, so that consecutive samples get uncorrelated seeds. */
    private static final long SEED_MULTIPLIER = 0x9E3779B97F4A7C15L;

    /** Minimum interval between two progress reports of a sample to the core. */
    private static final long PROGRESS_INTERVAL_MILLISECONDS = 250;

    /** Mean and maximum length of the samples of a step, in tokens. */
    private record LengthDistribution(int mean, int maximum) {}

    /** A peer that stores copies of sample bodies by step and index. */
    private static final class Peer {
        final Map<StepKey, TreeMap<Integer, SampleBody>> bodies = new HashMap<>();
    }

    private final VirtualTime time;
    private final Measures measures;
    private final ControlModel control;
    private final EntryModel entry;
    private final RolloutModel rollouts;
    private final LongFunction<StepCore> coreFactory;
    private final long seed;
    private final List<EntryHostRecord> hosts;
    private final TreeMap<HostName, Peer> peers = new TreeMap<>();
    private final TreeMap<TrainerName, TrainerModel> trainers = new TreeMap<>();
    private final Map<StepKey, LengthDistribution> lengths = new HashMap<>();
    private final Map<StepKey, StepSpecification> specifications = new HashMap<>();
    private final Map<String, List<VersionSpan>> recordedSpans = new HashMap<>();
    private final Map<ServiceName, Long> knownVersions = new HashMap<>();
    private final Map<Long, TrainerModel.ReadHandler> reads = new LinkedHashMap<>();
    private final Map<RequestId, Long> progressReportedAt = new HashMap<>();
    private final Set<RequestId> submitted = new HashSet<>();
    private final ArrayDeque<StepInput> pendingInputs = new ArrayDeque<>();
    private boolean handling;
    private StepCore core;
    private OperatorConfiguration configuration;
    private long generation;
    private long lastRead;

    StepModel(
            VirtualTime time,
            Measures measures,
            ControlModel control,
            EntryModel entry,
            RolloutModel rollouts,
            LongFunction<StepCore> coreFactory,
            List<EntryHostRecord> hosts,
            long seed) {
        this.time = time;
        this.measures = measures;
        this.control = control;
        this.entry = entry;
        this.rollouts = rollouts;
        this.coreFactory = coreFactory;
        this.hosts = hosts;
        this.seed = seed;
        this.core = coreFactory.apply(seed);
        hosts.forEach(host -> peers.put(host.name(), new Peer()));
    }

    void start() {
        enqueue(new StepInput.EntryHostsChanged(hosts));
        time.every(10, () -> enqueue(new StepInput.Tick()));
    }

    void finish(long end) {
        trainers.values().forEach(trainer -> trainer.finish(end));
    }

    // Events of the trace.

    void activate(OperatorConfiguration value) {
        configuration = value;
        enqueue(new StepInput.ConfigurationActivated(value));
    }

    /** Reports the capacity for samples and the range of weight versions of each service to the core. */
    void capacityChanged() {
        if (configuration == null) {
            return;
        }
        configuration.services().forEach((name, service) -> {
            int capacity = 0;
            long oldest = Long.MAX_VALUE;
            long newest = -1;
            for (EndpointModel endpoint : entry.endpoints.values()) {
                Optional<WeightVersion> version = endpoint.record.weightVersion();
                boolean inService = endpoint.record.service().equals(name)
                        && !endpoint.down
                        && !endpoint.record.leaving()
                        && version.isPresent()
                        && !rollouts.isOutOfService(endpoint.record.id());
                if (inService) {
                    capacity += endpoint.record.capacity() * (PERCENT - service.customerReservePercent()) / PERCENT;
                    oldest = Math.min(oldest, version.get().value());
                    newest = Math.max(newest, version.get().value());
                }
            }
            if (newest >= 0) {
                enqueue(new StepInput.CapacityChanged(
                        name, capacity, WeightVersion.of(oldest), WeightVersion.of(newest)));
            }
        });
    }

    void open(TraceEvent.Step step, int repetition) {
        List<GroupSpecification> groups = new ArrayList<>();
        for (int group = 0; group < step.groups(); group++) {
            groups.add(new GroupSpecification(
                    step.trainer() + "-prompt-" + group, step.samplesPerGroup(), step.maximumTokens()));
        }
        ServiceName service = ServiceName.of(step.service());
        StepSpecification specification = new StepSpecification(
                TrainerName.of(step.trainer()),
                StepId.of(step.step() + "-" + repetition),
                service,
                WeightVersion.of(control.published(service)),
                groups);
        StepKey key = new StepKey(specification.trainer(), specification.step());
        lengths.put(key, new LengthDistribution(step.meanTokens(), step.maximumTokens()));
        specifications.put(key, specification);
        open(specification, time.now());
    }

    private void open(StepSpecification specification, long requestedAt) {
        control.call(
                () -> control.open(specification),
                snapshot -> {
                    enqueue(new StepInput.StepOwned(snapshot));
                    trainer(specification.trainer()).opened(specification, requestedAt);
                },
                () -> time.after(RETRY_DELAY_MILLISECONDS, () -> open(specification, requestedAt)));
    }

    void publish(ServiceName service, long version) {
        long publishedAt = time.now();
        control.call(
                () -> control.publish(service, version),
                accepted -> {
                    entry.runWhenNotPaused(() -> knownVersions.merge(service, version, Math::max));
                    enqueue(new StepInput.WeightsPublished(service, WeightVersion.of(version)));
                    rollouts.published(service, version, publishedAt);
                },
                () -> time.after(RETRY_DELAY_MILLISECONDS, () -> publish(service, version)));
    }

    void restartTrainer(TrainerName name) {
        trainer(name).restart();
    }

    /**
     * Replaces the owner of all steps by a new entry process with a new core.
     *
     * @param lostShare share of the sample bodies that the peers lose, from 0 to 1
     */
    void replaceOwner(double lostShare) {
        generation++;
        submitted.forEach(entry::cancel);
        submitted.clear();
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed + generation);
        for (Peer peer : peers.values()) {
            peer.bodies.values().forEach(bodies -> bodies.keySet().removeIf(index -> random.nextDouble() < lostShare));
        }
        List<TrainerModel.ReadHandler> openReads = List.copyOf(reads.values());
        reads.clear();
        core = coreFactory.apply(seed + generation);
        enqueue(new StepInput.EntryHostsChanged(hosts));
        if (configuration != null) {
            enqueue(new StepInput.ConfigurationActivated(configuration));
        }
        knownVersions.forEach(
                (service, version) -> enqueue(new StepInput.WeightsPublished(service, WeightVersion.of(version))));
        capacityChanged();
        takeOverAllSteps();
        openReads.forEach(handler -> handler.answered(List.of(), -1));
    }

    private void takeOverAllSteps() {
        long current = generation;
        control.call(
                control::takeOverAllSteps,
                snapshots -> {
                    for (StepSnapshot snapshot : snapshots) {
                        enqueueIfCurrent(current, new StepInput.StepOwned(snapshot));
                    }
                },
                () -> time.after(RETRY_DELAY_MILLISECONDS, this::takeOverAllSteps));
    }

    private TrainerModel trainer(TrainerName name) {
        return trainers.computeIfAbsent(name, unused -> new TrainerModel(time, this, measures, name));
    }

    // Inputs and commands of the core.

    /** Passes an input to the core; inputs that arise while a command is executed are handled after it. */
    private void enqueue(StepInput input) {
        entry.runWhenNotPaused(() -> {
            pendingInputs.add(input);
            if (handling) {
                return;
            }
            handling = true;
            while (!pendingInputs.isEmpty()) {
                core.handle(time.now(), pendingInputs.removeFirst()).forEach(this::execute);
            }
            handling = false;
        });
    }

    /** Passes an input to the core unless the core that caused it has been replaced. */
    private void enqueueIfCurrent(long expectedGeneration, StepInput input) {
        if (expectedGeneration == generation) {
            enqueue(input);
        }
    }

    private void execute(StepCommand command) {
        long current = generation;
        switch (command) {
            case StepCommand.SubmitSample submit -> submit(submit);
            case StepCommand.CancelSample cancel -> {
                submitted.remove(cancel.request());
                entry.cancel(cancel.request());
            }
            case StepCommand.ScoreSample score ->
                time.after(
                        SCORING_DELAY_MILLISECONDS,
                        () -> enqueueIfCurrent(
                                current,
                                new StepInput.SampleScored(
                                        score.step(),
                                        score.index(),
                                        score.digest(),
                                        score.text().length())));
            case StepCommand.StoreBodies store -> time.after(PEER_DELAY_MILLISECONDS, () -> store(current, store));
            case StepCommand.FetchBodies fetch -> time.after(PEER_DELAY_MILLISECONDS, () -> fetch(current, fetch));
            case StepCommand.DropBodies drop ->
                time.after(PEER_DELAY_MILLISECONDS, () -> {
                    TreeMap<Integer, SampleBody> storedBodies =
                            peers.get(drop.peer()).bodies.getOrDefault(drop.step(), new TreeMap<>());
                    storedBodies.keySet().removeAll(drop.indexes());
                });
            case StepCommand.CommitSamples commit -> commit(current, commit);
            case StepCommand.RecordHandOver record ->
                control.call(
                        () -> control.recordHandOver(
                                record.step(), record.ownerEpoch(), record.cursor(), record.sampleIndexes()),
                        accepted -> enqueueIfCurrent(
                                current, new StepInput.HandOverAnswered(record.step(), record.cursor(), accepted)),
                        () -> enqueueIfCurrent(
                                current, new StepInput.HandOverAnswered(record.step(), record.cursor(), false)));
            case StepCommand.AnswerRead answer -> {
                TrainerModel.ReadHandler handler = reads.remove(answer.readId());
                if (handler != null) {
                    time.after(1, () -> handler.answered(answer.bodies(), answer.remaining()));
                }
            }
            case StepCommand.RefuseRead refuse -> {
                TrainerModel.ReadHandler handler = reads.remove(refuse.readId());
                if (handler != null) {
                    time.after(1, () -> handler.answered(List.of(), -1));
                }
            }
        }
    }

    private void submit(StepCommand.SubmitSample submit) {
        int tokens = tokens(submit);
        CallerModel.Call call = new CallerModel.Call(
                submit.step() + "-" + submit.index(),
                submit.service(),
                tokens,
                PROMPT_TOKENS,
                submit.prompt(),
                true,
                Optional.empty(),
                false);
        submitted.add(submit.request());
        measures.count("samples submitted");
        entry.submit(
                submit.request(),
                call,
                submit.trainer(),
                submit.expectedTokens(),
                submit.deadlineMilliseconds(),
                submit.minimumVersion(),
                submit.avoid());
    }

    /** Draws the length of a sample. It is the same for all attempts; samples of a prompt have similar lengths. */
    private int tokens(StepCommand.SubmitSample submit) {
        LengthDistribution length = lengths.get(submit.step());
        long promptSeed = seed ^ submit.prompt().hashCode() * SEED_MULTIPLIER;
        int promptMean =
                CallerModel.drawTokens(RandomSource.SPLIT_MIX_64.create(promptSeed), length.mean(), length.maximum());
        long sampleSeed = seed ^ (submit.step().hashCode() * 31L + submit.index()) * SEED_MULTIPLIER;
        return CallerModel.drawTokens(RandomSource.SPLIT_MIX_64.create(sampleSeed), promptMean, length.maximum());
    }

    private void commit(long current, StepCommand.CommitSamples commit) {
        List<Integer> indexes =
                commit.samples().stream().map(sample -> sample.index()).toList();
        control.call(
                () -> control.commit(commit.step(), commit.ownerEpoch(), commit.samples(), commit.replacing()),
                accepted -> enqueueIfCurrent(
                        current, new StepInput.CommitAnswered(commit.commandId(), commit.step(), indexes, accepted)),
                () -> enqueueIfCurrent(
                        current, new StepInput.CommitAnswered(commit.commandId(), commit.step(), indexes, false)));
    }

    private void store(long current, StepCommand.StoreBodies store) {
        TreeMap<Integer, SampleBody> storedBodies =
                peers.get(store.peer()).bodies.computeIfAbsent(store.step(), unused -> new TreeMap<>());
        store.bodies().forEach(body -> storedBodies.put(body.index(), body));
        List<Integer> indexes = store.bodies().stream().map(SampleBody::index).toList();
        enqueueIfCurrent(
                current, new StepInput.BodiesStored(store.commandId(), store.step(), store.peer(), indexes, true));
    }

    private void fetch(long current, StepCommand.FetchBodies fetch) {
        TreeMap<Integer, SampleBody> storedBodies =
                peers.get(fetch.peer()).bodies.getOrDefault(fetch.step(), new TreeMap<>());
        List<SampleBody> bodies = fetch.indexes().stream()
                .filter(storedBodies::containsKey)
                .map(storedBodies::get)
                .toList();
        enqueueIfCurrent(current, new StepInput.BodiesFetched(fetch.step(), fetch.peer(), bodies));
    }

    // Progress and outcomes of samples, reported by the entry model.

    @Override
    public void progressed(RequestId request, EndpointId endpoint, int tokens) {
        long lastReportedAt = progressReportedAt.getOrDefault(request, Long.MIN_VALUE / 2);
        if (time.now() >= lastReportedAt + PROGRESS_INTERVAL_MILLISECONDS) {
            progressReportedAt.put(request, time.now());
            enqueue(new StepInput.SampleProgressed(request, endpoint, tokens));
        }
    }

    @Override
    public void generated(RequestId request, List<VersionSpan> spans) {
        String text = "text of " + request;
        recordedSpans.put(text, spans);
        progressReportedAt.remove(request);
        submitted.remove(request);
        enqueue(new StepInput.SampleGenerated(request, text, DigestUtils.sha256Hex(text), spans));
    }

    @Override
    public void failed(RequestId request, ErrorCode code, long retryAfterMilliseconds) {
        progressReportedAt.remove(request);
        submitted.remove(request);
        enqueue(new StepInput.SampleFailed(request, code, retryAfterMilliseconds));
    }

    // Calls of the trainer models.

    @Override
    public void read(StepKey step, long cursor, int maximumSamples, long deadline, TrainerModel.ReadHandler handler) {
        lastRead++;
        reads.put(lastRead, handler);
        enqueue(new StepInput.ReadRequested(lastRead, step, cursor, maximumSamples, deadline));
    }

    @Override
    public void acknowledge(StepKey step, long cursor) {
        control.call(
                () -> control.acknowledge(step, cursor),
                accepted -> enqueue(new StepInput.CursorAcknowledged(step, cursor)),
                () -> time.after(RETRY_DELAY_MILLISECONDS, () -> acknowledge(step, cursor)));
    }

    @Override
    public long trainerVersion(StepKey step) {
        StepSpecification specification = specifications.get(step);
        return Math.max(
                specification.trainerVersion().value(), knownVersions.getOrDefault(specification.service(), 0L));
    }

    @Override
    public int stalenessBound(StepKey step) {
        return configuration
                .service(specifications.get(step).service())
                .flatMap(service -> service.training())
                .map(Training::stalenessBoundVersions)
                .orElse(0);
    }

    @Override
    public List<VersionSpan> recordedSpans(String text) {
        return recordedSpans.getOrDefault(text, List.of());
    }
}
