package io.rosemarybeam.control.state;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.rosemarybeam.common.error.ControlException;
import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.id.HostName;
import io.rosemarybeam.common.id.StepId;
import io.rosemarybeam.common.id.TrainerName;
import io.rosemarybeam.common.id.WeightVersion;
import io.rosemarybeam.common.wire.EntryRequest;
import io.rosemarybeam.common.wire.MessageCodec;
import io.rosemarybeam.common.wire.StepRecords.StepSnapshot;
import io.rosemarybeam.common.wire.StepRecords.StepSpecification;
import org.apache.commons.codec.digest.DigestUtils;

/**
 * The training steps.
 *
 * <p>A step is open until every sample is acknowledged; after that it is stored for another hour, so that a repeated
 * request finds it. Confined to the thread of the state machine.
 */
public final class StepTable {
    /** Maximum number of open steps. */
    public static final int MAXIMUM_OPEN_STEPS = 64;

    /** Maximum number of samples of a step. */
    public static final int MAXIMUM_SAMPLES = 4_096;

    /** Maximum number of stored steps with all samples acknowledged. */
    public static final int MAXIMUM_FINISHED_STEPS = 1_024;

    /** Time for which a finished step is stored after its last activity, in milliseconds. */
    public static final long FINISHED_RETENTION_MILLISECONDS = 60L * 60 * 1_000;

    /** Time for which an open step is stored after its last activity, in milliseconds. */
    public static final long ABANDONED_RETENTION_MILLISECONDS = 24L * 60 * 60 * 1_000;

    /** Maximum size of the encoded specifications of all open steps, in bytes; prompts take most of it. */
    public static final long MAXIMUM_SPECIFICATION_BYTES = 16L * 1024 * 1024;

    private final Map<Key, Step> steps = new LinkedHashMap<>();
    private final WeightVersionTable weights;

    StepTable(WeightVersionTable weights) {
        this.weights = weights;
    }

    /** Opens a step, or returns its state if it exists with an equal specification. */
    StepSnapshot open(EntryRequest.OpenStep request, long now) {
        StepSpecification specification = request.specification();
        Key key = new Key(specification.trainer(), specification.step());
        byte[] encoded = MessageCodec.encode(specification);
        String digest = DigestUtils.sha256Hex(encoded);
        Step existing = steps.get(key);
        if (existing == null) {
            checkCapacity(specification, encoded.length);
            existing = new Step(request, digest, encoded.length, now);
            steps.put(key, existing);
        } else if (!existing.digest().equals(digest)) {
            throw new ControlException(
                    ErrorCode.STEP_CONFLICT,
                    "step " + key.step + " of trainer " + key.trainer + " exists with another specification");
        }
        return snapshot(existing);
    }

    private void checkCapacity(StepSpecification specification, int bytes) {
        int samples = specification.sampleCount();
        if (samples < 1 || samples > MAXIMUM_SAMPLES) {
            throw new ControlException(
                    ErrorCode.REQUEST_INVALID, samples + " samples; a step has 1 to " + MAXIMUM_SAMPLES);
        }
        long finished = steps.values().stream().filter(Step::isFinished).count();
        if (steps.size() - finished >= MAXIMUM_OPEN_STEPS) {
            throw new ControlException(
                    ErrorCode.TABLE_FULL, MAXIMUM_OPEN_STEPS + " steps are open, which is the maximum");
        }
        long openBytes =
                steps.values().stream().mapToLong(Step::specificationBytes).sum();
        if (openBytes + bytes > MAXIMUM_SPECIFICATION_BYTES) {
            throw new ControlException(
                    ErrorCode.TABLE_FULL,
                    "a specification of " + bytes + " bytes exceeds the maximum of all open steps, " + openBytes
                            + " of " + MAXIMUM_SPECIFICATION_BYTES + " bytes are in use");
        }
        if (finished >= MAXIMUM_FINISHED_STEPS) {
            throw new ControlException(
                    ErrorCode.TABLE_FULL, MAXIMUM_FINISHED_STEPS + " finished steps are stored, which is the maximum");
        }
    }

