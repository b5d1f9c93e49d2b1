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

    AdminHandler(Metrics metrics, DumpSource dump) {
        this.metrics = metrics;
        this.dump = dump;
    }

    /** Decides whether the connection stays open after the answer. */
    private record Exchange(ChannelHandlerContext context, boolean keepAlive) {
        void answer(HttpResponseStatus status, String mediaType, byte[] body) {
            FullHttpResponse response =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, mediaType);
            if (status.equals(HttpResponseStatus.METHOD_NOT_ALLOWED)) {
                response.headers().set(HttpHeaderNames.ALLOW, HttpMethod.GET);
            }
            HttpUtil.setContentLength(response, body.length);
            HttpUtil.setKeepAlive(response, keepAlive);
            ChannelFuture written = context.writeAndFlush(response);
            if (!keepAlive) {
                written.addListener(ChannelFutureListener.CLOSE);
            }
        }

        void answer(HttpResponseStatus status, String text) {
            answer(status, PLAIN_TEXT, (text + "\n").getBytes(StandardCharsets.UTF_8));
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        Exchange exchange = new Exchange(
                context,
                HttpUtil.isKeepAlive(request) && request.decoderResult().isSuccess());
        if (!request.decoderResult().isSuccess()) {
            exchange.answer(HttpResponseStatus.BAD_REQUEST, "the request is malformed");
        } else if (!request.method().equals(HttpMethod.GET)) {
            exchange.answer(HttpResponseStatus.METHOD_NOT_ALLOWED, "only GET is served");
        } else {
            route(exchange, new QueryStringDecoder(request.uri()).path());
        }
    }

    private void route(Exchange exchange, String path) {
        switch (path) {
            case "/metrics" -> exchange.answer(HttpResponseStatus.OK, metrics.mediaType(), metrics.text());
            case "/dump" -> answerDump(exchange);
            default -> exchange.answer(HttpResponseStatus.NOT_FOUND, "only /metrics and /dump are served");
        }
    }

    private CompletionStage<String> startDump() {
        try {
            return dump.dump();
        } catch (RuntimeException failure) {
            return CompletableFuture.failedFuture(failure);
        }
    }

    private void answerDump(Exchange exchange) {
        startDump()
                .whenComplete((document, failure) -> exchange.context()
                        .executor()
                        .execute(() -> {
                            if (failure != null) {
                                LOG.log(Event.DUMP_FAILED, failure);
                                exchange.answer(
                                        HttpResponseStatus.INTERNAL_SERVER_ERROR,
                                        "the dump failed; the log has the reason");
                                return;
                            }
                            LOG.log(
                                    Event.DUMP_SERVED,
                                    "remote",
                                    exchange.context().channel().remoteAddress());
                            exchange.answer(HttpResponseStatus.OK, JSON, document.getBytes(StandardCharsets.UTF_8));
                        }));
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
