package io.rosemarybeam.entry;

import java.util.ArrayDeque;
import java.util.Deque;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.util.ReferenceCountUtil;
import io.rosemarybeam.common.collection.ByteBudget;
import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.error.RosemarybeamException;
import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;

/**
 * Aggregates the HTTP requests of one connection and dispatches them one at a time.
 *
 * <p>Invariant: a body never grows beyond the limit of its route, and all bodies together never beyond the budget of
 * the process. A request that arrives before the previous one is answered is queued, and reading is suspended. Confined
 * to the event loop of the connection.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {
    private static final EventLog LOG = EventLog.of(CallerConnection.class);
    private static final long RETRY_AFTER_MILLISECONDS = 1_000;

    private final HttpRoutes routes;
    private final ByteBudget budget;
    private final OpenCalls openCalls;
    private final Deque<Object> queued = new ArrayDeque<>();
    private HttpRequestHead head;
    private ByteBuf body = Unpooled.EMPTY_BUFFER;
    private long bodyLimit;
    private long reservedBytes;
    private HttpCall call;
    private boolean discarding;

    CallerConnection(HttpRoutes routes, ByteBudget budget, OpenCalls openCalls) {
        this.routes = routes;
        this.openCalls = openCalls;
        this.budget = budget;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (call != null) {
            queued.add(message);
            context.channel().config().setAutoRead(false);
            return;
        }
        process(context, message);
    }

    private void process(ChannelHandlerContext context, Object message) {
        try {
            if (message instanceof HttpRequest request) {
                begin(context, request);
            }
            if (message instanceof HttpContent content && !discarding && head != null) {
                append(context, content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void begin(ChannelHandlerContext context, HttpRequest request) {
        head = HttpRequestHead.of(request);
        if (!request.decoderResult().isSuccess() || !head.uri().startsWith("/")) {
            refuse(context, Problem.notRun(ErrorCode.REQUEST_INVALID, "the request line or a header is malformed"));
            return;
        }
        try {
            bodyLimit = routes.bodyLimit(head);
        } catch (RosemarybeamException failure) {
            refuse(context, Problem.of(failure));
            return;
        }
        if (HttpUtil.getContentLength(request, 0L) > bodyLimit) {
            refuse(context, tooLarge());
        } else if (HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(HttpResponses.continueResponse());
        }
    }

    private void append(ChannelHandlerContext context, HttpContent content) {
        int length = content.content().readableBytes();
        if (body.readableBytes() + (long) length > bodyLimit) {
            refuse(context, tooLarge());
            return;
        }
        if (!budget.reserve(length)) {
            refuse(context, Problem.retryLater(ErrorCode.OVERLOADED, RETRY_AFTER_MILLISECONDS));
            return;
        }
        reservedBytes += length;
        if (length > 0) {
            if (body == Unpooled.EMPTY_BUFFER) {
                body = context.alloc().heapBuffer(length);
            }
            body.writeBytes(content.content());
        }
        if (content instanceof LastHttpContent) {
            byte[] bytes = new byte[body.readableBytes()];
            body.readBytes(bytes);
            releaseBody();
            Runnable release = openCalls.enter();
            HttpCall ready = new HttpCall(context.channel(), head, bytes, () -> onAnswered(context), release);
            call = ready;
            dispatch(ready);
        }
    }

    private void dispatch(HttpCall ready) {
        try {
            routes.handle(ready);
        } catch (RosemarybeamException failure) {
            routes.countRefusal(failure.code());
            ready.refuse(Problem.of(failure));
        } catch (RuntimeException failure) {
            LOG.log(Event.HANDLER_FAILED, failure, "path", ready.head().path());
            ready.refuse(Problem.notRun(ErrorCode.INTERNAL, ErrorCode.INTERNAL.description()));
        }
    }

    private void onAnswered(ChannelHandlerContext context) {
        call = null;
        head = null;
        budget.release(reservedBytes);
        reservedBytes = 0;
        while (call == null && !queued.isEmpty()) {
            process(context, queued.poll());
        }
        if (queued.isEmpty()) {
            context.channel().config().setAutoRead(true);
        }
    }

    /**
     * Refuses a request without reading the rest of its body, and therefore closes the connection after the answer.
     */
    private void refuse(ChannelHandlerContext context, Problem problem) {
        discarding = true;
        routes.countRefusal(problem.code());
        HttpCall refused = new HttpCall(context.channel(), head, new byte[0], () -> {}, openCalls.enter());
        refused.lingerAfterAnswer();
        refused.refuse(problem);
    }

    private Problem tooLarge() {
        return Problem.notRun(ErrorCode.BODY_TOO_LARGE, "the body exceeds " + bodyLimit + " bytes");
    }

    private void releaseBody() {
        if (body != Unpooled.EMPTY_BUFFER) {
            body.release();
            body = Unpooled.EMPTY_BUFFER;
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (call != null) {
            call.notifyWritable();
        }
        context.fireChannelWritabilityChanged();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        releaseBody();
        budget.release(reservedBytes);
        reservedBytes = 0;
        queued.forEach(ReferenceCountUtil::release);
        queued.clear();
        if (call != null) {
            call.notifyClosed();
        }
        context.fireChannelInactive();
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof IdleStateEvent && call == null) {
            context.close();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable failure) {
        context.close();
    }
}
