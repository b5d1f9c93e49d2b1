package io.rosemarybeam.entry;

import java.util.List;

import io.rosemarybeam.common.wire.StepRecords.VersionSpan;

/**
 * Gets the text of a model. Implementations are called by one thread at a time; see {@link PendingRequest}.
 */
interface CompletionReceiver {
    /**
     * A part of the text arrived.
     *
     * @param chunk the part
     * @param spliced whether it continues the text of another generation
     */
    void onChunk(ModelChunk chunk, boolean spliced);

    /**
     * The text is whole.
     *
     * @param text the text
     * @param tokens how many tokens it has
     * @param spans versions of all token spans; empty if a span was not stamped
     */
    void onComplete(String text, int tokens, List<VersionSpan> spans);

    /**
     * The engine answered with an error of the request, for example a malformed parameter.
     *
     * @param status HTTP status
     * @param contentType media type
     * @param body body
     */
    void onErrorAnswer(int status, String contentType, byte[] body);

    /**
     * The request ended without its answer.
     *
     * @param problem the reason
     */
    void onRefused(Problem problem);

    /**
     * Returns whether any part has left this process.
     *
     * @return true from the first passed byte
     */
    boolean reachedCaller();

    /**
     * Returns whether more can be taken now.
     *
     * @return false while the sender has to pause
     */
    boolean isWritable();
}
