package io.rosemarybeam.common.admin;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.error.WireException;
import io.rosemarybeam.common.metric.Metrics;
import io.rosemarybeam.common.wire.PacedWriteHandler;
import io.rosemarybeam.common.wire.WireTransport;

/**
 * Serves {@code GET /metrics} and {@code GET /dump} over HTTP.
 *
 * <p>Invariant: the event loops belong to the caller, who shuts them down. Safe for use by several threads.
 */
public final class AdminServer implements AutoCloseable {
    private static final int MAXIMUM_LINE_BYTES = 4_096;
    private static final int MAXIMUM_HEADER_BYTES = 8_192;
    private static final int MAXIMUM_BODY_BYTES = 1_024;
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(30);

    private final Channel serverChannel;
    private final ChannelGroup accepted;

    private AdminServer(Channel listening, ChannelGroup accepted) {
        this.serverChannel = listening;
        this.accepted = accepted;
    }

    /**
     * Starts a server.
     *
     * @param eventLoops where its channels run
     * @param address IP address and port; port 0 selects a free port
     * @param metrics the metrics to serve
     * @param dump the source of the state to serve
     * @return the running server
     * @throws WireException with {@link ErrorCode#CONNECTION_FAILED} if the address cannot be bound
     */
    public static AdminServer start(EventLoopGroup eventLoops, String address, Metrics metrics, DumpSource dump) {
        ChannelGroup accepted = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(eventLoops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        PacedWriteHandler.install(channel);
                        accepted.add(channel);
                        initialise(channel, metrics, dump);
                    }
                });
        ChannelFuture bound = bootstrap.bind(WireTransport.parse(address)).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new WireException(ErrorCode.CONNECTION_FAILED, "cannot listen on " + address, bound.cause());
        }
        return new AdminServer(bound.channel(), accepted);
    }

    private static void initialise(Channel channel, Metrics metrics, DumpSource dump) {
        HttpDecoderConfig limits = new HttpDecoderConfig()
                .setMaxInitialLineLength(MAXIMUM_LINE_BYTES)
                .setMaxHeaderSize(MAXIMUM_HEADER_BYTES);
        channel.pipeline()
                .addLast(new IdleStateHandler(0, 0, IDLE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS))
                .addLast(new HttpServerCodec(limits))
                .addLast(new HttpObjectAggregator(MAXIMUM_BODY_BYTES))
                .addLast(new AdminHandler(metrics, dump));
    }

    /** Returns the IP address and port to which the server is bound. */
    public String address() {
        InetSocketAddress bound = (InetSocketAddress) serverChannel.localAddress();
        return bound.getAddress().getHostAddress() + ":" + bound.getPort();
    }

    /** Closes the server socket and all connections. */
    @Override
    public void close() {
        serverChannel.close().awaitUninterruptibly();
        accepted.close().awaitUninterruptibly();
    }
}
