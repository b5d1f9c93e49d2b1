package io.rosemarybeam.common.wire;

import java.nio.channels.ClosedChannelException;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.channel.CoalescingBufferQueue;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.UnsupportedMessageTypeException;
import io.netty.util.ReferenceCountUtil;

/**
 * Passes what a connection sends to its socket in small slices, so that the direct memory for output is bounded by the
 * number of connections and not by the bytes that wait.
 *
 * <p>A socket is written from direct memory. At the limit of direct memory the Java runtime lets the allocating thread,
 * here an event loop, sleep for up to half a second for each buffer before it fails.
 *
 * <p>Invariants: bytes keep their order; one slice at a time is below this handler, and the next one follows when the socket
 * has taken it; a write completes when its last byte was taken, and fails when the channel closes before. Waiting bytes
 * count for {@link Channel#isWritable} and for the {@link OutputBacklog}. Has to be the handler nearest to the socket.
 * Confined to the event loop of its channel.
 */
public final class PacedWriteHandler extends ChannelDuplexHandler {
    /** Size of a slice, in bytes; a thousand connections to slow readers take half of 64 MB of direct memory. */
    static final int SLICE_BYTES = 32 * 1_024;

    /** Slices that one turn of the event loop passes at most; Netty's default for the writes of one turn. */
    private static final int MAXIMUM_SLICES_PER_TURN = 16;

    /** Number of messages for which a queue has room before it grows. */
    private static final int INITIAL_QUEUE_LENGTH = 4;

    /** Prefers the heap, so that incomplete messages and encoded heads are not kept in direct memory. */
    private static final ByteBufAllocator ALLOCATOR = new PooledByteBufAllocator(false);

    private final OutputBacklog backlog;
    private CoalescingBufferQueue queue;

    /** Bytes at the head of the queue that may be passed, because a flush followed them. */
    private int flushedBytes;

    /** Whether a flush followed the head of the queue, which may be an empty buffer. */
    private boolean hasFlushed;

    private boolean isSliceInSocket;
    private boolean isPassing;
    private boolean isClosed;

    PacedWriteHandler(OutputBacklog backlog) {
        this.backlog = backlog;
    }

    /**
     * Bounds the direct memory of a channel: paces its writes and lets it allocate on the heap except for reads and writes
     * of the socket. To be called before other handlers are added and before anything is written.
     *
     * @param channel the channel
     */
    public static void install(Channel channel) {
        channel.config().setAllocator(ALLOCATOR);
        channel.pipeline().addFirst(new PacedWriteHandler(OutputBacklog.ofProcess()));
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        queue = new CoalescingBufferQueue(context.channel(), INITIAL_QUEUE_LENGTH, true);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        if (!(message instanceof ByteBuf buffer)) {
            ReferenceCountUtil.release(message);
            promise.tryFailure(new UnsupportedMessageTypeException(message, ByteBuf.class));
        } else if (isClosed) {
            buffer.release();
            promise.tryFailure(new ClosedChannelException());
        } else {
            backlog.add(buffer.readableBytes());
            queue.add(buffer, promise);
        }
    }

    @Override
    public void flush(ChannelHandlerContext context) {
        flushedBytes = queue.readableBytes();
        hasFlushed = !queue.isEmpty();
        pass(context);
    }

    /** Does nothing while a caller passes slices already: a change of writability or a completed write may write again. */
    private void pass(ChannelHandlerContext context) {
        if (isPassing) {
            return;
        }
        isPassing = true;
        try {
            for (int slices = 0; hasFlushed && !isSliceInSocket; slices++) {
                if (slices == MAXIMUM_SLICES_PER_TURN) {
                    context.executor().execute(() -> pass(context));
                    return;
                }
                passSlice(context);
            }
        } finally {
            isPassing = false;
        }
    }

    private void passSlice(ChannelHandlerContext context) {
        int bytes = Math.min(SLICE_BYTES, flushedBytes);
        flushedBytes -= bytes;
        hasFlushed = flushedBytes > 0;
        isSliceInSocket = true;
        ChannelPromise taken = context.newPromise();
        ByteBuf slice = queue.remove(bytes, taken);
        // The writes that end in this slice complete before the next slice is passed, because they listen already.
        taken.addListener(done -> {
            isSliceInSocket = false;
            backlog.remove(bytes);
            if (done.isSuccess()) {
                pass(context);
            } else {
                closeAfterFailure(context);
            }
        });
        context.writeAndFlush(slice == null ? Unpooled.EMPTY_BUFFER : slice, taken);
    }

    /** A stream of bytes that lacks a slice cannot be continued. */
    private void closeAfterFailure(ChannelHandlerContext context) {
        failAll(context);
        boolean isOutputShutdown = context.channel() instanceof DuplexChannel duplex && duplex.isOutputShutdown();
        if (!isOutputShutdown) {
            context.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        failAll(context);
        context.fireChannelInactive();
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext context) {
        failAll(context);
    }

    private void failAll(ChannelHandlerContext context) {
        isClosed = true;
        hasFlushed = false;
        flushedBytes = 0;
        backlog.remove(queue.readableBytes());
        queue.releaseAndFailAll(context, new ClosedChannelException());
    }
}
