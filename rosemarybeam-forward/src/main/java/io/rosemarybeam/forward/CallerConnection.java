package io.rosemarybeam.forward;

import java.io.ByteArrayOutputStream;
import java.util.ArrayDeque;
import java.util.Deque;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.util.ReferenceCountUtil;
import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;
import io.rosemarybeam.common.wire.LingeringClose;
import io.rosemarybeam.decision.routing.CallerLimits;

/**
 * Reads the requests of one caller connection and dispatches them one at a time.
 *
 * <p>Invariant: a request is dispatched only when its body is complete, the previous answer is written and the connection
 * stays open after it. Confined to the event loop of the connection.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {
    private static final EventLog LOG = EventLog.of(CallerConnection.class);

    /**
     * Number of HTTP messages of later requests from which on a connection is not read until the answer in progress is
     * written; callers normally do not pipeline requests.
     */
    private static final int MAXIMUM_PENDING_MESSAGES = 1_024;

    private final CallerServer server;
    private final CallerLimits limits;
    private final Deque<Object> pending = new ArrayDeque<>();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();

    /** Head of the request whose body is being read; null if there is none. */
    private HttpRequest head;

    /** The request whose answer is not written yet; null if there is none. */
    private CallerExchange exchange;

    /** Whether a request was rejected; further messages are discarded and the connection closes. */
    private boolean refused;

    CallerConnection(CallerServer server, CallerLimits limits) {
        this.server = server;
        this.limits = limits;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (exchange == null && pending.isEmpty()) {
            process(context, message);
        } else {
            pending.add(message);
            context.channel().config().setAutoRead(pending.size() < MAXIMUM_PENDING_MESSAGES);
        }
    }

    private void process(ChannelHandlerContext context, Object message) {
        try {
            if (message instanceof HttpRequest request && !refused) {
                begin(context, request);
            }
            if (message instanceof HttpContent content && head != null && !refused) {
                append(context, content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void begin(ChannelHandlerContext context, HttpRequest request) {
        head = request;
        body.reset();
        if (request.decoderResult().isFailure()) {
            boolean isTooLong = request.decoderResult().cause() instanceof TooLongHttpHeaderException;
            refuse(
                    context,
                    isTooLong ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE : HttpResponseStatus.BAD_REQUEST);
        } else if (isAmbiguous(request)) {
            refuse(context, HttpResponseStatus.BAD_REQUEST);
        } else if (HttpUtil.getContentLength(request, 0L) > limits.maximumBodyBytes()) {
            refuse(context, HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
        } else if (HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    /**
     * Returns whether the framing of a request is ambiguous, which would allow request smuggling, or its target is not a
     * path.
     */
    private static boolean isAmbiguous(HttpRequest request) {
        boolean hasLength = request.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
        boolean isEncoded = request.headers().contains(HttpHeaderNames.TRANSFER_ENCODING);
        return hasLength && isEncoded || !request.uri().startsWith("/");
    }

    private void append(ChannelHandlerContext context, HttpContent content) {
        if (content.decoderResult().isFailure()) {
            refuse(context, HttpResponseStatus.BAD_REQUEST);
            return;
        }
        ByteBuf bytes = content.content();
        if (body.size() + (long) bytes.readableBytes() > limits.maximumBodyBytes()) {
            refuse(context, HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        byte[] part = new byte[bytes.readableBytes()];
        bytes.readBytes(part);
        body.write(part, 0, part.length);
        if (content instanceof LastHttpContent) {
            dispatch(context);
        }
    }

    private void dispatch(ChannelHandlerContext context) {
        HttpRequest request = head;
        head = null;
        boolean keepAlive = HttpUtil.isKeepAlive(request) && !server.isDraining();
        exchange = new CallerExchange(
                context.channel(),
                request.method().name(),
                request.uri(),
                request.headers(),
                body.toByteArray(),
                keepAlive,
                () -> onExchangeFinished(context));
        body.reset();
        try {
            server.dispatch(exchange);
        } catch (RuntimeException failure) {
            LOG.log(Event.HANDLER_FAILED, failure, "path", request.uri());
            if (exchange != null) {
                exchange.answer(HttpResponseStatus.INTERNAL_SERVER_ERROR.code());
            }
        }
    }

    private void onExchangeFinished(ChannelHandlerContext context) {
        server.exchangeFinished(exchange);
        exchange = null;
        context.executor().execute(() -> processPending(context));
    }

    private void processPending(ChannelHandlerContext context) {
        while (exchange == null && !pending.isEmpty() && context.channel().isActive()) {
            process(context, pending.poll());
        }
        context.channel().config().setAutoRead(pending.size() < MAXIMUM_PENDING_MESSAGES);
    }

    private void refuse(ChannelHandlerContext context, HttpResponseStatus status) {
        refused = true;
        head = null;
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        context.writeAndFlush(response).addListener(new LingeringClose());
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (exchange != null) {
            exchange.disconnected();
        }
        pending.forEach(ReferenceCountUtil::release);
        pending.clear();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (exchange != null && context.channel().isWritable()) {
            exchange.writable();
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        boolean awaitsAnswer = exchange != null && !exchange.isFinished();
        if (event instanceof IdleStateEvent && !awaitsAnswer) {
            context.close();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable failure) {
        LOG.log(Event.CALLER_CONNECTION_FAILED, "reason", failure);
        context.close();
    }
}
