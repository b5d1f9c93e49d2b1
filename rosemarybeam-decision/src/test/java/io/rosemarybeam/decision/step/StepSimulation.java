package io.rosemarybeam.decision.step;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

import io.rosemarybeam.common.configuration.OperatorConfiguration;
import io.rosemarybeam.common.configuration.ServiceConfiguration;
import io.rosemarybeam.common.configuration.ServiceConfiguration.ServiceClass;
import io.rosemarybeam.common.configuration.ServiceConfiguration.Training;
import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.id.ConfigurationNumber;
import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.FailureDomain;
import io.rosemarybeam.common.id.HostName;
import io.rosemarybeam.common.id.RequestId;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.id.StepId;
import io.rosemarybeam.common.id.TrainerName;
import io.rosemarybeam.common.id.WeightVersion;
import io.rosemarybeam.common.wire.EntryHostRecord;
import io.rosemarybeam.common.wire.PeerRequest.SampleBody;
import io.rosemarybeam.common.wire.StepRecords.GroupSpecification;
import io.rosemarybeam.common.wire.StepRecords.HandOver;
import io.rosemarybeam.common.wire.StepRecords.SampleCommit;
import io.rosemarybeam.common.wire.StepRecords.StepSnapshot;
import io.rosemarybeam.common.wire.StepRecords.StepSpecification;
import io.rosemarybeam.common.wire.StepRecords.VersionSpan;
import io.rosemarybeam.decision.step.StepInput.StepKey;

/**
 * Simulated environment of a step core: engines, scoring service, peers, ledger and trainer. Throws an {@link AssertionError}
 * when a command or a delivery breaks a rule.
 *
 * <p>Invariant: all commands are executed, and answered in a random order; answers may be late or repeated, and those of the
 * ledger may be lost after the change took effect. Confined to one thread.
 */
final class StepSimulation {
    static final int STALENESS_BOUND_VERSIONS = 2;
    static final int SAMPLES = 8;
    static final ServiceName SERVICE = ServiceName.of("brailler-lm");
    static final StepKey STEP = new StepKey(TrainerName.of("trainer-a"), StepId.of("step-1"));
    static final HostName OWNER = HostName.of("entry-1");
    private static final FailureDomain DOMAIN = FailureDomain.of("amman-a");

    final Random random;
    final boolean reliableBodies;

    /** Whether engines only return complete and fresh results. */
    boolean faultFree;

    StepCore core;
    long now = 1;
    long version = 1;

    /** Newest published version of which the core was notified. */
    long knownVersion = 1;

    // State of the ledger.
    final StepSpecification specification;
    long epoch = 1;
    final TreeMap<Integer, SampleCommit> committed = new TreeMap<>();
    final TreeMap<Long, HandOver> handOvers = new TreeMap<>();

    // State of peers and engines, and answers that are not delivered yet.
    final Map<HostName, Map<Integer, SampleBody>> peers = new TreeMap<>();
    final Map<String, List<VersionSpan>> spansByText = new HashMap<>();
    final Map<String, Integer> scoredTimes = new HashMap<>();
    final Map<RequestId, StepCommand.SubmitSample> running = new TreeMap<>();
    final List<Runnable> pending = new ArrayList<>();
    private final ArrayDeque<Runnable> ledger = new ArrayDeque<>();

    // State of the trainer.
    long cursor = 1;
    long lastRead;
    final Map<Long, Long> readCursors = new HashMap<>();
    final TreeMap<Long, List<SampleBody>> answers = new TreeMap<>();
    final TreeMap<Long, List<Integer>> answeredIndexes = new TreeMap<>();
    final Map<Integer, Long> received = new HashMap<>();
    private final Set<Long> recordedByOwner = new HashSet<>();
    private int generation;
    private int textCount;

    StepSimulation(long seed, boolean reliableBodies) {
        this.random = new Random(seed);
        this.reliableBodies = reliableBodies;
        specification = new StepSpecification(
                STEP.trainer(),
                STEP.step(),
                SERVICE,
                WeightVersion.of(1),
                List.of(
                        new GroupSpecification("one", SAMPLES / 2, 100),
                        new GroupSpecification("two", SAMPLES / 2, 50)));
        peers.put(HostName.of("entry-2"), new HashMap<>());
        peers.put(HostName.of("entry-3"), new HashMap<>());
        startCore();
    }

