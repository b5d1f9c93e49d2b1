package io.rosemarybeam.forward;

import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * One request of a caller and its answer.
 *
 * <p>Invariant: one answer at most is sent; an answer that cannot be finished ends with the connection, so that it does not
 * look complete. Confined to the event loop of the connection.
 */
public final class CallerExchange {
    private static final byte[] EMPTY = {};

    private final Channel channel;
    private final String method;
    private final String uri;
    private final HttpHeaders headers;
    private final byte[] body;
    private final boolean keepAlive;
    private final Runnable onFinished;
    private Runnable onAbandoned = () -> {};
    private boolean started;
    private boolean finished;

    CallerExchange(
            Channel channel,
            String method,
            String uri,
            HttpHeaders headers,
            byte[] body,
            boolean keepAlive,
            Runnable onFinished) {
        this.channel = channel;
        this.method = method;
        this.uri = uri;
        this.headers = headers;
        this.body = body;
        this.keepAlive = keepAlive;
        this.onFinished = onFinished;
    }

    /**
     * Returns the method.
     *
     * @return for example {@code POST}
     */
    public String method() {
        return method;
    }

    /**
     * Returns path and query.
     *
     * @return as the caller sent them
     */
    public String uri() {
        return uri;
    }

    /**
     * Returns the path.
     *
     * @return without query
     */
    public String path() {
        int question = uri.indexOf('?');
        return question < 0 ? uri : uri.substring(0, question);
    }

    /**
     * Returns the headers.
     *
     * @return as the caller sent them
     */
    public HttpHeaders headers() {
        return headers;
    }

    /**
     * Returns a header.
     *
     * @param name its name
     * @return its value, or empty if it is missing
     */
    public Optional<String> header(String name) {
        return Optional.ofNullable(headers.get(name));
    }

    /**
     * Returns the body.
     *
     * @return its bytes
     */
    public byte[] body() {
        return body;
    }

    /**
     * Registers what is done if the caller leaves before the answer is finished.
     *
     * @param action called once at most
     */
    public void onAbandoned(Runnable action) {
        onAbandoned = action;
    }

    /**
     * Returns whether nothing more can be sent.
     *
     * @return true once the answer is finished or the caller has left
     */
    public boolean isFinished() {
        return finished;
    }

    /**
     * Answers without a body.
     *
     * @param status the status code
     */
    public void answer(int status) {
        answer(status, new DefaultHttpHeaders(), EMPTY);
    }

    /**
     * Answers with a JSON document.
     *
     * @param status the status code
     * @param document the document
     */
    public void answerJson(int status, byte[] document) {
        HttpHeaders answerHeaders = new DefaultHttpHeaders();
        answerHeaders.set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
        answer(status, answerHeaders, document);
    }

    /**
     * Refuses the request, which has not run, and says when to come back.
     *
     * @param retryAfterSeconds time until another attempt makes sense, in seconds
     */
    public void refuse(double retryAfterSeconds) {
        HttpHeaders answerHeaders = new DefaultHttpHeaders();
        answerHeaders.set(HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.2f", retryAfterSeconds));
        answer(HttpResponseStatus.SERVICE_UNAVAILABLE.code(), answerHeaders, EMPTY);
    }

    /**
     * Answers with a text that says what is wrong with the request.
     *
     * @param status the status code
     * @param text one sentence
     */
    public void answerText(int status, String text) {
        HttpHeaders answerHeaders = new DefaultHttpHeaders();
        answerHeaders.set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.TEXT_PLAIN);
        answer(status, answerHeaders, text.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Sends the whole answer.
     *
     * @param status the status code
     * @param answerHeaders headers without those that concern the connection or the length
     * @param answerBody the body
     */
    public void answer(int status, HttpHeaders answerHeaders, byte[] answerBody) {
        if (finished || started) {
            return;
        }
        HttpHeaders sent = connectionHeaders(answerHeaders);
        sent.set(HttpHeaderNames.CONTENT_LENGTH, answerBody.length);
        channel.writeAndFlush(new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(status),
                        Unpooled.wrappedBuffer(answerBody),
                        sent,
                        EmptyHttpHeaders.INSTANCE))
                .addListener(keepAlive ? ChannelFutureListener.CLOSE_ON_FAILURE : ChannelFutureListener.CLOSE);
        finish();
    }

    /**
     * Starts an answer whose parts follow.
     *
     * @param status the status code
     * @param answerHeaders headers without those that concern the connection or the length
     */
    public void begin(int status, HttpHeaders answerHeaders) {
        if (finished || started) {
            return;
        }
        started = true;
        HttpHeaders sent = connectionHeaders(answerHeaders);
        sent.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        channel.writeAndFlush(new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), sent));
    }

    /**
     * Sends a part of the answer.
     *
     * @param bytes the part
     */
    public void send(byte[] bytes) {
        if (!finished && started) {
            channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
        }
    }

    /** Finishes an answer that was started. */
    public void end() {
        if (!finished && started) {
            channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
                    .addListener(keepAlive ? ChannelFutureListener.CLOSE_ON_FAILURE : ChannelFutureListener.CLOSE);
            finish();
        }
    }

    /** Breaks an answer off that was started and cannot be finished. */
    public void abort() {
        if (!finished) {
            finished = true;
            channel.close();
            onFinished.run();
        }
    }

    void abandoned() {
        if (!finished) {
            finished = true;
            onAbandoned.run();
            onFinished.run();
        }
    }

    private HttpHeaders connectionHeaders(HttpHeaders answerHeaders) {
        HttpHeaders sent = answerHeaders.copy();
        if (!keepAlive) {
            sent.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        return sent;
    }

    private void finish() {
        finished = true;
        onFinished.run();
    }
}
