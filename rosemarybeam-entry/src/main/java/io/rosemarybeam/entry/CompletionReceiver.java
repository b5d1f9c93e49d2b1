package io.rosemarybeam.entry;

import java.util.List;

import io.rosemarybeam.common.wire.StepRecords.VersionSpan;

/** Receives the text of a model. Implementations are called by one thread at a time; see {@link PendingRequest}. */
interface CompletionReceiver {
    /**
     * A part of the text arrived.
     *
     * @param chunk the part
     * @param spliced whether it continues the text of another generation
     */
    void onChunk(ModelChunk chunk, boolean spliced);

    /**
     * The text is complete.
     *
     * @param text the text
     * @param tokens number of its tokens
     * @param spans weight versions of all token spans; empty if any token came without a version
     */
    void onComplete(String text, int tokens, List<VersionSpan> spans);

    /**
     * The engine rejected the request, for example because of a malformed parameter.
     *
     * @param status HTTP status
     * @param contentType media type
     * @param body body
     */
    void onErrorAnswer(int status, String contentType, byte[] body);

    /**
     * The request ended without a complete answer.
     *
     * @param problem the reason
     */
    void onRefused(Problem problem);

    /**
     * Returns whether any part has been sent to the caller.
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
}
