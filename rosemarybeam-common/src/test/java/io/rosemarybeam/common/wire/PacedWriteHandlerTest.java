package io.rosemarybeam.common.wire;

import java.nio.channels.ClosedChannelException;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against bytes that are lost, reordered, counted wrongly or passed to a socket that takes none. */
class PacedWriteHandlerTest {
    private static final int SLICE = PacedWriteHandler.SLICE_BYTES;

    private final OutputBacklog backlog = OutputBacklog.of(4L * SLICE);
    private final FakeSocket socket = new FakeSocket();
    private final EmbeddedChannel channel = new EmbeddedChannel(socket, new PacedWriteHandler(backlog));

    @AfterEach
    void close() {
        channel.close();
        assertEquals(0, backlog.bytes());
    }

    private static byte[] bytes(int length, int seed) {
        byte[] bytes = new byte[length];
        for (int index = 0; index < length; index++) {
            bytes[index] = (byte) (index * 31 + seed);
        }
        return bytes;
    }

    private ChannelFuture write(byte[] bytes) {
        return channel.writeAndFlush(Unpooled.wrappedBuffer(bytes));
    }

    @Test
    void shouldPassNextSliceOnlyWhenFormerWasTaken() {
        byte[] message = bytes(2 * SLICE + 5, 1);

        ChannelFuture written = write(message);

        assertEquals(List.of(SLICE), socket.sizes());
        assertEquals(message.length, backlog.bytes());
        socket.take();
        assertEquals(List.of(SLICE, SLICE), socket.sizes());
        socket.take();
        assertFalse(written.isDone());
        socket.take();
        assertTrue(written.isSuccess());
        assertArrayEquals(message, socket.received());
    }

    @Test
    void shouldKeepOrderAndCompletePromisesInOrderWhenMessagesShareSlices() {
        List<Integer> completed = new ArrayList<>();
        byte[] expected = new byte[0];
        for (int message = 0; message < 50; message++) {
            int number = message;
            byte[] part = bytes(message % 5 == 0 ? 0 : message * 400, message);
            expected = concatenate(expected, part);
            write(part).addListener(done -> completed.add(number));
        }

        socket.takeAll();

        assertArrayEquals(expected, socket.received());
        assertEquals(IntStream.range(0, 50).boxed().toList(), completed);
        assertTrue(socket.sizes().stream().allMatch(size -> size <= SLICE));
    }

    private static byte[] concatenate(byte[] first, byte[] second) {
        return ByteBufUtil.getBytes(Unpooled.wrappedBuffer(first, second));
    }

    @Test
    void shouldKeepOrderWhenCompletedWriteWritesAgain() {
        byte[] first = bytes(SLICE, 1);
        byte[] second = bytes(SLICE + 1, 2);
        byte[] third = bytes(10, 3);
        write(first).addListener(done -> write(third));
        write(second);

        socket.takeAll();

        assertArrayEquals(concatenate(concatenate(first, second), third), socket.received());
    }

    @Test
    void shouldPassNothingBeforeFlush() {
        ChannelFuture written = channel.write(Unpooled.wrappedBuffer(bytes(10, 1)));
        assertEquals(List.of(), socket.sizes());

        channel.flush();
        channel.write(Unpooled.wrappedBuffer(bytes(10, 2)));
        socket.takeAll();

        assertTrue(written.isSuccess());
        assertEquals(List.of(10), socket.sizes());
        assertEquals(10, backlog.bytes());
    }

    @Test
    void shouldCompleteEmptyWrite() {
        ChannelFuture written = channel.writeAndFlush(Unpooled.EMPTY_BUFFER);
        socket.takeAll();

        assertTrue(written.isSuccess());
    }

