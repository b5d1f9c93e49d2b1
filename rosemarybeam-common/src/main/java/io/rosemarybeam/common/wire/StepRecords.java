package io.rosemarybeam.common.wire;

import java.util.List;
import java.util.Optional;

import io.rosemarybeam.common.id.HostName;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.id.StepId;
import io.rosemarybeam.common.id.TrainerName;
import io.rosemarybeam.common.id.WeightVersion;

/** Records that describe training steps. All are immutable and safe for use by several threads. */
public final class StepRecords {
    private StepRecords() {}

    /**
     * One group of samples that share a prompt.
     *
     * @param prompt text of the prompt
     * @param samples number of samples in the group
     * @param maximumTokens maximum length of a sample, in tokens
     */
    public record GroupSpecification(String prompt, int samples, int maximumTokens) {}

    /**
     * The samples that a trainer requests in one step.
     *
     * @param trainer the trainer
     * @param step the step
     * @param service the model service that generates the samples
     * @param trainerVersion weight version of the trainer when it opens the step
     * @param groups the groups of samples
     */
    public record StepSpecification(
            TrainerName trainer,
            StepId step,
            ServiceName service,
            WeightVersion trainerVersion,
            List<GroupSpecification> groups) {
        public StepSpecification {
            groups = List.copyOf(groups);
        }

        /** Returns the number of samples in all groups. */
        public int sampleCount() {
            return groups.stream().mapToInt(GroupSpecification::samples).sum();
        }
    }

    /**
     * A span of tokens that one weight version produced.
     *
     * @param version the version reported by the engine
     * @param tokens number of tokens
     */
    public record VersionSpan(WeightVersion version, int tokens) {}

    /**
     * The winning attempt of a sample.
     *
     * @param index position of the sample within its step
     * @param digest digest of the body
     * @param spans the versions of all token spans in order
     * @param holders entry hosts that store the body
     */
    public record SampleCommit(int index, String digest, List<VersionSpan> spans, List<HostName> holders) {
        public SampleCommit {
            spans = List.copyOf(spans);
            holders = List.copyOf(holders);
        }
    }

    /**
     * The samples that one cursor covers.
     *
     * @param cursor number of the hand-over within its step, from 1
     * @param sampleIndexes the samples in order
     * @param acknowledged whether the trainer acknowledged them
     */
    public record HandOver(long cursor, List<Integer> sampleIndexes, boolean acknowledged) {
        public HandOver {
            sampleIndexes = List.copyOf(sampleIndexes);
        }
    }

    /**
     * The durable state of a step.
     *
     * @param specification the samples that the trainer requested
     * @param owner the entry host that owns the step, if any
     * @param ownerEpoch grows with every change of owner
     * @param committed samples that have a winning attempt
     * @param handOvers all cursors in order
     * @param trainerVersion the newest version that the trainer published, or that it held when it opened the step
     */
    public record StepSnapshot(
            StepSpecification specification,
            Optional<HostName> owner,
            long ownerEpoch,
            List<SampleCommit> committed,
            List<HandOver> handOvers,
            WeightVersion trainerVersion) {
        public StepSnapshot {
            committed = List.copyOf(committed);
            handOvers = List.copyOf(handOvers);
        }
    }
}
