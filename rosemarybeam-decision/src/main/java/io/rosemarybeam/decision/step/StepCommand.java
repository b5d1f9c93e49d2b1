package io.rosemarybeam.decision.step;

import java.util.List;
import java.util.Set;

import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.HostName;
import io.rosemarybeam.common.id.RequestId;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.id.TrainerName;
import io.rosemarybeam.common.id.WeightVersion;
import io.rosemarybeam.common.wire.PeerRequest.SampleBody;
import io.rosemarybeam.common.wire.StepRecords.SampleCommit;
import io.rosemarybeam.decision.step.StepInput.StepKey;

/** Action that the step core requests from its driver. Immutable and safe for use by several threads. */
public sealed interface StepCommand {
    /**
     * Submits one attempt of a sample to the request core.
     *
     * @param request id of the attempt
     * @param trainer the trainer
     * @param service the model service
     * @param prompt the prompt
     * @param maximumTokens maximum length of the answer
     * @param expectedTokens predicted length
     * @param minimumVersion oldest weight version that may serve it
     * @param avoid endpoints that run other attempts of the sample
     * @param deadlineMilliseconds time by which it must be complete
     * @param step the step
     * @param index the sample; attempts of one sample may share a sampling seed, so that accepting the first to complete does
     *     not favor short texts
     */
    record SubmitSample(
            RequestId request,
            TrainerName trainer,
            ServiceName service,
            String prompt,
            int maximumTokens,
            int expectedTokens,
            WeightVersion minimumVersion,
            Set<EndpointId> avoid,
            long deadlineMilliseconds,
            StepKey step,
            int index)
            implements StepCommand {
        public SubmitSample {
            avoid = Set.copyOf(avoid);
        }
    }

    /**
     * Cancels a submitted attempt.
     *
     * @param request id of the attempt
     */
    record CancelSample(RequestId request) implements StepCommand {}

    /**
     * Requests the score of a sample; the scoring service receives the same idempotency key on every repetition.
     *
     * @param step the step
     * @param index the sample
     * @param digest digest of the text
     * @param scoringService the service that scores; not a model service
     * @param prompt the prompt
     * @param text the text
     */
    record ScoreSample(StepKey step, int index, String digest, ServiceName scoringService, String prompt, String text)
            implements StepCommand {}

    /**
     * Stores copies of bodies on a peer.
     *
     * @param commandId id of this command, returned in its answer
     * @param step the step
     * @param peer the peer
     * @param bodies the bodies
     */
    record StoreBodies(long commandId, StepKey step, HostName peer, List<SampleBody> bodies) implements StepCommand {}

    /**
     * Fetches copies of bodies from a peer.
     *
     * @param step the step
     * @param peer the peer
     * @param indexes indexes of the samples within the step
     */
    record FetchBodies(StepKey step, HostName peer, List<Integer> indexes) implements StepCommand {}

    /**
     * Deletes the copies of acknowledged samples on a peer.
     *
     * @param step the step
     * @param peer the peer
     * @param indexes indexes of the samples within the step
     */
    record DropBodies(StepKey step, HostName peer, List<Integer> indexes) implements StepCommand {}

    /**
     * Commits accepted bodies of samples to the ledger.
     *
     * @param commandId id of this command, returned in its answer
     * @param step the step
     * @param ownerEpoch epoch of this owner
     * @param samples digest, version spans and holders of each body
     * @param replacing whether they replace committed bodies that are lost or too old
     */
    record CommitSamples(long commandId, StepKey step, long ownerEpoch, List<SampleCommit> samples, boolean replacing)
            implements StepCommand {}

    /**
     * Records the samples of a cursor in the ledger before they are handed over.
     *
     * @param step the step
     * @param ownerEpoch epoch of this owner
     * @param cursor the cursor
     * @param sampleIndexes indexes of the samples within the step, in the order of delivery
     */
    record RecordHandOver(StepKey step, long ownerEpoch, long cursor, List<Integer> sampleIndexes)
            implements StepCommand {}

    /**
     * Answers a read.
     *
     * @param readId id of the read
     * @param cursor the cursor
     * @param bodies the samples; empty if none is ready yet
     * @param remaining number of samples of the step that are not assigned to a cursor yet
     */
    record AnswerRead(long readId, long cursor, List<SampleBody> bodies, int remaining) implements StepCommand {}

    /**
     * Refuses a read.
     *
     * @param readId id of the read
     * @param code the reason
     */
    record RefuseRead(long readId, ErrorCode code) implements StepCommand {}
}
