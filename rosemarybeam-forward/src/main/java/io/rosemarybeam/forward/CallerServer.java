package io.rosemarybeam.forward;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.error.WireException;
import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;
import io.rosemarybeam.common.wire.PacedWriteHandler;
import io.rosemarybeam.common.wire.WireTransport;
import io.rosemarybeam.decision.routing.CallerLimits;

/**
 * HTTP server for callers: accepts connections and passes each complete request to a handler.
 *
 * <p>The event loops belong to the code that opens the server and are not shut down here. Confined to one event loop, apart
 * from {@link #open}.
 */
public final class CallerServer {
    private static final EventLog LOG = EventLog.of(CallerServer.class);

    /** Maximum length of a request line in bytes, which bounds the length of a URI. */
    private static final int MAXIMUM_LINE_BYTES = 8_192;

    /** Maximum number of connections that the kernel queues until they are accepted. */
    private static final int BACKLOG = 1_024;

    private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final Set<CallerExchange> openExchanges = new HashSet<>();
    private final Supplier<CallerLimits> limits;
    private final Consumer<CallerExchange> handler;
    private Channel listener;
    private boolean draining;

    private CallerServer(Supplier<CallerLimits> limits, Consumer<CallerExchange> handler) {
        this.limits = limits;
        this.handler = handler;
    }

    /**
     * Binds an address and accepts connections.
     *
     * @param loops a group of one event loop
     * @param address IP number and port
     * @param limits supplies the limits of each connection when it is accepted; they hold until it is closed
     * @param handler serves each request, on the event loop
     * @return the open server
     * @throws WireException with {@link ErrorCode#CONNECTION_FAILED} if the address cannot be bound
     */
    public static CallerServer open(
            EventLoopGroup loops, String address, Supplier<CallerLimits> limits, Consumer<CallerExchange> handler) {
        CallerServer server = new CallerServer(limits, handler);
        var bound = new ServerBootstrap()
                .group(loops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        server.accept(channel);
                    }
                })
                .bind(WireTransport.parse(address))
                .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new WireException(ErrorCode.CONNECTION_FAILED, "cannot listen on " + address, bound.cause());
        }
        server.listener = bound.channel();
        return server;
    }

    private void accept(SocketChannel channel) {
        CallerLimits current = limits.get();
        connections.add(channel);
        PacedWriteHandler.install(channel);
        HttpDecoderConfig decoder = new HttpDecoderConfig()
                .setMaxInitialLineLength(MAXIMUM_LINE_BYTES)
                .setMaxHeaderSize(current.maximumHeaderBytes());
        channel.pipeline()
                .addLast(new IdleStateHandler(0, 0, current.idleTimeout().toMillis(), TimeUnit.MILLISECONDS))
                .addLast(new HttpServerCodec(decoder))
                .addLast(new CallerConnection(this, current));
    }

    void dispatch(CallerExchange exchange) {
        openExchanges.add(exchange);
        handler.accept(exchange);
    }

    void exchangeFinished(CallerExchange exchange) {
        openExchanges.remove(exchange);
    }

    boolean isDraining() {
        return draining;
    }

    /** Drains the server: from now on each answer closes its connection, so that callers move to another process. */
    public void drain() {
        draining = true;
    }

    /** Returns the number of requests whose answer is not completely written. */
    public int openExchanges() {
        return openExchanges.size();
    }

    /** Ends all requests that have no answer yet, as at their deadline. The failure of one does not affect the others. */
    public void expire() {
        for (CallerExchange exchange : List.copyOf(openExchanges)) {
            try {
                exchange.expire();
            } catch (RuntimeException failure) {
                LOG.log(Event.HANDLER_FAILED, failure, "path", exchange.path());
                exchange.abort();
            }
        }
    }

    /** Stops accepting and closes all connections. */
    public void close() {
        listener.close();
        connections.close();
    }
}
