package io.rosemarybeam.testbed;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

/**
 * An HTTP request and the means to answer it.
 *
 * <p>Invariant: either {@link #respond} is called once, or {@link #startStream} once and {@link #endStream} at most once.
 * Created on the event loop of its connection. Streams may be started, written or aborted from another event loop; Netty then
 * runs these writes on the event loop of the connection.
 */
final class HttpExchange {
    /** Time that the first part of an answer has to pass through a forwarder, in milliseconds. */
    private static final long DELIVERY_MILLISECONDS = 30;

    private final ChannelHandlerContext context;
    private final String method;
    private final String uri;
    private final byte[] body;
    private final io.netty.handler.codec.http.HttpHeaders headers;
    private final boolean keepAlive;

    HttpExchange(ChannelHandlerContext context, FullHttpRequest request) {
        this.context = context;
        this.method = request.method().name();
        this.uri = request.uri();
        this.headers = request.headers().copy();
        this.keepAlive = HttpUtil.isKeepAlive(request);
        this.body = new byte[request.content().readableBytes()];
        request.content().getBytes(request.content().readerIndex(), body);
    }

    String method() {
        return method;
    }

    String uri() {
        return uri;
    }

    String header(String name) {
        return headers.get(name);
    }

    byte[] body() {
        return body;
    }

    boolean isOpen() {
        return context.channel().isActive();
    }

    void respond(int status, String contentType, byte[] content, String... extraHeaders) {
        var response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(content));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.length);
        for (int index = 0; index + 1 < extraHeaders.length; index += 2) {
            response.headers().set(extraHeaders[index], extraHeaders[index + 1]);
        }
        context.writeAndFlush(response);
        if (!keepAlive) {
            context.close();
        }
    }

    /** Sends the first bytes of an answer and closes the connection when they have had time to arrive. */
    void respondInPart(int status, String contentType, byte[] content, int sentBytes, String... extraHeaders) {
        var response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.length);
        for (int index = 0; index + 1 < extraHeaders.length; index += 2) {
            response.headers().set(extraHeaders[index], extraHeaders[index + 1]);
        }
        context.write(response);
        context.writeAndFlush(new DefaultHttpContent(Unpooled.copiedBuffer(content, 0, sentBytes)));
        schedule(DELIVERY_MILLISECONDS, this::abort);
    }

    void respondJson(int status, String json, String... extraHeaders) {
        respond(status, "application/json", json.getBytes(StandardCharsets.UTF_8), extraHeaders);
    }

    void startStream(String attempt) {
        var response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/event-stream");
        response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        if (attempt != null) {
            response.headers().set("X-Attempt-Id", attempt);
        }
        context.writeAndFlush(response);
    }

    void sendEvent(String data) {
        String text = "data: " + data + "\n\n";
        context.writeAndFlush(new DefaultHttpContent(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8)));
    }

    void endStream() {
        context.writeAndFlush(new DefaultLastHttpContent());
    }

    void abort() {
        context.close();
    }

    void schedule(long milliseconds, Runnable action) {
        context.executor().schedule(action, milliseconds, TimeUnit.MILLISECONDS);
    }
}
