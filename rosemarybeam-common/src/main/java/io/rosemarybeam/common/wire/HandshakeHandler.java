package io.rosemarybeam.common.wire;

import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.error.WireException;
import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;
import io.rosemarybeam.common.wire.HandshakeMessage.Challenge;
import io.rosemarybeam.common.wire.HandshakeMessage.Hello;
import io.rosemarybeam.common.wire.HandshakeMessage.Proof;
import io.rosemarybeam.common.wire.HandshakeMessage.Role;
import io.rosemarybeam.common.wire.HandshakeMessage.Welcome;

/**
 * Runs the handshake and replaces itself with a {@link NettyConnection} when it succeeds.
 *
 * <p>Invariant: until then no frame reaches a message handler, and a failed proof closes the connection without an
 * answer. Confined to the event loop of its connection.
 */
abstract sealed class HandshakeHandler extends SimpleChannelInboundHandler<Frame>
        permits HandshakeHandler.Server, HandshakeHandler.Client {
    /** Maximum payload size before the connection is authenticated, in bytes. */
    private static final int MAXIMUM_PAYLOAD_BYTES = 4_096;

    private static final int NONCE_BYTES = 32;
    private static final SecureRandom RANDOM = new SecureRandom();
    private static final EventLog LOG = EventLog.of(HandshakeHandler.class);

    private final MessageHandler messageHandler;
    private final WireSettings settings;
    private final byte[] nonce = new byte[NONCE_BYTES];

    HandshakeHandler(MessageHandler messageHandler, WireSettings settings) {
        this.messageHandler = messageHandler;
        this.settings = settings;
        RANDOM.nextBytes(nonce);
    }

    byte[] nonce() {
        return nonce;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        context.executor()
                .schedule(
                        () -> {
                            if (!context.isRemoved()) {
                                refuse(context, "handshake timed out");
                            }
                        },
                        settings.handshakeTimeout().toMillis(),
                        TimeUnit.MILLISECONDS);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Frame frame) {
        if (frame.type() == Frame.HEARTBEAT_TYPE) {
            return;
        }
        if (frame.payload().length > MAXIMUM_PAYLOAD_BYTES) {
            refuse(context, "frame too large");
            return;
        }
        Optional<MessageType> type = MessageType.find(frame.type())
                .filter(found -> HandshakeMessage.class.isAssignableFrom(found.messageClass()));
        if (type.isEmpty()) {
            refuse(context, "message before the end of the handshake");
            return;
        }
        onHandshake(context, (HandshakeMessage)
                MessageCodec.decode(frame.payload(), type.get().messageClass()));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable failure) {
        refuse(context, String.valueOf(failure));
    }

    abstract void onHandshake(ChannelHandlerContext context, HandshakeMessage message);

    void refuse(ChannelHandlerContext context, String reason) {
        LOG.log(Event.HANDSHAKE_REFUSED, "remote", context.channel().remoteAddress(), "reason", reason);
        context.close();
    }

    void write(ChannelHandlerContext context, HandshakeMessage message) {
        byte[] payload = MessageCodec.encode((Record) message);
        context.writeAndFlush(new Frame(MessageType.of(message).number(), 0, payload));
    }

    NettyConnection installConnection(ChannelHandlerContext context, Role role, String name, long incarnation) {
        NettyConnection connection = new NettyConnection(context.channel(), role, name, incarnation, messageHandler);
        context.pipeline().replace(this, "connection", connection);
        return connection;
    }

    /** The accepting side of a connection. Confined to its event loop. */
    static final class Server extends HandshakeHandler {
        private final String name;
        private final Secrets secrets;
        private Hello hello;

        Server(String name, Secrets secrets, MessageHandler messageHandler, WireSettings settings) {
            super(messageHandler, settings);
            this.name = name;
            this.secrets = secrets;
        }

        @Override
        void onHandshake(ChannelHandlerContext context, HandshakeMessage message) {
            switch (message) {
                case Hello received
                when hello == null -> {
                    hello = received;
                    write(context, new Challenge(nonce()));
                }
                case Proof proof when hello != null -> verify(context, proof);
                default -> refuse(context, "unexpected handshake message");
            }
        }

        private void verify(ChannelHandlerContext context, Proof proof) {
            Optional<String> secret = secrets.forRole(hello.role());
            if (secret.isEmpty()) {
                refuse(context, "no secret for role " + hello.role());
                return;
            }
            byte[] expected = Credentials.clientProof(secret.get(), hello, nonce());
            if (!MessageDigest.isEqual(expected, proof.proof())) {
                refuse(context, "wrong proof from " + hello.name());
                return;
            }
            byte[] answer = Credentials.serverProof(secret.get(), name, hello.nonce(), nonce());
            write(context, new Welcome(name, answer));
            installConnection(context, hello.role(), hello.name(), hello.incarnation());
        }
    }

    /** The connecting side of a connection. Confined to its event loop. */
    static final class Client extends HandshakeHandler {
        private final Credentials credentials;
        private final CompletableFuture<WireConnection> opened;
        private byte[] serverNonce;

        Client(
                Credentials credentials,
                CompletableFuture<WireConnection> opened,
                MessageHandler messageHandler,
                WireSettings settings) {
            super(messageHandler, settings);
            this.credentials = credentials;
            this.opened = opened;
        }

        private Hello hello() {
            return new Hello(credentials.role(), credentials.name(), credentials.incarnation(), nonce());
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            write(context, hello());
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            opened.completeExceptionally(
                    new WireException(ErrorCode.HANDSHAKE_REFUSED, "connection closed during the handshake"));
        }

        @Override
        void onHandshake(ChannelHandlerContext context, HandshakeMessage message) {
            switch (message) {
                case Challenge challenge
                when serverNonce == null -> {
                    serverNonce = challenge.nonce();
                    write(context, new Proof(Credentials.clientProof(credentials.secret(), hello(), serverNonce)));
                }
                case Welcome welcome when serverNonce != null -> verify(context, welcome);
                default -> refuse(context, "unexpected handshake message");
            }
        }

        private void verify(ChannelHandlerContext context, Welcome welcome) {
            byte[] expected = Credentials.serverProof(credentials.secret(), welcome.name(), nonce(), serverNonce);
            if (!MessageDigest.isEqual(expected, welcome.proof())) {
                refuse(context, "wrong proof from " + welcome.name());
                return;
            }
            opened.complete(installConnection(context, Role.CONTROL, welcome.name(), 0));
        }
    }
}