    @Test
    void shouldFailWritesAndReleaseBuffersWhenChannelCloses() {
        ByteBuf waiting = Unpooled.wrappedBuffer(bytes(10, 2));
        ChannelFuture partly = write(bytes(2 * SLICE, 1));
        ChannelFuture unflushed = channel.write(waiting);

        channel.close();

        assertInstanceOf(ClosedChannelException.class, partly.cause());
        assertInstanceOf(ClosedChannelException.class, unflushed.cause());
        assertEquals(0, waiting.refCnt());
        assertEquals(0, backlog.bytes());
        assertFalse(write(bytes(10, 3)).isSuccess());
    }

    /** A frame of which a part is missing would shift all that follow it. */
    @Test
    void shouldCloseChannelWhenSliceFails() {
        ChannelFuture written = write(bytes(2 * SLICE, 1));

        socket.fail(new IllegalStateException("no memory"));

        assertInstanceOf(ClosedChannelException.class, written.cause());
        assertFalse(channel.isOpen());
    }

    /** Senders of the log and of streams stop at the water marks; without this the queue would hide a slow reader. */
    @Test
    void shouldTellWritabilityByWaterMarksWhenReaderIsSlow() {
        channel.config().setWriteBufferWaterMark(new WriteBufferWaterMark(SLICE, 4 * SLICE));
        List<Boolean> changes = new ArrayList<>();
        channel.pipeline().addLast(new ChannelInboundHandlerAdapter() {
            @Override
            public void channelWritabilityChanged(ChannelHandlerContext context) {
                changes.add(context.channel().isWritable());
            }
        });

        write(bytes(3 * SLICE, 1));
        assertTrue(channel.isWritable());
        write(bytes(3 * SLICE, 2));
        assertFalse(channel.isWritable());
        assertTrue(backlog.isFull());

        socket.takeAll();
        channel.runPendingTasks();
        assertTrue(channel.isWritable());
        assertFalse(backlog.isFull());
        assertEquals(List.of(false, true), changes);
    }

    /** A reader that is always fast must not keep the event loop from other connections. */
    @Test
    void shouldLeaveTheLoopAfterSomeSlices() {
        socket.takesAtOnce = true;

        channel.write(Unpooled.wrappedBuffer(bytes(40 * SLICE, 1)));
        channel.pipeline().flush();
        int inFirstTurn = socket.sizes().size();
        channel.runPendingTasks();

        assertTrue(inFirstTurn < 40, () -> inFirstTurn + " slices");
        assertEquals(40, socket.sizes().size());
    }

    @Test
    void shouldRefuseBacklogWithoutRoom() {
        assertThrows(IllegalArgumentException.class, () -> OutputBacklog.of(0));
    }

    /** A socket that takes slices when a test says so. */
    private static final class FakeSocket extends ChannelOutboundHandlerAdapter {
        private final List<byte[]> slices = new ArrayList<>();
        private final List<ChannelPromise> untaken = new ArrayList<>();
        private boolean takesAtOnce;

        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            ByteBuf slice = (ByteBuf) message;
            if (slice.isReadable()) {
                slices.add(ByteBufUtil.getBytes(slice));
            }
            slice.release();
            untaken.add(promise);
            if (takesAtOnce) {
                take();
            }
        }

        @Override
        public void close(ChannelHandlerContext context, ChannelPromise promise) {
            List<ChannelPromise> failed = List.copyOf(untaken);
            untaken.clear();
            failed.forEach(slice -> slice.tryFailure(new ClosedChannelException()));
            context.close(promise);
        }

        void take() {
            assertEquals(1, untaken.size());
            untaken.removeFirst().setSuccess();
        }

        void takeAll() {
            while (!untaken.isEmpty()) {
                take();
            }
        }

        void fail(Throwable failure) {
            untaken.removeFirst().setFailure(failure);
        }

        List<Integer> sizes() {
            return slices.stream().map(slice -> slice.length).toList();
        }

        byte[] received() {
            return ByteBufUtil.getBytes(Unpooled.wrappedBuffer(slices.toArray(byte[][]::new)));
        }
    }
}
