package io.rosemarybeam.decision.step;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;

import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.wire.PeerRequest.SampleBody;
import io.rosemarybeam.decision.step.SampleEntity.Status;
import io.rosemarybeam.decision.step.StepEntity.HandOverEntity;
import io.rosemarybeam.decision.step.StepInput.HandOverAnswered;
import io.rosemarybeam.decision.step.StepInput.ReadRequested;

/**
 * Answers the reads of trainers. Each cursor stands for a fixed set of samples, its hand-over.
 *
 * <p>Invariant: a cursor is answered only after its samples are recorded in the ledger, and no sample is delivered for the
 * first time when it is too old for the version that the trainer uses at that moment. Confined to the thread of the core.
 */
final class HandOverSystem {
    /** Longer than the timeout of the entry's ledger call (5 s), so that a command is resent only after its answer. */
    private static final long TIMEOUT_MILLISECONDS = 6_000;

    /** Delay before a rejected hand-over is recorded again. */
    private static final long BACKOFF_MILLISECONDS = 200;

    private final StepTables tables;

    HandOverSystem(StepTables tables) {
        this.tables = tables;
    }

    void answered(long now, HandOverAnswered answered) {
        StepEntity step = tables.steps.get(answered.step());
        HandOverEntity handOver = step == null ? null : step.handOvers.get(answered.cursor());
        if (handOver == null || handOver.recorded) {
            return;
        }
        if (answered.recorded()) {
            handOver.recorded = true;
        } else {
            handOver.dueAtMilliseconds = now + BACKOFF_MILLISECONDS;
        }
    }

    void run(long now, List<StepCommand> commands) {
        for (StepEntity step : tables.steps.values()) {
            if (!step.handOvers.isEmpty()) {
                HandOverEntity last = step.handOvers.lastEntry().getValue();
                if (!last.recorded && now >= last.dueAtMilliseconds) {
                    record(now, step, last, commands);
                }
            }
        }
        Iterator<ReadRequested> reads = tables.reads.values().iterator();
        while (reads.hasNext()) {
            if (answer(now, reads.next(), commands)) {
                reads.remove();
            }
        }
    }

    /** Answers or refuses a read if possible, and returns whether it did. */
    private boolean answer(long now, ReadRequested read, List<StepCommand> commands) {
        StepEntity step = tables.steps.get(read.step());
        if (step == null) {
            commands.add(new StepCommand.RefuseRead(read.readId(), ErrorCode.STEP_UNKNOWN));
            return true;
        }
        HandOverEntity handOver = step.handOvers.get(read.cursor());
        if (read.cursor() < 1 || read.cursor() > step.nextCursor() || handOver != null && handOver.acknowledged) {
            commands.add(new StepCommand.RefuseRead(read.readId(), ErrorCode.CURSOR_INVALID));
            return true;
        }
        if (handOver == null) {
            handOver = open(now, step, read, commands);
        }
        if (handOver != null && handOver.recorded && isDeliverable(step, handOver, commands)) {
            List<SampleBody> bodies = new ArrayList<>();
            for (int index : handOver.indexes) {
                SampleEntity sample = step.samples.get(index);
                sample.delivered = true;
                bodies.add(sample.body);
            }
            commands.add(new StepCommand.AnswerRead(
                    read.readId(), read.cursor(), List.copyOf(bodies), step.samplesWithoutCursor()));
            return true;
        }
        if (now >= read.deadlineMilliseconds() || handOver == null && step.samplesWithoutCursor() == 0) {
            commands.add(
                    new StepCommand.AnswerRead(read.readId(), read.cursor(), List.of(), step.samplesWithoutCursor()));
            return true;
        }
        return false;
    }

    private boolean isDeliverable(StepEntity step, HandOverEntity handOver, List<StepCommand> commands) {
        boolean deliverable = true;
        for (int index : handOver.indexes) {
            SampleEntity sample = step.samples.get(index);
            if (sample.status != Status.COMMITTED) {
                deliverable = false;
            } else if (!sample.delivered
                    && (tables.oldestPermitted(step).isEmpty() || tables.isStale(step, sample.body.spans()))) {
                deliverable = false;
                if (tables.oldestPermitted(step).isPresent()) {
                    tables.regenerate(step, sample, commands);
                }
            }
        }
        return deliverable;
    }

    private HandOverEntity open(long now, StepEntity step, ReadRequested read, List<StepCommand> commands) {
        boolean previousRecorded =
                step.handOvers.isEmpty() || step.handOvers.lastEntry().getValue().recorded;
        if (!previousRecorded || tables.oldestPermitted(step).isEmpty()) {
            return null;
        }
        List<Integer> indexes = step.samplesWith(Status.COMMITTED).stream()
                .filter(sample -> sample.cursor == 0 && !tables.isStale(step, sample.body.spans()))
                .sorted(Comparator.comparingLong(sample -> SampleEntity.oldestVersion(sample.body.spans())))
                .limit(Math.max(1, read.maximumSamples()))
                .map(sample -> sample.index)
                .toList();
        if (indexes.isEmpty()) {
            return null;
        }
        HandOverEntity handOver = new HandOverEntity(step.nextCursor(), indexes);
        step.handOvers.put(handOver.cursor, handOver);
        indexes.forEach(index -> step.samples.get(index).cursor = handOver.cursor);
        record(now, step, handOver, commands);
        return handOver;
    }

    private void record(long now, StepEntity step, HandOverEntity handOver, List<StepCommand> commands) {
        handOver.dueAtMilliseconds = now + TIMEOUT_MILLISECONDS;
        commands.add(new StepCommand.RecordHandOver(step.key, step.ownerEpoch, handOver.cursor, handOver.indexes));
    }
}
