package io.rosemarybeam.forward;

import io.netty.handler.codec.http.HttpHeaders;

/** Receives the one answer to a forwarded request. Called on the event loop of the forwarder. */
public interface AnswerSink {
    /**
     * Learns how many endpoints answered that they failed, before the outcome.
     *
     * @param count answers with status 500
     */
    default void reportInternalErrors(int count) {}

    /**
     * Receives an answer of an endpoint that is whole.
     *
     * @param status the status code
     * @param headers headers without those that concern the connection
     * @param body the body
     */
    void complete(int status, HttpHeaders headers, byte[] body);

    /**
     * Receives the start of an answer whose parts follow.
     *
     * @param status the status code
     * @param headers headers without those that concern the connection
     */
    void begin(int status, HttpHeaders headers);

    /**
     * Receives a part of an answer that was begun.
     *
     * @param bytes the part
     */
    void part(byte[] bytes);

    /** Learns that an answer that was begun is whole. */
    void end();

    /** Learns that an answer that was begun cannot be finished. */
    void abort();

    /**
     * Learns that the request has not run and will not run.
     *
     * @param retryAfterSeconds time until another attempt makes sense, in seconds
     */
    void refuse(double retryAfterSeconds);

    /**
     * Learns that the request has no answer and may have run.
     *
     * @param status 502 if the endpoints failed, 504 if the time is over
     */
    void fail(int status);
}
