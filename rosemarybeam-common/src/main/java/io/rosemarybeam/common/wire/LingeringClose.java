package io.rosemarybeam.common.wire;

import java.util.concurrent.TimeUnit;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.socket.DuplexChannel;

/**
 * Closes a connection of a caller after its last answer in the way of RFC 9112, section 9.6: it ends the output, and goes on
 * reading until the caller closes or a timeout is over.
 *
 * <p>A connection that is closed while bytes of the caller are unread or on their way is reset, which can discard the answer.
 * The handler of the connection has to discard what it still reads. Stateless and safe for use by several threads.
 */
public final class LingeringClose implements ChannelFutureListener {
    /** Maximum time for which a connection is read after the last answer, in milliseconds. */
    private static final long TIMEOUT_MILLISECONDS = 2_000;

    @Override
    public void operationComplete(ChannelFuture written) {
        Channel channel = written.channel();
        if (!written.isSuccess() || !(channel instanceof DuplexChannel duplex)) {
            channel.close();
            return;
        }
        duplex.shutdownOutput();
        channel.eventLoop().schedule(() -> channel.close(), TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS);
    }
}
