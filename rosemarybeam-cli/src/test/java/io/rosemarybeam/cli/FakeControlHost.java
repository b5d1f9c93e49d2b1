package io.rosemarybeam.cli;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

import io.netty.channel.Channel;
import io.netty.channel.nio.NioEventLoopGroup;
import io.rosemarybeam.common.wire.Message;
import io.rosemarybeam.common.wire.MessageHandler;
import io.rosemarybeam.common.wire.Secrets;
import io.rosemarybeam.common.wire.WireConnection;
import io.rosemarybeam.common.wire.WireSettings;
import io.rosemarybeam.common.wire.WireTransport;

/** A control host on the wire protocol with answers that a test defines. Safe for use by several threads. */
final class FakeControlHost implements AutoCloseable {
    static final String TOKEN = "operator-token-of-the-test";

    private final NioEventLoopGroup eventLoops = new NioEventLoopGroup(1);
    private final List<Message> received = new CopyOnWriteArrayList<>();
    private final Channel listening;

    /** Returns the answer to a request; empty closes the connection without an answer. Attempts are counted from 1. */
    @FunctionalInterface
    interface Script {
        Optional<Message> answer(Message request, int attempt);
    }

    private FakeControlHost(Script script) {
        MessageHandler handler = (WireConnection connection, long correlation, Message message) -> {
            received.add(message);
            script.answer(message, received.size())
                    .ifPresentOrElse(answer -> connection.reply(correlation, answer), connection::close);
        };
        listening = WireTransport.of(eventLoops, WireSettings.standard())
                .listen("127.0.0.1:0", "control", new Secrets("cluster", Optional.of(TOKEN)), handler);
    }

    static FakeControlHost scripted(Script script) {
        return new FakeControlHost(script);
    }

    static FakeControlHost answering(Message answer) {
        return new FakeControlHost((request, attempt) -> Optional.of(answer));
    }

    String address() {
        return "127.0.0.1:" + ((InetSocketAddress) listening.localAddress()).getPort();
    }

    List<Message> received() {
        return received;
    }

    @Override
    public void close() {
        listening.close().awaitUninterruptibly();
        eventLoops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }
}
