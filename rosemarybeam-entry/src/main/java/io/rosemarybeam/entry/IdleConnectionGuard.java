package io.rosemarybeam.entry;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import org.asynchttpclient.netty.DiscardEvent;
import org.asynchttpclient.netty.channel.Channels;

/**
 * Closes a connection to an endpoint on which bytes arrive while it is idle in the pool.
 *
 * <p>Invariant: bytes that arrive without a request never reach the decoder, which would keep the start of an extra answer and
 * take the next answer for its continuation. Confined to the event loop of its connection.
 */
final class IdleConnectionGuard extends ChannelInboundHandlerAdapter {
    /**
     * Adds a guard to a new connection.
     *
     * @param channel the connection
     */
    static void install(Channel channel) {
        channel.pipeline().addFirst(new IdleConnectionGuard());
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (Channels.getAttribute(context.channel()) == DiscardEvent.DISCARD) {
            ReferenceCountUtil.release(message);
            context.close();
        } else {
            context.fireChannelRead(message);
        }
    }
}
