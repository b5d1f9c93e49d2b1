package io.rosemarybeam.decision.step;

import java.util.List;

import io.rosemarybeam.common.configuration.OperatorConfiguration;
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
import io.rosemarybeam.common.wire.StepRecords.StepSnapshot;
import io.rosemarybeam.common.wire.StepRecords.VersionSpan;

/** What the step core learns from outside. Immutable and safe for use by several threads. */
public sealed interface StepInput {
    /** The timer fired. */
    record Tick() implements StepInput {}

    /**
     * Names a step.
     *
     * @param trainer its trainer
     * @param step its id within the trainer
     */
    record StepKey(TrainerName trainer, StepId step) {}

    // ---- Ownership ----

    /**
     * This entry owns a step, newly opened or taken over. Sent again whenever the durable state was read again.
     *
     * @param snapshot the durable state
     */
    record StepOwned(StepSnapshot snapshot) implements StepInput {}

    /**
     * Another entry owns the step now; all work on it stops.
     *
     * @param step the step
     */
    record StepLost(StepKey step) implements StepInput {}

    // ---- Surroundings ----

    /**
     * A configuration takes effect.
     *
     * @param configuration the configuration
     */
    record ConfigurationActivated(OperatorConfiguration configuration) implements StepInput {}

    /**
     * The live entry hosts changed.
     *
     * @param entryHosts all of them, this one included
     */
    record EntryHostsChanged(List<EntryHostRecord> entryHosts) implements StepInput {
        /** Copies the list. */
        public EntryHostsChanged {
            entryHosts = List.copyOf(entryHosts);
        }
    }

    /**
     * A weight version was published: the trainers of the service hold it from now on.
     *
     * @param service the service
     * @param version the version
     */
    record WeightsPublished(ServiceName service, WeightVersion version) implements StepInput {}

    /**
     * Says how much training work the endpoints of a service can take.
     *
     * @param service the service
     * @param trainingCapacity samples that may run at once
     * @param oldestVersion oldest weight version that an endpoint in service holds
     * @param newestVersion newest weight version that an endpoint in service holds
     */
    record CapacityChanged(
            ServiceName service, int trainingCapacity, WeightVersion oldestVersion, WeightVersion newestVersion)
            implements StepInput {}

    // ---- Samples ----

    /**
     * A submitted sample made progress.
     *
     * @param request as submitted
     * @param endpoint where it runs
     * @param tokens tokens so far
     */
    record SampleProgressed(RequestId request, EndpointId endpoint, int tokens) implements StepInput {}

    /**
     * A submitted sample was generated.
     *
     * @param request as submitted
     * @param text the text
     * @param digest digest of the text
     * @param spans versions of all token spans as the engine stamped them; empty if a span was not stamped
     */
    record SampleGenerated(RequestId request, String text, String digest, List<VersionSpan> spans)
            implements StepInput {
        /** Copies the spans. */
        public SampleGenerated {
            spans = List.copyOf(spans);
        }
    }

    /**
     * A submitted sample was refused or failed.
     *
     * @param request as submitted
     * @param code the reason
     * @param retryAfterMilliseconds when to submit again
     */
    record SampleFailed(RequestId request, ErrorCode code, long retryAfterMilliseconds) implements StepInput {}

    /**
     * A sample was scored.
     *
     * @param step the step
     * @param index the sample
     * @param digest digest of the text that was scored
     * @param score the score
     */
    record SampleScored(StepKey step, int index, String digest, double score) implements StepInput {}

    /**
     * A sample could not be scored.
     *
     * @param step the step
     * @param index the sample
     * @param digest digest of the text
     */
    record ScoringFailed(StepKey step, int index, String digest) implements StepInput {}

    // ---- Bodies ----

    /**
     * A peer stored copies, or failed to.
     *
     * @param commandId as commanded
     * @param step the step
     * @param peer the peer
     * @param indexes the samples
     * @param stored whether it holds them
     */
    record BodiesStored(long commandId, StepKey step, HostName peer, List<Integer> indexes, boolean stored)
            implements StepInput {}

    /**
     * A peer returned the copies that it holds; an empty list also if it could not be reached.
     *
     * @param step the step
     * @param peer the peer
     * @param bodies the copies
     */
    record BodiesFetched(StepKey step, HostName peer, List<SampleBody> bodies) implements StepInput {}

    // ---- Ledger ----

    /**
     * The control process answered a commit.
     *
     * @param commandId as commanded
     * @param step the step
     * @param indexes the samples
     * @param committed whether they are committed; if not, the commit may be sent again
     */
    record CommitAnswered(long commandId, StepKey step, List<Integer> indexes, boolean committed)
            implements StepInput {}

    /**
     * The control process answered a hand-over.
     *
     * @param step the step
     * @param cursor the cursor
     * @param recorded whether it is recorded; if not, it may be sent again
     */
    record HandOverAnswered(StepKey step, long cursor, boolean recorded) implements StepInput {}

    // ---- Trainer ----

    /**
     * The trainer wants the samples of a cursor.
     *
     * @param readId names this read in the answer
     * @param step the step
     * @param cursor the cursor, from 1
     * @param maximumSamples how many samples at most
     * @param deadlineMilliseconds when an answer without samples is due
     */
    record SamplesRead(long readId, StepKey step, long cursor, int maximumSamples, long deadlineMilliseconds)
            implements StepInput {}

    /**
     * The acknowledgement of a cursor is committed.
     *
     * @param step the step
     * @param cursor the cursor; all before it are acknowledged too
     */
    record CursorAcknowledged(StepKey step, long cursor) implements StepInput {}
}
