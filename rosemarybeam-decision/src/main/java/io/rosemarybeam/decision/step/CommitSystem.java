package io.rosemarybeam.decision.step;

import java.util.ArrayList;
import java.util.List;

import io.rosemarybeam.common.id.HostName;
import io.rosemarybeam.common.wire.StepRecords.SampleCommit;
import io.rosemarybeam.decision.step.SampleEntity.Status;
import io.rosemarybeam.decision.step.StepEntity.CommitBatch;
import io.rosemarybeam.decision.step.StepInput.CommitAnswered;

/**
 * Commits the accepted bodies of samples to the ledger in batches, once they are copied to a peer.
 *
 * <p>Invariant: a step has at most one unconfirmed commit, which is resent unchanged, because an earlier transmission may
 * have taken effect. Confined to the thread of the core.
 */
final class CommitSystem {
    /** Maximum number of samples per commit. */
    private static final int MAXIMUM_BATCH = 256;

    /** Longer than the timeout of the entry's ledger call (5 s), so that a command is resent only after its answer. */
    private static final long TIMEOUT_MILLISECONDS = 6_000;

    /** Delay before a rejected commit is resent. */
    private static final long BACKOFF_MILLISECONDS = 200;

    private final StepTables tables;

    CommitSystem(StepTables tables) {
        this.tables = tables;
    }

    void answered(long now, CommitAnswered answered) {
        StepEntity step = tables.steps.get(answered.step());
        if (step == null || step.commitBatch == null || step.commitBatch.id != answered.commandId()) {
            return;
        }
        if (!answered.committed()) {
            step.commitBatch.dueAtMilliseconds = now + BACKOFF_MILLISECONDS;
            return;
        }
        for (SampleCommit commit : step.commitBatch.samples) {
            SampleEntity sample = step.samples.get(commit.index());
            sample.committed = commit;
            step.move(sample, Status.COMMITTED);
        }
        step.commitBatch = null;
        step.checkedOldestPermitted = -1;
    }

    void run(long now, List<StepCommand> commands) {
        for (StepEntity step : tables.steps.values()) {
            if (step.commitBatch != null) {
                resend(now, step, commands);
            }
            if (step.commitBatch == null && step.count(Status.COPIED) > 0) {
                start(now, step, commands);
            }
        }
    }

    private void resend(long now, StepEntity step, List<StepCommand> commands) {
        if (step.commitBatch.samples.isEmpty()) {
            step.commitBatch = null;
        } else if (now >= step.commitBatch.dueAtMilliseconds) {
            send(now, step, commands);
        }
    }

    private void start(long now, StepEntity step, List<StepCommand> commands) {
        List<SampleEntity> copied = step.samplesWith(Status.COPIED);
        boolean replacing = copied.getFirst().committed != null;
        List<SampleCommit> samples = copied.stream()
                .filter(sample -> (sample.committed != null) == replacing)
                .limit(MAXIMUM_BATCH)
                .map(this::commit)
                .toList();
        step.commitBatch = new CommitBatch(tables.nextCommandId(), replacing, samples);
        send(now, step, commands);
    }

    private void send(long now, StepEntity step, List<StepCommand> commands) {
        CommitBatch batch = step.commitBatch;
        batch.dueAtMilliseconds = now + TIMEOUT_MILLISECONDS;
        commands.add(new StepCommand.CommitSamples(
                batch.id, step.key, step.ownerEpoch, List.copyOf(batch.samples), batch.replacing));
    }

    private SampleCommit commit(SampleEntity sample) {
        List<HostName> holders = new ArrayList<>();
        holders.add(tables.settings.entry());
        holders.addAll(sample.copyHolders);
        return new SampleCommit(sample.index, sample.body.digest(), sample.body.spans(), holders);
    }
}