    private void startCore() {
        core = StepCore.of(
                StepCoreSettings.builder(OWNER, DOMAIN).seed(generation).build());
        feed(new StepInput.ConfigurationActivated(configuration()));
        feed(new StepInput.EntryHostsChanged(
                List.of(host("entry-1", "amman-a"), host("entry-2", "amman-b"), host("entry-3", "amman-c"))));
        feed(new StepInput.WeightsPublished(SERVICE, WeightVersion.of(version)));
        knownVersion = version;
        capacity();
        feed(new StepInput.StepOwned(snapshot()));
    }

    static OperatorConfiguration configuration() {
        ServiceConfiguration service = ServiceConfiguration.builder(SERVICE, ServiceClass.MODEL)
                .scoringService(Optional.of(ServiceName.of("proof-scorer")))
                .training(Optional.of(new Training(STALENESS_BOUND_VERSIONS, 0.5, 0.5, Map.of())))
                .build();
        return new OperatorConfiguration(
                ConfigurationNumber.of(1), List.of(), Set.of(), Set.of(), Map.of(), Map.of(SERVICE, service));
    }

    private static EntryHostRecord host(String name, String domain) {
        return new EntryHostRecord(HostName.of(name), 1, "", "", FailureDomain.of(domain), false);
    }

    StepSnapshot snapshot() {
        return new StepSnapshot(
                specification,
                Optional.of(OWNER),
                epoch,
                List.copyOf(committed.values()),
                List.copyOf(handOvers.values()),
                WeightVersion.of(version));
    }

    void feed(StepInput input) {
        core.handle(now, input).forEach(this::execute);
    }

    /** Queues an action to run at a random later time, unless the core is replaced before. */
    private void later(Runnable body) {
        int current = generation;
        pending.add(() -> {
            if (current == generation) {
                body.run();
            }
        });
    }

    /** Queues a change of the ledger; changes are applied in the order in which they were sent, as on one connection. */
    private void laterInLedgerOrder(Runnable body) {
        ledger.add(body);
        later(() -> ledger.removeFirst().run());
    }

    private void answer(StepInput input) {
        later(() -> {
            feed(input);
            if (random.nextInt(4) == 0) {
                later(() -> feed(input));
            }
        });
    }

    private void execute(StepCommand command) {
        switch (command) {
            case StepCommand.SubmitSample submit -> {
                check(running.put(submit.request(), submit) == null, "a request id is used twice");
            }
            case StepCommand.CancelSample cancel -> {
                if (random.nextBoolean()) {
                    running.remove(cancel.request());
                }
            }
            case StepCommand.ScoreSample score -> later(() -> score(score));
            case StepCommand.StoreBodies store -> later(() -> store(store));
            case StepCommand.FetchBodies fetch -> later(() -> fetch(fetch));
            case StepCommand.DropBodies drop ->
                later(() -> peers.get(drop.peer()).keySet().removeAll(drop.indexes()));
            case StepCommand.CommitSamples commit -> laterInLedgerOrder(() -> commit(commit));
            case StepCommand.RecordHandOver record -> {
                checkFresh(record);
                laterInLedgerOrder(() -> record(record));
            }
            case StepCommand.AnswerRead answer -> receive(answer);
            case StepCommand.RefuseRead refuse -> receiveRefusal(refuse);
        }
    }

    private void score(StepCommand.ScoreSample score) {
        if (random.nextInt(3) == 0) {
            answer(new StepInput.ScoringFailed(score.step(), score.index(), score.digest()));
        } else {
            answer(new StepInput.SampleScored(
                    score.step(), score.index(), score.digest(), score.digest().hashCode()));
        }
    }

    private void store(StepCommand.StoreBodies store) {
        List<Integer> indexes = store.bodies().stream().map(SampleBody::index).toList();
        boolean stored = random.nextInt(4) > 0;
        if (stored) {
            store.bodies().forEach(body -> peers.get(store.peer()).put(body.index(), body));
        }
        answer(new StepInput.BodiesStored(store.commandId(), store.step(), store.peer(), indexes, stored));
    }

