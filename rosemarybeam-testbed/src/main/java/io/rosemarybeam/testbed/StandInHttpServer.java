package io.rosemarybeam.testbed;

import java.net.InetSocketAddress;
import java.util.function.Consumer;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.GlobalEventExecutor;

/** The HTTP server of a stand-in endpoint. Safe for use by several threads; the handler runs on the event loops. */
final class StandInHttpServer implements AutoCloseable {
    private static final int MAXIMUM_BODY_BYTES = 8 * 1024 * 1024;

    private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final Channel listener;

    StandInHttpServer(EventLoopGroup eventLoops, int port, Consumer<HttpExchange> handler) {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(eventLoops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        connections.add(channel);
                        channel.pipeline()
                                .addLast(new HttpServerCodec())
                                .addLast(new HttpObjectAggregator(MAXIMUM_BODY_BYTES))
                                .addLast(new Dispatcher(handler));
                    }
                });
        listener = bootstrap.bind("127.0.0.1", port).syncUninterruptibly().channel();
    }

    int port() {
        return ((InetSocketAddress) listener.localAddress()).getPort();
    }

    String baseUrl() {
        return "http://127.0.0.1:" + port();
    }

    /** Closes the listener and every connection without waiting for running requests, as a crash does. */
    @Override
    public void close() {
        listener.close();
        connections.close();
    }

    /** Passes each request to the handler. Confined to the event loop of its connection. */
    private static final class Dispatcher extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final Consumer<HttpExchange> handler;

        Dispatcher(Consumer<HttpExchange> handler) {
            this.handler = handler;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            handler.accept(new HttpExchange(context, request));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable failure) {
            context.close();
        }
    }
}
