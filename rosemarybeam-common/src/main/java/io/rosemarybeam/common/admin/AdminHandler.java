package io.rosemarybeam.common.admin;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.handler.timeout.IdleStateEvent;
import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;
import io.rosemarybeam.common.metric.Metrics;

/** Answers requests for metrics and dumps. Confined to the event loop of its connection. */
final class AdminHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private static final EventLog LOG = EventLog.of(AdminHandler.class);
    private static final String PLAIN_TEXT = "text/plain; charset=utf-8";
    private static final String JSON = "application/json";

    private final Metrics metrics;
    private final DumpSource dump;

    /** Completes when all earlier answers are written, so that pipelined requests are answered in their order. */
    private CompletionStage<Void> previousWrites = CompletableFuture.completedFuture(null);

    AdminHandler(Metrics metrics, DumpSource dump) {
        this.metrics = metrics;
        this.dump = dump;
    }

    /** An answer that is not written yet. */
    private record Answer(HttpResponseStatus status, String mediaType, byte[] body) {
        static Answer of(HttpResponseStatus status, String text) {
            return new Answer(status, PLAIN_TEXT, (text + "\n").getBytes(StandardCharsets.UTF_8));
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        boolean keepAlive =
                HttpUtil.isKeepAlive(request) && request.decoderResult().isSuccess();
        CompletionStage<Answer> answer = answer(context, request);
        previousWrites = previousWrites.thenCombineAsync(
                answer,
                (done, ready) -> {
                    write(context, ready, keepAlive);
                    return done;
                },
                context.executor());
    }

    private CompletionStage<Answer> answer(ChannelHandlerContext context, FullHttpRequest request) {
        if (!request.decoderResult().isSuccess()) {
            return completed(Answer.of(HttpResponseStatus.BAD_REQUEST, "the request is malformed"));
        }
        if (!request.method().equals(HttpMethod.GET)) {
            return completed(Answer.of(HttpResponseStatus.METHOD_NOT_ALLOWED, "only GET is served"));
        }
        return switch (new QueryStringDecoder(request.uri()).path()) {
            case "/metrics" -> completed(new Answer(HttpResponseStatus.OK, metrics.mediaType(), metrics.text()));
            case "/dump" -> startDump().handle((document, failure) -> dumpAnswer(context, document, failure));
            default -> completed(Answer.of(HttpResponseStatus.NOT_FOUND, "only /metrics and /dump are served"));
        };
    }

    private static CompletionStage<Answer> completed(Answer answer) {
        return CompletableFuture.completedFuture(answer);
    }

    private CompletionStage<String> startDump() {
        try {
            return dump.dump();
        } catch (RuntimeException failure) {
            return CompletableFuture.failedFuture(failure);
        }
    }

    private static Answer dumpAnswer(ChannelHandlerContext context, String document, Throwable failure) {
        if (failure != null) {
            LOG.log(Event.DUMP_FAILED, failure);
            return Answer.of(HttpResponseStatus.INTERNAL_SERVER_ERROR, "the dump failed; see the log for the reason");
        }
        LOG.log(Event.DUMP_SERVED, "remote", context.channel().remoteAddress());
        return new Answer(HttpResponseStatus.OK, JSON, document.getBytes(StandardCharsets.UTF_8));
    }

    private static void write(ChannelHandlerContext context, Answer answer, boolean keepAlive) {
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, answer.status(), Unpooled.wrappedBuffer(answer.body()));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, answer.mediaType());
        if (answer.status().equals(HttpResponseStatus.METHOD_NOT_ALLOWED)) {
            response.headers().set(HttpHeaderNames.ALLOW, HttpMethod.GET);
        }
        HttpUtil.setContentLength(response, answer.body().length);
        HttpUtil.setKeepAlive(response, keepAlive);
        ChannelFuture sent = context.writeAndFlush(response);
        if (!keepAlive) {
            sent.addListener(ChannelFutureListener.CLOSE);
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof IdleStateEvent) {
            context.close();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable failure) {
        LOG.log(Event.ADMIN_REQUEST_FAILED, failure, "remote", context.channel().remoteAddress());
        context.close();
    }
}