    private void fetch(StepCommand.FetchBodies fetch) {
        Map<Integer, SampleBody> stored = peers.get(fetch.peer());
        boolean reachable = reliableBodies || random.nextInt(4) > 0;
        List<SampleBody> bodies = fetch.indexes().stream()
                .filter(index -> reachable && stored.containsKey(index))
                .map(stored::get)
                .toList();
        answer(new StepInput.BodiesFetched(fetch.step(), fetch.peer(), bodies));
    }

    private void commit(StepCommand.CommitSamples commit) {
        boolean applied = commit.ownerEpoch() == epoch && random.nextInt(4) > 0;
        List<Integer> indexes =
                commit.samples().stream().map(SampleCommit::index).toList();
        if (applied) {
            for (SampleCommit sample : commit.samples()) {
                SampleCommit known = committed.get(sample.index());
                check(
                        known == null || known.equals(sample) || commit.replacing(),
                        "a second body is committed without replacement");
                if (!isAcknowledged(sample.index())) {
                    committed.put(sample.index(), sample);
                }
            }
        }
        boolean answerLost = random.nextInt(4) == 0;
        answer(new StepInput.CommitAnswered(commit.commandId(), commit.step(), indexes, applied && !answerLost));
    }

    private boolean isAcknowledged(int index) {
        return handOvers.values().stream()
                .anyMatch(handOver ->
                        handOver.acknowledged() && handOver.sampleIndexes().contains(index));
    }

    private void record(StepCommand.RecordHandOver record) {
        boolean applied = record.ownerEpoch() == epoch && random.nextInt(4) > 0;
        if (applied) {
            HandOver known = handOvers.get(record.cursor());
            check(
                    known == null || known.sampleIndexes().equals(record.sampleIndexes()),
                    "a cursor is recorded with other samples");
            check(known != null || record.cursor() == handOvers.size() + 1, "cursors are not consecutive");
            for (int index : record.sampleIndexes()) {
                check(committed.containsKey(index), "a sample is handed over without a committed body");
                boolean hasOtherCursor = handOvers.values().stream()
                        .anyMatch(other -> other.cursor() != record.cursor()
                                && other.sampleIndexes().contains(index));
                check(!hasOtherCursor, "a sample has two cursors");
            }
            handOvers.putIfAbsent(record.cursor(), new HandOver(record.cursor(), record.sampleIndexes(), false));
        }
        boolean answerLost = random.nextInt(4) == 0;
        answer(new StepInput.HandOverAnswered(record.step(), record.cursor(), applied && !answerLost));
    }

    private void checkFresh(StepCommand.RecordHandOver record) {
        if (!recordedByOwner.add(record.cursor())) {
            return;
        }
        for (int index : record.sampleIndexes()) {
            check(
                    staleness(committed.get(index).spans()) <= STALENESS_BOUND_VERSIONS,
                    "a stale sample is assigned to a cursor");
        }
    }

    private long staleness(List<VersionSpan> spans) {
        return knownVersion - SampleEntity.oldestVersion(spans);
    }

    private void receive(StepCommand.AnswerRead answer) {
        check(readCursors.remove(answer.readId()) != null, "a read is answered twice");
        if (answer.bodies().isEmpty()) {
            return;
        }
        List<Integer> indexes = answer.bodies().stream().map(SampleBody::index).toList();
        List<Integer> before = answeredIndexes.putIfAbsent(answer.cursor(), indexes);
        check(before == null || before.equals(indexes), "a cursor is answered with other samples");
        check(handOvers.containsKey(answer.cursor()), "a cursor is answered before it is recorded");
        List<SampleBody> bodies = answers.putIfAbsent(answer.cursor(), answer.bodies());
        if (bodies != null) {
            check(!reliableBodies || bodies.equals(answer.bodies()), "a cursor is answered with other content");
            return;
        }
        for (SampleBody body : answer.bodies()) {
            check(received.putIfAbsent(body.index(), answer.cursor()) == null, "a sample is delivered twice");
            check(body.spans().equals(spansByText.get(body.text())), "wrong version labels");
            check(body.score() == body.digest().hashCode(), "wrong score");
            boolean recordedNow = recordedByOwner.contains(answer.cursor());
            check(!recordedNow || staleness(body.spans()) <= STALENESS_BOUND_VERSIONS, "a stale sample is delivered");
        }
    }

