package io.rosemarybeam.entry;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;

/**
 * Defers reads from a connection while the receiver of an answer is slow.
 *
 * <p>Invariant: while the gate is shut, no read reaches the socket. AsyncHttpClient requests the next read itself after
 * each one, so disabling automatic reads is not enough. Confined to the event loop of its connection; {@link #shut} and
 * {@link #open} may be called by any thread.
 */
final class ReadGate extends ChannelOutboundHandlerAdapter {
    private boolean shut;
    private boolean readDeferred;

    /**
     * Adds a gate to a new connection.
     *
     * @param channel the connection
     */
    static void install(Channel channel) {
        channel.pipeline().addFirst(new ReadGate());
    }

    /**
     * Defers all reads until {@link #open} is called.
     *
     * @param channel the connection
     */
    static void shut(Channel channel) {
        set(channel, true);
    }

    /**
     * Permits reads again and issues a deferred one.
     *
     * @param channel the connection
     */
    static void open(Channel channel) {
        set(channel, false);
    }

    private static void set(Channel channel, boolean shut) {
        if (channel.eventLoop().inEventLoop()) {
            setOnEventLoop(channel, shut);
        } else {
            channel.eventLoop().execute(() -> setOnEventLoop(channel, shut));
        }
    }

    private static void setOnEventLoop(Channel channel, boolean shut) {
        ReadGate gate = channel.pipeline().get(ReadGate.class);
        if (gate == null) {
            return;
        }
        gate.shut = shut;
        channel.config().setAutoRead(!shut);
        if (!shut && gate.readDeferred) {
            gate.readDeferred = false;
            channel.read();
        }
    }

    @Override
    public void read(ChannelHandlerContext context) {
        if (shut) {
            readDeferred = true;
        } else {
            context.read();
        }
    }
}
