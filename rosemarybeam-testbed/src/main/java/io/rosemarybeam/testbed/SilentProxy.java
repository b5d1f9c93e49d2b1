package io.rosemarybeam.testbed;

import java.net.InetSocketAddress;
import java.net.SocketAddress;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.GlobalEventExecutor;

/**
 * A TCP proxy on loopback that can stop forwarding without closing connections, as a network device does that has lost the
 * state of a connection. New connections are forwarded unless the proxy is partitioned.
 *
 * <p>Invariant: a connection that was silenced is never forwarded again. Safe for use by several threads.
 */
public final class SilentProxy implements AutoCloseable {
    private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final SocketAddress target;
    private final Channel listener;
    private volatile boolean partitioned;
    private volatile long lastSilencedNumber;
    private volatile long connectionCount;

    /**
     * Starts a proxy.
     *
     * @param eventLoops run the connections
     * @param targetPort port on loopback to which connections are forwarded
     */
    public SilentProxy(EventLoopGroup eventLoops, int targetPort) {
        this.target = new InetSocketAddress("127.0.0.1", targetPort);
        this.listener = new ServerBootstrap()
                .group(eventLoops)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.AUTO_READ, false)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        accept(channel);
                    }
                })
                .bind("127.0.0.1", 0)
                .syncUninterruptibly()
                .channel();
    }

    /**
     * Returns the address at which the proxy listens.
     *
     * @return IP address and port
     */
    public String address() {
        return "127.0.0.1:" + ((InetSocketAddress) listener.localAddress()).getPort();
    }

    /** Stops forwarding on every open connection without closing it. Later connections are forwarded. */
    public void silenceOpenConnections() {
        lastSilencedNumber = connectionCount;
    }

    /**
     * Stops or resumes forwarding on all connections, open and new, without closing them. Data that arrives while the proxy
     * is partitioned is lost.
     *
     * @param value true to stop forwarding
     */
    public void setPartitioned(boolean value) {
        partitioned = value;
    }

    @Override
    public void close() {
        listener.close();
        connections.close();
    }

    private synchronized long nextConnectionNumber() {
        connectionCount++;
        return connectionCount;
    }

    private boolean forwards(long number) {
        return !partitioned && number > lastSilencedNumber;
    }

    private void accept(SocketChannel inbound) {
        long number = nextConnectionNumber();
        connections.add(inbound);
        var connecting = new Bootstrap()
                .group(inbound.eventLoop())
                .channel(NioSocketChannel.class)
                .handler(new Forwarder(inbound, number))
                .connect(target);
        Channel outbound = connecting.channel();
        connections.add(outbound);
        inbound.pipeline().addLast(new Forwarder(outbound, number));
        connecting.addListener(connected -> {
            if (connected.isSuccess()) {
                inbound.config().setAutoRead(true);
            } else {
                inbound.close();
            }
        });
    }

    /** Forwards what one side of a connection sends. Confined to the event loop that both sides share. */
    private final class Forwarder extends ChannelInboundHandlerAdapter {
        private final Channel other;
        private final long number;

        Forwarder(Channel other, long number) {
            this.other = other;
            this.number = number;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (forwards(number)) {
                other.writeAndFlush(message);
            } else {
                ReferenceCountUtil.release(message);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (forwards(number)) {
                other.close();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable failure) {
            context.close();
        }
    }
}
