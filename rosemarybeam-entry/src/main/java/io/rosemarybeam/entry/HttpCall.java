package io.rosemarybeam.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.rosemarybeam.common.wire.LingeringClose;

/**
 * One HTTP request with its complete body, and the means to answer it.
 *
 * <p>Invariant: exactly one answer is written. Every write is a task of the channel's event loop, so the writes of one
 * answer keep their order whichever threads make them. Safe for use by several threads.
 */
final class HttpCall {
    /** Pending bytes at which the sender must pause until the caller has received some. */
    static final long MAXIMUM_PENDING_BYTES = 65_536;

    private final Channel channel;
    private final HttpRequestHead head;
    private final byte[] body;
    private final Runnable onAnswered;
    private final Runnable onSent;
    private final AtomicLong pendingBytes = new AtomicLong();
    private final AtomicBoolean started = new AtomicBoolean();
    private final AtomicBoolean finished = new AtomicBoolean();
    private final List<Runnable> onWritable = new ArrayList<>();
    private final List<Runnable> onClosed = new ArrayList<>();
    private boolean closed;
    private volatile boolean closing;
    private volatile boolean lingering;

    /**
     * Creates a call.
     *
     * @param channel the connection
     * @param head request line and headers
     * @param body body
     * @param onAnswered called once the answer is written and the connection can take the next request
     * @param onSent called once the complete answer has been handed to the operating system, or the connection has
     *     failed
     */
    HttpCall(Channel channel, HttpRequestHead head, byte[] body, Runnable onAnswered, Runnable onSent) {
        this.channel = channel;
        this.head = head;
        this.body = body;
        this.onAnswered = onAnswered;
        this.onSent = onSent;
        this.closing = !head.keepAlive();
    }

    HttpRequestHead head() {
        return head;
    }

    byte[] body() {
        return body;
    }

    /** Closes the connection after the answer, for example while the entry drains. */
    void closeAfterAnswer() {
        closing = true;
    }

    /**
     * Closes the connection after the answer to a request whose body is not read, in a way that does not reset it while the
     * caller still writes; a reset discards the answer.
     */
    void lingerAfterAnswer() {
        closing = true;
        lingering = true;
    }

    // ---- Complete answers ----

    void respondJson(int status, Object value) {
        respond(status, "application/json", Json.write(value), new DefaultHttpHeaders());
    }

    void refuse(Problem problem) {
        DefaultHttpHeaders headers = new DefaultHttpHeaders();
        headers.set(EndpointHeaders.RUN, problem.run());
        if (problem.retryAfterMilliseconds() > 0) {
            headers.set(HttpHeaderNames.RETRY_AFTER, problem.retryAfterSeconds());
        }
        respond(problem.status(), Problem.MEDIA_TYPE, problem.body(), headers);
    }

    void respond(int status, String contentType, byte[] content, HttpHeaders headers) {
        headers.set(HttpHeaderNames.CONTENT_TYPE, contentType);
        respond(status, content, headers);
    }

    void respond(int status, byte[] content, HttpHeaders headers) {
        if (!started.compareAndSet(false, true)) {
            abort();
            return;
        }
        finished.set(true);
        boolean bodyless = head.method().equals("HEAD");
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(status),
                bodyless ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(content));
        response.headers().set(headers);
        if (status >= 200 && status != 204 && status != 304 && !(bodyless && headers.contains("content-length"))) {
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.length);
        }
        response.headers().remove(HttpHeaderNames.TRANSFER_ENCODING);
        markConnection(response.headers());
        channel.eventLoop().execute(() -> onAnswerWritten(channel.writeAndFlush(response)));
    }

    // ---- Streamed answers ----

    /**
     * Starts a streamed answer.
     *
     * @param status HTTP status
     * @param headers headers; without {@code Content-Length} the body is sent in chunks
     */
    void start(int status, HttpHeaders headers) {
        if (!started.compareAndSet(false, true)) {
            return;
        }
        DefaultHttpResponse response =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
        response.headers().set(headers);
        if (!headers.contains(HttpHeaderNames.CONTENT_LENGTH)) {
            response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        markConnection(response.headers());
        channel.eventLoop().execute(() -> channel.writeAndFlush(response));
    }

    /**
     * Sends a part of a streamed answer.
     *
     * @param bytes the part; this method releases it
     */
    void write(ByteBuf bytes) {
        if (finished.get()) {
            bytes.release();
            return;
        }
        int length = bytes.readableBytes();
        pendingBytes.addAndGet(length);
        channel.eventLoop().execute(() -> {
            channel.writeAndFlush(new DefaultHttpContent(bytes));
            pendingBytes.addAndGet(-length);
            notifyWritable();
        });
    }

    /** Ends a streamed answer. */
    void finish() {
        if (finished.compareAndSet(false, true)) {
            channel.eventLoop()
                    .execute(() -> onAnswerWritten(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)));
        }
    }

    /** Closes the connection before the end of the answer, so that the caller detects the truncation. */
    void abort() {
        finished.set(true);
        channel.eventLoop().execute(() -> {
            channel.close();
        });
    }

    boolean isStarted() {
        return started.get();
    }

    boolean isWritable() {
        return channel.isWritable() && pendingBytes.get() < MAXIMUM_PENDING_BYTES;
    }

    // ---- Notifications, on the event loop of the caller ----

    /** Registers a task to run whenever more of the answer can be written. */
    void whenWritable(Runnable task) {
        channel.eventLoop().execute(() -> onWritable.add(task));
    }

    /**
     * Registers a task to run if the caller disconnects before its answer is complete. It runs at once if the caller
     * has already disconnected.
     */
    void whenClosed(Runnable task) {
        channel.eventLoop().execute(() -> {
            if (closed) {
                task.run();
            } else {
                onClosed.add(task);
            }
        });
    }

    void notifyWritable() {
        if (isWritable()) {
            onWritable.forEach(Runnable::run);
        }
    }

    void notifyClosed() {
        closed = true;
        boolean complete = finished.getAndSet(true);
        if (!complete) {
            onClosed.forEach(Runnable::run);
        }
        onSent.run();
        onWritable.forEach(Runnable::run);
    }

    private void onAnswerWritten(ChannelFuture written) {
        written.addListener(ended -> onSent.run());
        if (closing) {
            written.addListener(lingering ? new LingeringClose() : ChannelFutureListener.CLOSE);
        } else {
            onAnswered.run();
        }
    }

    private void markConnection(HttpHeaders headers) {
        if (closing) {
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        } else if (head.versionOneZero()) {
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.KEEP_ALIVE);
        }
    }
}
