package io.rosemarybeam.entry;

import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.rosemarybeam.common.id.WeightVersion;
import io.rosemarybeam.common.wire.RequestOutcome;
import io.rosemarybeam.decision.request.RequestInput.AttemptFailure;

/**
 * Collects what the attempts of one request deliver and passes it to a receiver.
 *
 * <p>Implementations are not safe for use by several threads; {@link PendingRequest} serializes the calls and lets only
 * the current attempt through.
 */
interface Answer {
    /**
     * An attempt starts.
     *
     * @param attempt its id, which the endpoint echoes
     * @param resumes whether it continues where the previous attempt failed; otherwise nothing may have reached the
     *     caller
     * @param spliced whether it continues the text of another generation
     */
    void begin(String attempt, boolean resumes, boolean spliced);

    /**
     * The endpoint sent status and headers.
     *
     * @param status HTTP status
     * @param headers headers
     * @return why the attempt fails, or empty if it continues
     */
    Optional<AttemptFailure> onHead(int status, HttpHeaders headers);

    /**
     * The endpoint sent a part of the body.
     *
     * @param bytes valid only during the call
     * @return why the attempt fails, or empty if it continues
     */
    Optional<AttemptFailure> onBytes(ByteBuf bytes);

    /**
     * The endpoint ended the body.
     *
     * @return why the answer is incomplete, or empty if it is complete
     */
    Optional<AttemptFailure> onEnd();

    /** Returns how much of the answer has arrived, in tokens, or in bytes for plain services. */
    int received();

    /** Returns the weight version of the last part, if the engine reported one. */
    Optional<WeightVersion> version();

    /**
     * Returns whether any part has been forwarded to the caller.
     *
     * @return true from the first forwarded byte
     */
    boolean reachedCaller();

    /**
     * Returns whether the receiver accepts more data now.
     *
     * @return false while the sender must pause
     */
    boolean isWritable();

    /** Ends the request with the complete answer. */
    void finish();

    /** Returns the outcome to record for the complete answer. */
    RequestOutcome outcome();

    /**
     * Ends the request with a recorded outcome.
     *
     * @param outcome the outcome
     */
    void replay(RequestOutcome outcome);

    /**
     * Ends the request without a complete answer.
     *
     * @param problem the reason
     */
    void refuse(Problem problem);

    /**
     * Returns the body to send to the endpoint.
     *
     * @param resumes whether the endpoint resumes at {@link #received}
     * @return the body
     */
    byte[] requestBody(boolean resumes);
}
