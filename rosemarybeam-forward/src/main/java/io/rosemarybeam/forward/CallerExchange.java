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
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * One request of a caller and its answer.
 *
 * <p>Invariant: at most one answer is sent; if an answer cannot be finished, the connection is closed, so that the caller
 * does not take it for complete. Confined to the event loop of the connection.
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
    private Runnable onDisconnect = () -> {};
    private Runnable onWritable = () -> {};
    private Runnable onExpire = () -> answer(HttpResponseStatus.GATEWAY_TIMEOUT.code());
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

    /** Returns the HTTP method, for example {@code POST}. */
    public String method() {
        return method;
    }

    /** Returns path and query as the caller sent them. */
    public String uri() {
        return uri;
    }

    /** Returns the path without the query. */
    public String path() {
        int question = uri.indexOf('?');
        return question < 0 ? uri : uri.substring(0, question);
    }

    /** Returns the headers as the caller sent them. */
    public HttpHeaders headers() {
        return headers;
    }

    /**
     * Returns the first value of a header.
     *
     * @param name the name in any case
     * @return the value, or empty if the header is missing
     */
    public Optional<String> header(String name) {
        return Optional.ofNullable(headers.get(name));
    }

    /** Returns the complete body; the array is not copied. */
    public byte[] body() {
        return body;
    }

    /**
     * Sets the action for a caller that disconnects before the answer is finished.
     *
     * @param action called at most once, on the event loop of the connection
     */
    public void onDisconnect(Runnable action) {
        onDisconnect = action;
    }

    /**
     * Sets the action for a process that cannot wait for the answer any longer.
     *
     * @param action answers or aborts; called at most once, on the event loop of the connection
     */
    public void onExpire(Runnable action) {
        onExpire = action;
    }

    /** Ends the exchange unless its answer is finished. */
    void expire() {
        if (!finished) {
            onExpire.run();
            abort();
        }
    }

    /**
     * Returns whether nothing more can be sent.
     *
     * @return true once the answer is finished or aborted, or the caller has disconnected
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
     * Refuses the request, which has not run, with status 503 and a {@code Retry-After} header.
     *
     * @param retryAfterSeconds delay before the caller should retry, in seconds
     */
    public void refuse(double retryAfterSeconds) {
        refuse(retryAfterSeconds, new DefaultHttpHeaders());
    }

    /**
     * Refuses the request as {@link #refuse(double)} does, with further headers.
     *
     * @param retryAfterSeconds delay before the caller should retry, in seconds
     * @param answerHeaders the further headers; changed
     */
    public void refuse(double retryAfterSeconds, HttpHeaders answerHeaders) {
        answerHeaders.set(HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.2f", retryAfterSeconds));
        answer(HttpResponseStatus.SERVICE_UNAVAILABLE.code(), answerHeaders, EMPTY);
    }

    /**
     * Answers with a plain text that states what is wrong with the request.
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
     * Sends a complete answer; does nothing if an answer was started or finished.
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
        writeLast(new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(status),
                Unpooled.wrappedBuffer(answerBody),
                sent,
                EmptyHttpHeaders.INSTANCE));
    }

    /**
     * Starts a chunked answer, whose parts follow; does nothing if an answer was started or finished.
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
     * Sends a part of a started answer.
     *
     * @param bytes the part
     */
    public void send(byte[] bytes) {
        if (!finished && started) {
            channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
        }
    }

    /**
     * Returns whether the caller reads fast enough.
     *
     * @return false while too many bytes are waiting to be sent
     */
    public boolean isWritable() {
        return channel.isWritable();
    }

    /**
     * Sets the action for a caller that reads fast enough again.
     *
     * @param action called on the event loop of the connection; replaces the former action
     */
    public void onWritable(Runnable action) {
        onWritable = action;
    }

    void writable() {
        onWritable.run();
    }

    /** Finishes a started answer. */
    public void end() {
        if (!finished && started) {
            writeLast(LastHttpContent.EMPTY_LAST_CONTENT);
        }
    }

    /** Aborts an answer that cannot be finished, by closing the connection. */
    public void abort() {
        if (!finished) {
            finished = true;
            channel.close();
            onFinished.run();
        }
    }

    void disconnected() {
        if (!finished) {
            finished = true;
            onDisconnect.run();
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

    /** Writes the end of the answer; the exchange remains open until the connection has taken all of it. */
    private void writeLast(HttpObject last) {
        finished = true;
        channel.writeAndFlush(last)
                .addListener(keepAlive ? ChannelFutureListener.CLOSE_ON_FAILURE : ChannelFutureListener.CLOSE)
                .addListener(written -> onFinished.run());
    }
}
