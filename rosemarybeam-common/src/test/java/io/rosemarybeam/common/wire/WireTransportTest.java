package io.rosemarybeam.common.wire;

import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

import io.netty.channel.Channel;
import io.netty.channel.nio.NioEventLoopGroup;
import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.error.WireException;
import io.rosemarybeam.common.wire.HandshakeMessage.Role;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against clients that pass the handshake without the secret and against connections that hang forever. */
class WireTransportTest {
    private static final Duration DEADLINE = Duration.ofSeconds(5);
    private static final WireSettings SETTINGS = new WireSettings(
            Duration.ofMillis(50), Duration.ofMillis(300), Duration.ofMillis(500), Duration.ofMillis(500));

    private final NioEventLoopGroup eventLoops = new NioEventLoopGroup(1);
    private final WireTransport transport = WireTransport.of(eventLoops, SETTINGS);
    private Channel server;

    @BeforeEach
    void listen() {
        MessageHandler handler = (connection, correlation, message) -> {
            if (message instanceof OperatorRequest.DumpRequest) {
                connection.reply(correlation, new CommonReply.DumpReply(connection.remoteName()));
            }
        };
        server = transport.listen("127.0.0.1:0", "control-1", new Secrets("cluster", Optional.of("token")), handler);
    }

    @AfterEach
    void stop() {
        server.close();
        eventLoops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    private String address() {
        return "127.0.0.1:" + ((InetSocketAddress) server.localAddress()).getPort();
    }

    private CompletableFuture<WireConnection> connect(String secret) {
        Credentials credentials = new Credentials(Role.ENTRY, "entry-1", 7, secret);
        return transport.connect(address(), credentials, (connection, correlation, message) -> {});
    }

    @Test
    void shouldAnswerRequestWhenSecretsMatch() throws Exception {
        WireConnection connection = connect("cluster").get(5, TimeUnit.SECONDS);

        Message reply =
                connection.request(new OperatorRequest.DumpRequest(), DEADLINE).get(5, TimeUnit.SECONDS);

        assertEquals(new CommonReply.DumpReply("entry-1"), reply);
        assertEquals("control-1", connection.remoteName());
    }

    @Test
    void shouldRefuseConnectionWhenSecretIsWrong() {
        ExecutionException failure =
                assertThrows(ExecutionException.class, () -> connect("guess").get(5, TimeUnit.SECONDS));

        assertEquals(ErrorCode.HANDSHAKE_REFUSED, ((WireException) failure.getCause()).code());
    }

    @Test
    void shouldCloseWithoutAnswerWhenRequestIsSentBeforeHandshake() throws Exception {
        try (Socket client = new Socket("127.0.0.1", ((InetSocketAddress) server.localAddress()).getPort())) {
            byte[] dumpRequest = {0, 0, 0, 12, 1, 0, 94, 0, 0, 0, 0, 0, 0, 0, 1, (byte) 0x90};
            client.getOutputStream().write(dumpRequest);
            InputStream answer = client.getInputStream();

            assertEquals(-1, answer.read());
        }
    }

    @Test
    void shouldFailRequestWhenNoReplyArrivesBeforeDeadline() throws Exception {
        WireConnection connection = connect("cluster").get(5, TimeUnit.SECONDS);

        CompletableFuture<Message> reply = connection.request(new OperatorRequest.ReadStatus(), Duration.ofMillis(100));

        ExecutionException failure = assertThrows(ExecutionException.class, () -> reply.get(5, TimeUnit.SECONDS));
        assertEquals(ErrorCode.DEADLINE_EXCEEDED, ((WireException) failure.getCause()).code());
        assertTrue(connection.isOpen());
    }

    @Test
    void shouldStayOpenWhenOnlyHeartbeatsAreSent() throws Exception {
        WireConnection connection = connect("cluster").get(5, TimeUnit.SECONDS);

        Thread.sleep(3 * SETTINGS.silenceTimeout().toMillis());

        assertTrue(connection.isOpen());
    }

    @Test
    void shouldFailWhenServerAcceptsAndStaysSilent() throws Exception {
        try (ServerSocket silent = new ServerSocket(0)) {
            Credentials credentials = new Credentials(Role.ENTRY, "entry-1", 7, "cluster");
            CompletableFuture<WireConnection> opened = transport.connect(
                    "127.0.0.1:" + silent.getLocalPort(), credentials, (connection, correlation, message) -> {});

            ExecutionException failure = assertThrows(ExecutionException.class, () -> opened.get(5, TimeUnit.SECONDS));
            assertEquals(ErrorCode.HANDSHAKE_REFUSED, ((WireException) failure.getCause()).code());
        }
    }

    /** Guards against handshakes with a process that starts under load and that are given up and begun again for ever. */
    @Test
    void shouldWaitLongerForTheHandshakeThanForTheConnection() throws Exception {
        Duration handshakeTimeout = Duration.ofMillis(600);
        WireSettings patient = new WireSettings(
                Duration.ofMillis(50), Duration.ofMillis(300), Duration.ofMillis(100), handshakeTimeout);
        try (ServerSocket silent = new ServerSocket(0)) {
            long start = System.nanoTime();
            CompletableFuture<WireConnection> opened = WireTransport.of(eventLoops, patient)
                    .connect(
                            "127.0.0.1:" + silent.getLocalPort(),
                            new Credentials(Role.ENTRY, "entry-1", 7, "cluster"),
                            (connection, correlation, message) -> {});

            assertThrows(ExecutionException.class, () -> opened.get(5, TimeUnit.SECONDS));
            assertTrue(System.nanoTime() - start >= handshakeTimeout.toNanos());
        }
    }

    /**
     * A host that is unreachable or slow while its peer continues to send: unsent messages filled the memory of the
     * peer.
     */
    @Test
    void shouldNotBeWritableWhenThePeerDoesNotRead() throws Exception {
        NioEventLoopGroup blockedLoops = new NioEventLoopGroup(1);
        CountDownLatch done = new CountDownLatch(1);
        WireSettings longTimeouts = new WireSettings(
                Duration.ofSeconds(5), Duration.ofSeconds(20), Duration.ofSeconds(5), Duration.ofSeconds(5));
        Channel slowServer = WireTransport.of(blockedLoops, longTimeouts)
                .listen(
                        "127.0.0.1:0",
                        "slow",
                        new Secrets("cluster", Optional.empty()),
                        (connection, correlation, message) -> awaitQuietly(done));
        try {
            String slowAddress = "127.0.0.1:" + ((InetSocketAddress) slowServer.localAddress()).getPort();
            WireConnection connection = WireTransport.of(eventLoops, longTimeouts)
                    .connect(slowAddress, new Credentials(Role.CONTROL, "a", 1, "cluster"), (a, b, c) -> {})
                    .get(5, TimeUnit.SECONDS);
            assertTrue(connection.isWritable());
            for (int message = 0; message < 32; message++) {
                connection.send(new ControlTraffic.LogTraffic("a", 1, new byte[1_048_576]));
            }
            eventLoops.submit(() -> {}).sync();

            assertFalse(connection.isWritable());
            connection.close();
        } finally {
            done.countDown();
            slowServer.close();
            blockedLoops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
        }
    }

    private static void awaitQuietly(CountDownLatch done) {
        try {
            done.await();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
