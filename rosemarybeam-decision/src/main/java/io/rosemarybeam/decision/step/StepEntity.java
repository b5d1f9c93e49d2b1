package io.rosemarybeam.decision.step;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.TreeMap;
import java.util.TreeSet;

import io.rosemarybeam.common.wire.StepRecords.GroupSpecification;
import io.rosemarybeam.common.wire.StepRecords.SampleCommit;
import io.rosemarybeam.common.wire.StepRecords.StepSpecification;
import io.rosemarybeam.decision.step.SampleEntity.Status;
import io.rosemarybeam.decision.step.StepInput.StepKey;

/**
 * A row of the step table, with the samples and cursors of the step.
 *
 * <p>Invariant: every sample is indexed under its status, and the samples of a cursor never change. Confined to the thread of
 * the core.
 */
final class StepEntity {
    /** The delivery of a set of samples to the trainer under one cursor. */
    static final class HandOverEntity {
        final long cursor;
        final List<Integer> indexes;
        boolean recorded;
        boolean acknowledged;
        long dueAtMilliseconds;

        HandOverEntity(long cursor, List<Integer> indexes) {
            this.cursor = cursor;
            this.indexes = List.copyOf(indexes);
        }
    }

    /** A commit that is not confirmed yet; it is resent unchanged until it is. */
    static final class CommitBatch {
        final long id;
        final boolean replacing;
        final List<SampleCommit> samples;
        long dueAtMilliseconds;

        CommitBatch(long id, boolean replacing, List<SampleCommit> samples) {
            this.id = id;
            this.replacing = replacing;
            this.samples = new ArrayList<>(samples);
        }
    }

    /** Total length of the completed samples of a group. */
    static final class GroupEntity {
        long tokens;
        int samples;
    }

    final StepKey key;
    final StepSpecification specification;
    final List<SampleEntity> samples = new ArrayList<>();
    final List<GroupEntity> groups = new ArrayList<>();
    final TreeMap<Long, HandOverEntity> handOvers = new TreeMap<>();
    long ownerEpoch;
    long trainerVersion;
    long openedAtMilliseconds;

    /** Staleness bound, as an oldest version, against which all samples were last checked; -1 to check them again. */
    long checkedOldestPermitted = -1;

    CommitBatch commitBatch;
    private final Map<Status, TreeSet<Integer>> byStatus = new EnumMap<>(Status.class);

    StepEntity(StepKey key, StepSpecification specification, long ownerEpoch, long now) {
        this.key = key;
        this.specification = specification;
        this.ownerEpoch = ownerEpoch;
        this.openedAtMilliseconds = now;
        for (Status status : Status.values()) {
            byStatus.put(status, new TreeSet<>());
        }
        for (int group = 0; group < specification.groups().size(); group++) {
            GroupSpecification groupSpecification = specification.groups().get(group);
            groups.add(new GroupEntity());
            for (int count = 0; count < groupSpecification.samples(); count++) {
                int index = samples.size();
                samples.add(new SampleEntity(
                        index, group, groupSpecification.prompt(), groupSpecification.maximumTokens()));
                byStatus.get(Status.PENDING).add(index);
            }
        }
    }

    void move(SampleEntity sample, Status status) {
        byStatus.get(sample.status).remove(sample.index);
        sample.status = status;
        byStatus.get(status).add(sample.index);
    }

    /** Returns a copy of the list of samples with a status, so that they can be moved during iteration. */
    List<SampleEntity> samplesWith(Status status) {
        return byStatus.get(status).stream().map(samples::get).toList();
    }

    int count(Status status) {
        return byStatus.get(status).size();
    }

    NavigableSet<Integer> indexes(Status status) {
        return byStatus.get(status);
    }

    boolean isFinished() {
        return count(Status.ACKNOWLEDGED) == samples.size();
    }

    long nextCursor() {
        return handOvers.isEmpty() ? 1 : handOvers.lastKey() + 1;
    }

    boolean isCommitting(SampleEntity sample) {
        return commitBatch != null && commitBatch.samples.stream().anyMatch(commit -> commit.index() == sample.index);
    }

    int samplesWithoutCursor() {
        return samples.size()
                - handOvers.values().stream()
                        .mapToInt(handOver -> handOver.indexes.size())
                        .sum();
    }
}
