package io.rosemarybeam.common.wire;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleState;
import io.netty.handler.timeout.IdleStateEvent;
import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.error.WireException;
import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;
import io.rosemarybeam.common.wire.HandshakeMessage.Role;

/**
 * An authenticated connection over a Netty channel.
 *
 * <p>Invariant: added to the pipeline only after the handshake has succeeded. Each outstanding request is completed
 * exactly once: by its reply, its timeout or the close of the channel. Safe for use by several threads; channel events
 * are confined to the event loop.
 */
final class NettyConnection extends SimpleChannelInboundHandler<Frame> implements WireConnection {
    private static final EventLog LOG = EventLog.of(NettyConnection.class);
    private static final byte[] EMPTY = {};

    private final Channel channel;
    private final Role remoteRole;
    private final String remoteName;
    private final long remoteIncarnation;
    private final MessageHandler handler;
    private final AtomicLong lastCorrelation = new AtomicLong();
    private final Map<Long, CompletableFuture<Message>> outstanding = new ConcurrentHashMap<>();
    private volatile ErrorCode closeReason = ErrorCode.CONNECTION_CLOSED;

    NettyConnection(
            Channel channel, Role remoteRole, String remoteName, long remoteIncarnation, MessageHandler handler) {
        this.channel = channel;
        this.remoteRole = remoteRole;
        this.remoteName = remoteName;
        this.remoteIncarnation = remoteIncarnation;
        this.handler = handler;
    }

    @Override
    public Role remoteRole() {
        return remoteRole;
    }

    @Override
    public String remoteName() {
        return remoteName;
    }

    @Override
    public long remoteIncarnation() {
        return remoteIncarnation;
    }

    @Override
    public CompletableFuture<Message> request(Message message, Duration timeout) {
        long correlation = lastCorrelation.incrementAndGet();
        CompletableFuture<Message> reply = new CompletableFuture<>();
        outstanding.put(correlation, reply);
        var timeoutTask = channel.eventLoop()
                .schedule(
                        () -> fail(correlation, ErrorCode.DEADLINE_EXCEEDED),
                        timeout.toMillis(),
                        TimeUnit.MILLISECONDS);
        reply.whenComplete((ignored, failure) -> timeoutTask.cancel(false));
        try {
            write(message, correlation);
        } catch (WireException notSent) {
            outstanding.remove(correlation);
            reply.completeExceptionally(notSent);
        }
        if (!channel.isActive()) {
            fail(correlation, closeReason);
        }
        return reply;
    }

    @Override
    public void send(Message message) {
        write(message, 0);
    }

    @Override
    public void reply(long correlation, Message message) {
        if (correlation > 0) {
            write(message, -correlation);
        }
    }

    @Override
    public boolean isOpen() {
        return channel.isActive();
    }

    @Override
    public boolean isWritable() {
        return channel.isActive() && channel.isWritable();
    }

    @Override
    public void close() {
        channel.close();
    }

    void failAll() {
        for (Long correlation : outstanding.keySet()) {
            fail(correlation, closeReason);
        }
    }

    private void write(Message message, long correlation) {
        channel.writeAndFlush(encode(message, correlation));
    }

    /** Sends an encoded message that has no reply. */
    void send(Frame encoded) {
        channel.writeAndFlush(encoded);
    }

    /**
     * Encodes a message.
     *
     * @throws WireException with {@link ErrorCode#FRAME_INVALID} if it exceeds the maximum size of a frame
     */
    static Frame encode(Message message, long correlation) {
        byte[] payload = MessageCodec.encode((Record) message);
        if (payload.length > Frame.MAXIMUM_PAYLOAD_BYTES) {
            throw new WireException(
                    ErrorCode.FRAME_INVALID,
                    message.getClass().getSimpleName() + " of " + payload.length + " bytes exceeds the frame limit");
        }
        return new Frame(MessageType.of(message).number(), correlation, payload);
    }

    private void fail(long correlation, ErrorCode code) {
        CompletableFuture<Message> reply = outstanding.remove(correlation);
        if (reply != null) {
            reply.completeExceptionally(new WireException(code, "no reply from " + remoteName));
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Frame frame) {
        if (frame.type() == Frame.HEARTBEAT_TYPE) {
            return;
        }
        Message message = decode(frame);
        if (frame.correlation() < 0) {
            CompletableFuture<Message> reply = outstanding.remove(-frame.correlation());
            if (reply != null) {
                reply.complete(message);
            }
            return;
        }
        try {
            handler.onMessage(this, frame.correlation(), message);
        } catch (RuntimeException failure) {
            LOG.log(
                    Event.HANDLER_FAILED,
                    failure,
                    "remote",
                    remoteName,
                    "message",
                    message.getClass().getSimpleName());
            reply(frame.correlation(), new CommonReply.Refused(ErrorCode.INTERNAL, "the message handler failed", 0));
        }
    }

    private static Message decode(Frame frame) {
        MessageType type = MessageType.find(frame.type())
                .orElseThrow(() -> new WireException(ErrorCode.FRAME_INVALID, "unknown message type " + frame.type()));
        return MessageCodec.decode(frame.payload(), type.messageClass());
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        handler.onOpen(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        failAll();
        handler.onClose(this);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof IdleStateEvent idle) {
            if (idle.state() == IdleState.WRITER_IDLE) {
                context.writeAndFlush(new Frame(Frame.HEARTBEAT_TYPE, 0, EMPTY));
            } else if (idle.state() == IdleState.READER_IDLE) {
                LOG.log(Event.CONNECTION_SILENT, "remote", remoteName);
                closeReason = ErrorCode.CONNECTION_SILENT;
                context.close();
            }
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable failure) {
        LOG.log(Event.FRAME_REFUSED, "remote", remoteName, "reason", failure);
        context.close();
    }
}
