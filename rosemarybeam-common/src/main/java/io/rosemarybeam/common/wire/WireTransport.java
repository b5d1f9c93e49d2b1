package io.rosemarybeam.common.wire;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.timeout.IdleStateHandler;
import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.error.WireException;

/**
 * Opens and accepts connections between processes.
 *
 * <p>Invariant: the event loops belong to the caller, who shuts them down. Safe for use by several threads.
 */
public final class WireTransport {
    /**
     * Low and high water marks for bytes waiting to be sent to a slow reader; one append of the replicated log has one
     * megabyte.
     */
    private static final WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(1_048_576, 4_194_304);

    private final EventLoopGroup eventLoops;
    private final WireSettings settings;

    private WireTransport(EventLoopGroup eventLoops, WireSettings settings) {
        this.eventLoops = eventLoops;
        this.settings = settings;
    }

    public static WireTransport of(EventLoopGroup eventLoops, WireSettings settings) {
        return new WireTransport(eventLoops, settings);
    }

    /**
     * Parses an address.
     *
     * @param address IP address and port, for example {@code 127.0.0.1:7401}
     * @return the socket address
     * @throws WireException with {@link ErrorCode#CONNECTION_FAILED} if the address is malformed
     */
    public static InetSocketAddress parse(String address) {
        int colon = address.lastIndexOf(':');
        try {
            int port = Integer.parseInt(address.substring(colon + 1));
            return new InetSocketAddress(address.substring(0, Math.max(colon, 0)), port);
        } catch (IllegalArgumentException failure) {
            throw new WireException(ErrorCode.CONNECTION_FAILED, "malformed address " + address, failure);
        }
    }

    /**
     * Listens for connections.
     *
     * @param address IP address and port
     * @param name name of this process
     * @param secrets secrets of which clients must prove knowledge
     * @param handler receives the messages of authenticated connections
     * @return the listening channel; closing it closes no accepted connection
     * @throws WireException with {@link ErrorCode#CONNECTION_FAILED} if the address cannot be bound
     */
    public Channel listen(String address, String name, Secrets secrets, MessageHandler handler) {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(eventLoops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
                .childHandler(initializer(() -> new HandshakeHandler.Server(name, secrets, handler, settings)));
        var bound = bootstrap.bind(parse(address)).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new WireException(ErrorCode.CONNECTION_FAILED, "cannot listen on " + address, bound.cause());
        }
        return bound.channel();
    }

    /**
     * Opens a connection.
     *
     * @param address IP address and port
     * @param credentials identity of this process
     * @param handler receives the messages that are not replies
     * @return completes with the authenticated connection, or with a {@link WireException}
     */
    public CompletableFuture<WireConnection> connect(String address, Credentials credentials, MessageHandler handler) {
        CompletableFuture<WireConnection> opened = new CompletableFuture<>();
        Bootstrap bootstrap = new Bootstrap()
                .group(eventLoops)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int)
                        settings.connectTimeout().toMillis())
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
                .handler(initializer(() -> new HandshakeHandler.Client(credentials, opened, handler, settings)));
        bootstrap.connect(parse(address)).addListener(connected -> {
            if (!connected.isSuccess()) {
                opened.completeExceptionally(new WireException(
                        ErrorCode.CONNECTION_FAILED, "cannot connect to " + address, connected.cause()));
            }
        });
        return opened;
    }

    private ChannelHandler initializer(Supplier<HandshakeHandler> handshake) {
        return new ChannelInitializer<SocketChannel>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                PacedWriteHandler.install(channel);
                channel.pipeline()
                        .addLast(idleStateHandler())
                        .addLast(new Frame.Decoder())
                        .addLast(new Frame.Encoder())
                        .addLast(handshake.get());
            }
        };
    }

    private IdleStateHandler idleStateHandler() {
        return new IdleStateHandler(
                settings.silenceTimeout().toMillis(),
                settings.heartbeatInterval().toMillis(),
                0,
                TimeUnit.MILLISECONDS);
    }
}
