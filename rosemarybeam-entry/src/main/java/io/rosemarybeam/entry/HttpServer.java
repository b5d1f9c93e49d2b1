package io.rosemarybeam.entry;

import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.flush.FlushConsolidationHandler;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import io.rosemarybeam.common.collection.ByteBudget;
import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.error.WireException;
import io.rosemarybeam.common.wire.PacedWriteHandler;
import io.rosemarybeam.common.wire.WireTransport;

/**
 * Accepts the connections of callers, trainers and endpoints.
 *
 * <p>Invariant: {@link #close} leaves the event loops running, because they belong to the caller of {@link #open}. Safe
 * for use by several threads.
 */
final class HttpServer implements AutoCloseable {
    private static final int LOW_WATER_BYTES = 16_384;
    private static final int HIGH_WATER_BYTES = 65_536;
    private static final int MAXIMUM_LINE_BYTES = 8_192;
    private static final int MAXIMUM_HEADER_BYTES = 32_768;
    private static final int MAXIMUM_CHUNK_BYTES = 65_536;
    private static final int BACKLOG_CONNECTIONS = 1_024;
    private static final long IDLE_SECONDS = 60;

    private final Channel listener;
    private final ChannelGroup connections;

    private HttpServer(Channel listener, ChannelGroup connections) {
        this.listener = listener;
        this.connections = connections;
    }

    /**
     * Listens on an address.
     *
     * @param eventLoops event loops of the connections
     * @param address IP number and port
     * @param routes serves the requests
     * @param budget limits the buffered bodies
     * @param openCalls counts the requests in progress
     * @return the server
     * @throws WireException with {@link ErrorCode#CONNECTION_FAILED} if the address cannot be bound
     */
    static HttpServer open(
            EventLoopGroup eventLoops, String address, HttpRoutes routes, ByteBudget budget, OpenCalls openCalls) {
        ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(eventLoops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, BACKLOG_CONNECTIONS)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(
                        ChannelOption.WRITE_BUFFER_WATER_MARK,
                        new WriteBufferWaterMark(LOW_WATER_BYTES, HIGH_WATER_BYTES))
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        connections.add(channel);
                        PacedWriteHandler.install(channel);
                        channel.pipeline()
                                .addLast(new IdleStateHandler(IDLE_SECONDS, 0, 0, TimeUnit.SECONDS))
                                .addLast(new FlushConsolidationHandler(
                                        FlushConsolidationHandler.DEFAULT_EXPLICIT_FLUSH_AFTER_FLUSHES, true))
                                .addLast(new HttpServerCodec(
                                        MAXIMUM_LINE_BYTES, MAXIMUM_HEADER_BYTES, MAXIMUM_CHUNK_BYTES))
                                .addLast(new CallerConnection(routes, budget, openCalls));
                    }
                });
        var bound = bootstrap.bind(WireTransport.parse(address)).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new WireException(ErrorCode.CONNECTION_FAILED, "cannot listen on " + address, bound.cause());
        }
        return new HttpServer(bound.channel(), connections);
    }

    /** Returns the port that was bound. */
    int port() {
        return ((InetSocketAddress) listener.localAddress()).getPort();
    }

    int connectionCount() {
        return connections.size();
    }

    /** Stops accepting and closes all connections. */
    @Override
    public void close() {
        listener.close().awaitUninterruptibly();
        connections.close().awaitUninterruptibly();
    }
}
