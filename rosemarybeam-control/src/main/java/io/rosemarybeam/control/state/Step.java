package io.rosemarybeam.control.state;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import io.rosemarybeam.common.error.ControlException;
import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.id.HostName;
import io.rosemarybeam.common.id.WeightVersion;
import io.rosemarybeam.common.wire.EntryRequest;
import io.rosemarybeam.common.wire.StepRecords.GroupSpecification;
import io.rosemarybeam.common.wire.StepRecords.HandOver;
import io.rosemarybeam.common.wire.StepRecords.SampleCommit;
import io.rosemarybeam.common.wire.StepRecords.StepSnapshot;
import io.rosemarybeam.common.wire.StepRecords.StepSpecification;

/**
 * One training step.
 *
 * <p>Invariants: a sample has at most one winning attempt at a time and is part of at most one hand-over; the cursors
 * of hand-overs are consecutive from 1; an acknowledged sample never changes. Confined to the thread of the state
 * machine.
 */
final class Step {
    private final String digest;
    private final int specificationBytes;
    private StepSpecification specification;
    private HostName owner;
    private long ownerEpoch;
    private long lastActivity;
    private final TreeMap<Integer, SampleCommit> committed = new TreeMap<>();
    private final List<HandOver> handOvers = new ArrayList<>();
    private final Set<Integer> handedOver = new HashSet<>();
    private int acknowledgedSamples;

    Step(EntryRequest.OpenStep request, String digest, int specificationBytes, long now) {
        this.digest = digest;
        this.specificationBytes = specificationBytes;
        this.specification = request.specification();
        this.owner = request.entry();
        this.ownerEpoch = 1;
        this.lastActivity = now;
    }

    Step(SnapshotData data) {
        this.digest = data.digest;
        this.specificationBytes = data.specificationBytes;
        this.specification = data.snapshot.specification();
        this.owner = data.snapshot.owner().orElseThrow();
        this.ownerEpoch = data.snapshot.ownerEpoch();
        this.lastActivity = data.lastActivity;
        data.snapshot.committed().forEach(sample -> committed.put(sample.index(), sample));
        for (HandOver handOver : data.snapshot.handOvers()) {
            handOvers.add(handOver);
            handedOver.addAll(handOver.sampleIndexes());
            acknowledgedSamples +=
                    handOver.acknowledged() ? handOver.sampleIndexes().size() : 0;
        }
    }

    String digest() {
        return digest;
    }

    HostName owner() {
        return owner;
    }

    long ownerEpoch() {
        return ownerEpoch;
    }

    long lastActivity() {
        return lastActivity;
    }

    boolean isFinished() {
        return acknowledgedSamples >= specification.sampleCount();
    }

    /** Returns the size of the encoded specification in bytes, or zero once the prompts are discarded. */
    int specificationBytes() {
        return isFinished() ? 0 : specificationBytes;
    }

    int sampleCount() {
        return specification.sampleCount();
    }

    void transferTo(HostName newOwner, long now) {
        owner = newOwner;
        ownerEpoch++;
        lastActivity = now;
    }

    private void checkOwner(long epoch) {
        if (epoch != ownerEpoch) {
            throw new ControlException(
                    ErrorCode.STALE_OWNER,
                    "owner epoch " + epoch + " is stale, " + owner + " owns the step with epoch " + ownerEpoch);
        }
    }

    void commit(EntryRequest.CommitSamples request, long now) {
        checkOwner(request.ownerEpoch());
        for (SampleCommit sample : request.samples()) {
            if (sample.index() < 0 || sample.index() >= specification.sampleCount()) {
                throw new ControlException(ErrorCode.REQUEST_INVALID, "the step has no sample " + sample.index());
            }
        }
        for (SampleCommit sample : request.samples()) {
            boolean replaces = request.replacing() && !isAcknowledged(sample.index());
            if (replaces || !committed.containsKey(sample.index())) {
                committed.put(sample.index(), sample);
            }
        }
        lastActivity = now;
    }

    private boolean isAcknowledged(int index) {
        return handedOver.contains(index)
                && handOvers.stream()
                        .anyMatch(handOver -> handOver.acknowledged()
                                && handOver.sampleIndexes().contains(index));
    }

    void recordHandOver(EntryRequest.RecordHandOver request, long now) {
        checkOwner(request.ownerEpoch());
        long cursor = request.cursor();
        if (cursor >= 1 && cursor <= handOvers.size()) {
            if (!handOvers.get((int) cursor - 1).sampleIndexes().equals(request.sampleIndexes())) {
                throw new ControlException(
                        ErrorCode.CURSOR_INVALID, "cursor " + cursor + " was recorded with other samples");
            }
            return;
        }
        if (cursor != handOvers.size() + 1) {
            throw new ControlException(
                    ErrorCode.CURSOR_INVALID,
                    "cursor " + cursor + " does not follow the last cursor " + handOvers.size());
        }
        Set<Integer> distinct = new HashSet<>(request.sampleIndexes());
        for (int index : request.sampleIndexes()) {
            if (!committed.containsKey(index) || handedOver.contains(index) || !distinct.remove(index)) {
                throw new ControlException(
                        ErrorCode.CURSOR_INVALID,
                        "sample " + index + " has no winner, is listed twice or has another cursor");
            }
        }
        handOvers.add(new HandOver(cursor, request.sampleIndexes(), false));
        handedOver.addAll(request.sampleIndexes());
        lastActivity = now;
    }

    void acknowledge(long cursor, long now) {
        if (cursor < 1 || cursor > handOvers.size()) {
            throw new ControlException(
                    ErrorCode.CURSOR_INVALID,
                    "cursor " + cursor + " was not handed over, the last one is " + handOvers.size());
        }
        for (int position = 0; position < cursor; position++) {
            HandOver handOver = handOvers.get(position);
            if (!handOver.acknowledged()) {
                handOvers.set(position, new HandOver(handOver.cursor(), handOver.sampleIndexes(), true));
                acknowledgedSamples += handOver.sampleIndexes().size();
            }
        }
        lastActivity = now;
        if (isFinished()) {
            discardPrompts();
        }
    }

    /**
     * Discards the prompts, which take most of the memory of a step and are unused once every sample is acknowledged.
     */
    private void discardPrompts() {
        List<GroupSpecification> groups = specification.groups().stream()
                .map(group -> new GroupSpecification("", group.samples(), group.maximumTokens()))
                .toList();
        specification = new StepSpecification(
                specification.trainer(),
                specification.step(),
                specification.service(),
                specification.trainerVersion(),
                groups);
    }

    /** Returns the state of the step; its trainer version is the newer of the published one and that of the opening. */
    StepSnapshot snapshot(Optional<WeightVersion> published) {
        WeightVersion opened = specification.trainerVersion();
        WeightVersion newest =
                published.filter(version -> version.compareTo(opened) > 0).orElse(opened);
        return new StepSnapshot(
                specification,
                Optional.of(owner),
                ownerEpoch,
                List.copyOf(committed.values()),
                List.copyOf(handOvers),
                newest);
    }

    StepSpecification specification() {
        return specification;
    }

    SnapshotData snapshotData() {
        return new SnapshotData(digest, specificationBytes, lastActivity, snapshot(Optional.empty()));
    }

    /** A step in a snapshot. Immutable. */
    record SnapshotData(String digest, int specificationBytes, long lastActivity, StepSnapshot snapshot) {}
}
