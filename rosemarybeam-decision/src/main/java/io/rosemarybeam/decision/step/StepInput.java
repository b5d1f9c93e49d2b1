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

/** Event that the step core handles. Immutable and safe for use by several threads. */
public sealed interface StepInput {
    /** The timer fired. */
    record Tick() implements StepInput {}

    /**
     * Identifies a step.
     *
     * @param trainer its trainer
     * @param step its id within the trainer
     */
    record StepKey(TrainerName trainer, StepId step) {}

    /**
     * This entry host owns a step, newly opened or taken over. Sent again whenever the durable state was read again.
     *
     * @param snapshot the durable state
     */
    record StepOwned(StepSnapshot snapshot) implements StepInput {}

    /**
     * Another entry host owns the step now; all work on it stops.
     *
     * @param step the step
     */
    record StepLost(StepKey step) implements StepInput {}

    /**
     * A configuration was activated; ignored if it is older than the current one.
     *
     * @param configuration the configuration
     */
    record ConfigurationActivated(OperatorConfiguration configuration) implements StepInput {}

    /**
     * The live entry hosts changed.
     *
     * @param entryHosts all live entry hosts, this one included
     */
    record EntryHostsChanged(List<EntryHostRecord> entryHosts) implements StepInput {
        public EntryHostsChanged {
            entryHosts = List.copyOf(entryHosts);
        }
    }

    /**
     * A weight version was published; the trainers of the service use it from now on.
     *
     * @param service the service
     * @param version the version
     */
    record WeightsPublished(ServiceName service, WeightVersion version) implements StepInput {}

    /**
     * The capacity of the endpoints of a service for training, or their weight versions, changed.
     *
     * @param service the service
     * @param trainingCapacity maximum number of samples that run at the same time
     * @param oldestVersion oldest weight version loaded by an endpoint in service
     * @param newestVersion newest weight version loaded by an endpoint in service
     */
    record CapacityChanged(
            ServiceName service, int trainingCapacity, WeightVersion oldestVersion, WeightVersion newestVersion)
            implements StepInput {}

    /**
     * A submitted sample made progress.
     *
     * @param request id of the attempt
     * @param endpoint the endpoint that runs it
     * @param tokens number of tokens generated so far
     */
    record SampleProgressed(RequestId request, EndpointId endpoint, int tokens) implements StepInput {}

    /**
     * A submitted sample was generated.
     *
     * @param request id of the attempt
     * @param text the text
     * @param digest digest of the text
     * @param spans weight versions of all token spans as reported by the engine; empty if the version of a span is missing
     */
    record SampleGenerated(RequestId request, String text, String digest, List<VersionSpan> spans)
            implements StepInput {
        public SampleGenerated {
            spans = List.copyOf(spans);
        }
    }

    /**
     * A submitted sample was refused or failed.
     *
     * @param request id of the attempt
     * @param code the reason
     * @param retryAfterMilliseconds minimum delay before it is submitted again
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

    /**
     * A peer stored copies, or failed to.
     *
     * @param commandId id of the command
     * @param step the step
     * @param peer the peer
     * @param indexes indexes of the samples within the step
     * @param stored whether the peer stored all of them
     */
    record BodiesStored(long commandId, StepKey step, HostName peer, List<Integer> indexes, boolean stored)
            implements StepInput {}

    /**
     * A peer returned the copies that it holds; the list is also empty if the peer could not be reached.
     *
     * @param step the step
     * @param peer the peer
     * @param bodies the copies
     */
    record BodiesFetched(StepKey step, HostName peer, List<SampleBody> bodies) implements StepInput {}

    /**
     * The control process answered a commit.
     *
     * @param commandId id of the command
     * @param step the step
     * @param indexes indexes of the samples within the step
     * @param committed whether they are known to be committed; if not, the commit may be sent again
     */
    record CommitAnswered(long commandId, StepKey step, List<Integer> indexes, boolean committed)
            implements StepInput {}

    /**
     * The control process answered a hand-over.
     *
     * @param step the step
     * @param cursor the cursor
     * @param recorded whether it is known to be recorded; if not, it may be sent again
     */
    record HandOverAnswered(StepKey step, long cursor, boolean recorded) implements StepInput {}

    /**
     * The trainer requested the samples of a cursor.
     *
     * @param readId id of this read, returned in the answer
     * @param step the step
     * @param cursor the cursor, from 1
     * @param maximumSamples maximum number of samples in the answer
     * @param deadlineMilliseconds time at which the read is answered without samples
     */
    record ReadRequested(long readId, StepKey step, long cursor, int maximumSamples, long deadlineMilliseconds)
            implements StepInput {}

    /**
     * The acknowledgement of a cursor is committed.
     *
     * @param step the step
     * @param cursor the cursor; all earlier cursors are acknowledged too
     */
    record CursorAcknowledged(StepKey step, long cursor) implements StepInput {}
}
