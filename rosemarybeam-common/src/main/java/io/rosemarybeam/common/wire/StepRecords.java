package io.rosemarybeam.common.wire;

import java.util.List;
import java.util.Optional;

import io.rosemarybeam.common.id.HostName;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.id.StepId;
import io.rosemarybeam.common.id.TrainerName;
import io.rosemarybeam.common.id.WeightVersion;

/** Values that describe training steps. All are immutable and safe for use by several threads. */
public final class StepRecords {
    private StepRecords() {}

    /**
     * One group of samples that share a prompt.
     *
     * @param prompt text of the prompt
     * @param samples how many samples the group has
     * @param maximumTokens longest sample, in tokens
     */
    public record GroupSpecification(String prompt, int samples, int maximumTokens) {}

    /**
     * What a trainer asks for in one step.
     *
     * @param trainer the trainer
     * @param step the step
     * @param service the model service that generates the samples
     * @param trainerVersion version that the trainer holds when it opens the step
     * @param groups the groups of samples
     */
    public record StepSpecification(
            TrainerName trainer,
            StepId step,
            ServiceName service,
            WeightVersion trainerVersion,
            List<GroupSpecification> groups) {
        /** Copies the groups. */
        public StepSpecification {
            groups = List.copyOf(groups);
        }

        /**
         * Returns how many samples the step has.
         *
         * @return the sum over all groups
         */
        public int sampleCount() {
            return groups.stream().mapToInt(GroupSpecification::samples).sum();
        }
    }

    /**
     * A span of tokens that one weight version produced.
     *
     * @param version the version as the engine stamped it
     * @param tokens how many tokens
     */
    public record VersionSpan(WeightVersion version, int tokens) {}

    /**
     * The winning attempt of a sample.
     *
     * @param index position of the sample within its step
     * @param digest digest of the body
     * @param spans the versions of all token spans in order
     * @param holders entry hosts that hold the body
     */
    public record SampleCommit(int index, String digest, List<VersionSpan> spans, List<HostName> holders) {
        /** Copies the lists. */
        public SampleCommit {
            spans = List.copyOf(spans);
            holders = List.copyOf(holders);
        }
    }

    /**
     * The samples that one cursor stands for.
     *
     * @param cursor number of the hand-over within its step, from 1
     * @param sampleIndexes the samples in order
     * @param acknowledged whether the trainer acknowledged them
     */
    public record HandOver(long cursor, List<Integer> sampleIndexes, boolean acknowledged) {
        /** Copies the list. */
        public HandOver {
            sampleIndexes = List.copyOf(sampleIndexes);
        }
    }

    /**
     * The durable state of a step.
     *
     * @param specification what the trainer asked for
     * @param owner the entry host that works on the step
     * @param ownerEpoch grows with every change of owner
     * @param committed samples that have a winner
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
        /** Copies the lists. */
        public StepSnapshot {
            committed = List.copyOf(committed);
            handOvers = List.copyOf(handOvers);
        }
    }
}
