package io.rosemarybeam.common.wire;

import java.util.List;

import io.rosemarybeam.common.id.StepId;
import io.rosemarybeam.common.id.TrainerName;
import io.rosemarybeam.common.wire.StepRecords.VersionSpan;

/** Requests between entry processes and their replies. Immutable and safe for use by several threads. */
public sealed interface PeerRequest extends Message {
    /**
     * The body of a sample.
     *
     * @param index position of the sample within its step
     * @param digest digest of the text
     * @param text the generated text
     * @param spans weight versions of all token spans in order
     * @param score score of the sample; NaN if the service has no scoring service
     */
    record SampleBody(int index, String digest, String text, List<VersionSpan> spans, double score) {}

    /**
     * Stores copies of bodies; answered by {@link CommonReply.Accepted}.
     *
     * @param trainer the trainer
     * @param step the step
     * @param bodies the bodies
     */
    record StoreBodies(TrainerName trainer, StepId step, List<SampleBody> bodies) implements PeerRequest {}

    /**
     * Fetches copies of bodies; answered by {@link Bodies} with those that the receiver stores.
     *
     * @param trainer the trainer
     * @param step the step
     * @param indexes the requested samples; empty for all
     */
    record FetchBodies(TrainerName trainer, StepId step, List<Integer> indexes) implements PeerRequest {}

    /**
     * Bodies of samples.
     *
     * @param bodies the bodies
     */
    record Bodies(List<SampleBody> bodies) implements PeerRequest {}

    /**
     * Drops all bodies of a step up to an acknowledged cursor; answered by {@link CommonReply.Accepted}.
     *
     * @param trainer the trainer
     * @param step the step
     * @param indexes the delivered samples
     */
    record DropBodies(TrainerName trainer, StepId step, List<Integer> indexes) implements PeerRequest {}

    /**
     * Relays a trainer's HTTP request to the owner of its step; answered by {@link RelayedAnswer}.
     *
     * @param method HTTP method
     * @param path path and query
     * @param body body
     */
    record RelayTrainerRequest(String method, String path, byte[] body) implements PeerRequest {}

    /**
     * The answer of the owner.
     *
     * @param status HTTP status
     * @param contentType media type
     * @param body body
     */
    record RelayedAnswer(int status, String contentType, byte[] body) implements PeerRequest {}
}