    private void receiveRefusal(StepCommand.RefuseRead refuse) {
        long requested = readCursors.remove(refuse.readId());
        boolean acknowledged =
                handOvers.containsKey(requested) && handOvers.get(requested).acknowledged();
        check(acknowledged && refuse.code() == ErrorCode.CURSOR_INVALID, "a valid read is refused: " + refuse.code());
    }

    void read() {
        lastRead++;
        readCursors.put(lastRead, cursor);
        feed(new StepInput.ReadRequested(lastRead, STEP, cursor, 1 + random.nextInt(3), now + 2_000));
    }

    void acknowledge() {
        if (!answers.containsKey(cursor)) {
            return;
        }
        long acknowledged = cursor;
        handOvers.computeIfPresent(
                acknowledged, (number, handOver) -> new HandOver(number, handOver.sampleIndexes(), true));
        answer(new StepInput.CursorAcknowledged(STEP, acknowledged));
        cursor++;
    }

    void publish() {
        version++;
        long published = version;
        later(() -> {
            feed(new StepInput.WeightsPublished(SERVICE, WeightVersion.of(published)));
            knownVersion = Math.max(knownVersion, published);
        });
    }

    void capacity() {
        long oldest = Math.max(1, version - random.nextInt(3));
        feed(new StepInput.CapacityChanged(
                SERVICE, 1 + random.nextInt(6), WeightVersion.of(oldest), WeightVersion.of(version)));
    }

    /** Ends a running attempt with a valid result, without version spans, with contradictory ones, or with a failure. */
    void endAttempt() {
        if (running.isEmpty()) {
            return;
        }
        List<RequestId> requests = List.copyOf(running.keySet());
        RequestId request = requests.get(random.nextInt(requests.size()));
        running.remove(request);
        long first = faultFree ? version : Math.max(1, version - random.nextInt(4));
        List<VersionSpan> spans = switch (faultFree ? 4 : random.nextInt(6)) {
            case 0 -> List.of();
            case 1 ->
                List.of(new VersionSpan(WeightVersion.of(first + 1), 5), new VersionSpan(WeightVersion.of(first), 5));
            case 2 -> List.of(new VersionSpan(WeightVersion.of(first), 0));
            case 3 ->
                List.of(
                        new VersionSpan(WeightVersion.of(first), 5),
                        new VersionSpan(WeightVersion.of(version), 1 + random.nextInt(9)));
            default -> List.of(new VersionSpan(WeightVersion.of(first), 1 + random.nextInt(40)));
        };
        if (!faultFree && random.nextInt(5) == 0) {
            feed(new StepInput.SampleFailed(request, ErrorCode.OVERLOADED, random.nextInt(500)));
            return;
        }
        textCount++;
        String text = "text " + textCount;
        spansByText.put(text, spans);
        StepInput generated = new StepInput.SampleGenerated(request, text, "digest " + textCount, spans);
        feed(new StepInput.SampleProgressed(request, EndpointId.of("endpoint-1"), 1));
        answer(generated);
    }

    /** Replaces the owner by a new process that takes over the step; everything in flight to the old one is lost. */
    void takeOver() {
        generation++;
        running.clear();
        readCursors.clear();
        pending.clear();
        ledger.clear();
        recordedByOwner.clear();
        epoch++;
        startCore();
    }

    void losePeerBodies() {
        if (!reliableBodies) {
            peers.values().forEach(bodies -> bodies.keySet().removeIf(index -> random.nextBoolean()));
        }
    }

    void deliver() {
        if (!pending.isEmpty()) {
            pending.remove(random.nextInt(pending.size())).run();
        }
    }

    void tick(long milliseconds) {
        now += milliseconds;
        feed(new StepInput.Tick());
    }

    void repeatSnapshot() {
        StepSnapshot snapshot = snapshot();
        later(() -> feed(new StepInput.StepOwned(snapshot)));
    }

    static void check(boolean condition, String violation) {
        if (!condition) {
            throw new AssertionError(violation);
        }
    }
}
