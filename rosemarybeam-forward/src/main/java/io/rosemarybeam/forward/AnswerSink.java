package io.rosemarybeam.forward;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * Receives the outcome of a forwarded request: either {@link #complete}, {@link #refuse} or {@link #fail}, or {@link #begin}
 * with parts and a final {@link #end} or {@link #abort}. Called on the event loop of the forwarder.
 */
public interface AnswerSink {
    /**
     * Reports how many attempts endpoints answered with an internal error. Called before {@link #complete}, if the complete
     * answer is an error answer of an endpoint.
     *
     * @param count answers with status 500
     */
    default void reportInternalErrors(int count) {}

    /**
     * Returns whether the receiver reads bodies. A receiver that needs only status and headers gets each answer through {@link
     * #complete} with an empty body. Its requests treat an answer that is too long to be buffered as a failure of the endpoint,
     * which another endpoint may make up for.
     *
     * @return false if bodies are discarded as they arrive
     */
    default boolean readsBody() {
        return true;
    }

    /**
     * Receives a complete answer of an endpoint.
     *
     * @param status the status code
     * @param headers headers without those that concern the connection
     * @param body the body; empty if the receiver does not read bodies
     */
    void complete(int status, HttpHeaders headers, byte[] body);

    /**
     * Receives the start of an answer, whose parts follow.
     *
     * @param status the status code
     * @param headers headers without those that concern the connection
     */
    void begin(int status, HttpHeaders headers);

    /**
     * Receives a part of a started answer.
     *
     * @param bytes the part
     */
    void part(byte[] bytes);

    /**
     * Returns whether the receiver reads fast enough. While it does not, no further parts are sent.
     *
     * @return false while too many bytes are waiting for the receiver
     */
    default boolean isWritable() {
        return true;
    }

    /**
     * Sets the action for a receiver that reads fast enough again.
     *
     * @param action called on the event loop when {@link #isWritable} has become true; replaces the former action
     */
    default void onWritable(Runnable action) {}

    /** The started answer is complete. */
    void end();

    /** The started answer cannot be completed, because the endpoint failed or the deadline passed. */
    void abort();

    /**
     * The request has not run and will not run.
     *
     * @param retryAfterSeconds delay before the caller should retry, in seconds
     */
    void refuse(double retryAfterSeconds);

    /**
     * The request has no answer, but may have run.
     *
     * @param status 502 if the endpoints failed, 504 if the deadline passed, 400 if HTTP cannot express the request
     */
    void fail(int status);
}
