package io.rosemarybeam.decision.step;

import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;

import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.id.HostName;
import io.rosemarybeam.common.wire.PeerRequest.SampleBody;
import io.rosemarybeam.common.wire.StepRecords.HandOver;
import io.rosemarybeam.common.wire.StepRecords.SampleCommit;
import io.rosemarybeam.common.wire.StepRecords.StepSnapshot;
import io.rosemarybeam.decision.step.SampleEntity.Status;
import io.rosemarybeam.decision.step.StepEntity.HandOverEntity;
import io.rosemarybeam.decision.step.StepInput.CursorAcknowledged;
import io.rosemarybeam.decision.step.StepInput.StepKey;

/**
 * Takes over and releases ownership of steps according to the durable state, and applies acknowledgements.
 *
 * <p>Invariant: state of a higher owner epoch is never replaced by that of a lower one, and within an epoch a commit, a cursor
 * or an acknowledgement is never dropped. Confined to the thread of the core.
 */
final class OwnershipSystem {
    /** Maximum number of finished steps that are retained to answer repeated reads. */
    private static final int MAXIMUM_FINISHED_STEPS = 64;

    private final StepTables tables;

    OwnershipSystem(StepTables tables) {
        this.tables = tables;
    }

    void takeOwnership(long now, StepSnapshot snapshot, List<StepCommand> commands) {
        StepKey key = new StepKey(
                snapshot.specification().trainer(), snapshot.specification().step());
        StepEntity known = tables.steps.get(key);
        if (known != null && snapshot.ownerEpoch() < known.ownerEpoch) {
            return;
        }
        if (!snapshot.owner().equals(Optional.of(tables.settings.entry()))) {
            releaseOwnership(key, commands);
            return;
        }
        StepEntity step = known;
        if (known == null || snapshot.ownerEpoch() > known.ownerEpoch) {
            step = new StepEntity(key, snapshot.specification(), snapshot.ownerEpoch(), now);
            if (known != null) {
                transferBodies(known, step, commands);
            }
            tables.steps.put(key, step);
            evictFinishedSteps();
        }
        step.trainerVersion =
                Math.max(step.trainerVersion, snapshot.trainerVersion().value());
        for (SampleCommit commit : snapshot.committed()) {
            restore(step, commit);
        }
        for (HandOver handOver : snapshot.handOvers()) {
            restore(step, handOver);
        }
        acknowledgeAll(step, commands);
    }

    void releaseOwnership(StepKey key, List<StepCommand> commands) {
        StepEntity step = tables.steps.remove(key);
        if (step == null) {
            return;
        }
        step.samples.forEach(sample -> tables.cancelAttempts(sample, commands));
        tables.reads.values().removeIf(read -> {
            boolean refused = read.step().equals(key);
            if (refused) {
                commands.add(new StepCommand.RefuseRead(read.readId(), ErrorCode.STALE_OWNER));
            }
            return refused;
        });
    }

    void acknowledge(CursorAcknowledged acknowledged, List<StepCommand> commands) {
        StepEntity step = tables.steps.get(acknowledged.step());
        if (step == null) {
            return;
        }
        for (HandOverEntity handOver :
                step.handOvers.headMap(acknowledged.cursor(), true).values()) {
            handOver.recorded = true;
            handOver.acknowledged = true;
        }
        acknowledgeAll(step, commands);
    }

    private void transferBodies(StepEntity from, StepEntity to, List<StepCommand> commands) {
        for (SampleEntity sample : from.samples) {
            tables.cancelAttempts(sample, commands);
            if (sample.committed != null && SampleEntity.isBodyOf(sample.body, sample.committed)) {
                to.samples.get(sample.index).body = sample.body;
            }
        }
    }

    private void restore(StepEntity step, SampleCommit commit) {
        SampleEntity sample = step.samples.get(commit.index());
        if (sample.committed != null || sample.status == Status.ACKNOWLEDGED) {
            return;
        }
        SampleBody body = sample.body;
        sample.committed = commit;
        if (step.commitBatch != null) {
            step.commitBatch.samples.removeIf(confirmed -> confirmed.index() == commit.index());
        }
        if (SampleEntity.isBodyOf(body, commit)) {
            sample.copyHolders.addAll(commit.holders());
            sample.copyHolders.remove(tables.settings.entry());
            sample.clearCommand();
            step.move(sample, Status.COMMITTED);
            return;
        }
        sample.clearBody();
        sample.untriedHolders.addAll(commit.holders());
        sample.untriedHolders.remove(tables.settings.entry());
        step.move(sample, Status.FETCHING);
    }

    private void restore(StepEntity step, HandOver handOver) {
        HandOverEntity known = step.handOvers.get(handOver.cursor());
        if (known == null) {
            known = new HandOverEntity(handOver.cursor(), handOver.sampleIndexes());
            step.handOvers.put(handOver.cursor(), known);
            for (int index : handOver.sampleIndexes()) {
                SampleEntity sample = step.samples.get(index);
                sample.cursor = handOver.cursor();
                // A former owner recorded this cursor and may already have delivered its samples.
                sample.delivered = sample.committed != null;
            }
        }
        known.recorded = true;
        known.acknowledged |= handOver.acknowledged();
    }

    private void acknowledgeAll(StepEntity step, List<StepCommand> commands) {
        Map<HostName, TreeSet<Integer>> drops = new TreeMap<>();
        for (HandOverEntity handOver : step.handOvers.values()) {
            if (!handOver.acknowledged) {
                continue;
            }
            for (int index : handOver.indexes) {
                SampleEntity sample = step.samples.get(index);
                if (sample.status != Status.ACKNOWLEDGED) {
                    acknowledge(step, sample, drops, commands);
                }
            }
        }
        drops.forEach(
                (peer, indexes) -> commands.add(new StepCommand.DropBodies(step.key, peer, List.copyOf(indexes))));
    }

    private void acknowledge(
            StepEntity step, SampleEntity sample, Map<HostName, TreeSet<Integer>> drops, List<StepCommand> commands) {
        tables.cancelAttempts(sample, commands);
        TreeSet<HostName> peers = new TreeSet<>(sample.copyHolders);
        if (sample.committed != null) {
            peers.addAll(sample.committed.holders());
        }
        peers.remove(tables.settings.entry());
        peers.forEach(
                peer -> drops.computeIfAbsent(peer, unused -> new TreeSet<>()).add(sample.index));
        if (step.commitBatch != null) {
            step.commitBatch.samples.removeIf(commit -> commit.index() == sample.index);
        }
        sample.clearBody();
        step.move(sample, Status.ACKNOWLEDGED);
    }

    private void evictFinishedSteps() {
        long finished =
                tables.steps.values().stream().filter(StepEntity::isFinished).count();
        Iterator<StepEntity> oldestFirst = tables.steps.values().iterator();
        while (finished > MAXIMUM_FINISHED_STEPS && oldestFirst.hasNext()) {
            if (oldestFirst.next().isFinished()) {
                oldestFirst.remove();
                finished--;
            }
        }
    }
}