    /** Changes the owner if the owner whose lease the leader found lapsed is still current. */
    StepSnapshot takeOver(Command.TakeStep command, long now) {
        EntryRequest.TakeStep request = command.request();
        Step step = step(request.trainer(), request.step());
        if (step.ownerEpoch() == command.expectedEpoch()) {
            step.transferTo(request.entry(), now);
        }
        return snapshot(step);
    }

    void commit(EntryRequest.CommitSamples request, long now) {
        step(request.trainer(), request.step()).commit(request, now);
    }

    void recordHandOver(EntryRequest.RecordHandOver request, long now) {
        step(request.trainer(), request.step()).recordHandOver(request, now);
    }

    void acknowledge(EntryRequest.AcknowledgeHandOver request, long now) {
        step(request.trainer(), request.step()).acknowledge(request.cursor(), now);
    }

    private Step step(TrainerName trainer, StepId id) {
        Step step = steps.get(new Key(trainer, id));
        if (step == null) {
            throw new ControlException(ErrorCode.STEP_UNKNOWN, "no step " + id + " of trainer " + trainer);
        }
        return step;
    }

    private StepSnapshot snapshot(Step step) {
        StepSpecification specification = step.specification();
        Optional<WeightVersion> published = weights.newest(specification.trainer(), specification.service());
        return step.snapshot(published);
    }

    /**
     * Finds a step.
     *
     * @param trainer the trainer
     * @param step the step
     * @return its state, or empty if no such step is stored
     */
    public Optional<StepSnapshot> find(TrainerName trainer, StepId step) {
        return Optional.ofNullable(steps.get(new Key(trainer, step))).map(this::snapshot);
    }

    void expire(long now) {
        steps.values().removeIf(step -> expiry(step) <= now);
    }

    private static long expiry(Step step) {
        return step.lastActivity()
                + (step.isFinished() ? FINISHED_RETENTION_MILLISECONDS : ABANDONED_RETENTION_MILLISECONDS);
    }

    /**
     * Returns when the next step expires.
     *
     * @return the leader time, in milliseconds, or {@link Long#MAX_VALUE} if there is no step
     */
    public long nextExpiry() {
        return steps.values().stream().mapToLong(StepTable::expiry).min().orElse(Long.MAX_VALUE);
    }

    /**
     * Returns a summary of every step, for dumps.
     *
     * @return the summaries in the order in which the steps were opened
     */
    public List<Summary> summaries() {
        return steps.entrySet().stream()
                .map(entry -> new Summary(
                        entry.getKey().trainer,
                        entry.getKey().step,
                        entry.getValue().owner(),
                        entry.getValue().ownerEpoch(),
                        entry.getValue().sampleCount(),
                        entry.getValue().isFinished()))
                .toList();
    }

    SnapshotData snapshotData() {
        return new SnapshotData(steps.values().stream().map(Step::snapshotData).toList());
    }

    void restore(SnapshotData data) {
        steps.clear();
        for (Step.SnapshotData stepData : data.steps) {
            StepSpecification specification = stepData.snapshot().specification();
            steps.put(new Key(specification.trainer(), specification.step()), new Step(stepData));
        }
    }

    /** Identifies a step. Immutable. */
    record Key(TrainerName trainer, StepId step) {}

    /**
     * The part of a step that a dump contains. Immutable.
     *
     * @param trainer the trainer
     * @param step the step
     * @param owner the entry host that works on it
     * @param ownerEpoch epoch of the owner
     * @param samples number of its samples
     * @param finished whether all samples are acknowledged
     */
    public record Summary(
            TrainerName trainer, StepId step, HostName owner, long ownerEpoch, int samples, boolean finished) {}

    /** The contents of the table in a snapshot. Immutable. */
    record SnapshotData(List<Step.SnapshotData> steps) {}
}
