package io.rosemarybeam.edge;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import io.netty.channel.Channel;
import io.netty.channel.nio.NioEventLoopGroup;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.wire.Credentials;
import io.rosemarybeam.common.wire.HandshakeMessage.Role;
import io.rosemarybeam.common.wire.Message;
import io.rosemarybeam.common.wire.Secrets;
import io.rosemarybeam.common.wire.StoreMessage.EdgeStatus;
import io.rosemarybeam.common.wire.StoreMessage.EndpointNews;
import io.rosemarybeam.common.wire.StreamOrigin;
import io.rosemarybeam.common.wire.WireSettings;
import io.rosemarybeam.common.wire.WireTransport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

/** Guards against store hosts that spend their time on statuses which say nothing new, or on what all edges send at once. */
class StoreSessionsTest {
    private static final String SECRET = "test";
    private static final int TICKS = 5;
    private static final long TIMEOUT_SECONDS = 10;
    private static final long QUIET_MILLISECONDS = 100;

    private final NioEventLoopGroup loops = new NioEventLoopGroup(1);
    private final WireTransport transport = WireTransport.of(loops, WireSettings.ofMesh());
    private final BlockingQueue<Message> received = new LinkedBlockingQueue<>();
    private Channel store;
    private StoreSessions sessions;

    @BeforeEach
    void connect() throws Exception {
        store = transport.listen(
                "127.0.0.1:0",
                "store-1",
                new Secrets(SECRET, Optional.empty()),
                (connection, correlation, message) -> received.add(message));
        String address = "127.0.0.1:" + ((InetSocketAddress) store.localAddress()).getPort();
        sessions = new StoreSessions(
                loops.next(),
                transport,
                new Credentials(Role.ENTRY, "edge-1", 1, SECRET),
                List.of(address),
                () -> List.of(status(1)),
                () -> List.of(news(1), news(2), news(3)),
                message -> {});
        tick(status(1));
        assertEquals(status(1), received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS), "sent on connect");
    }

    @AfterEach
    void stop() {
        store.close();
        loops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    private void tick(EdgeStatus status) throws InterruptedException {
        loops.next().submit(() -> sessions.tick(status)).sync();
    }

    private static EdgeStatus status(long configuration) {
        return new EdgeStatus("edge-1", "127.0.0.1:1", "fes", false, configuration, "", List.of(), true);
    }

    private static EndpointNews news(int stream) {
        return EndpointNews.ofStream(new StreamOrigin("r-" + stream, ServiceName.of("desk"), "v1"));
    }

    /** Load pattern: all store hosts return at once, and each of 76 edges sends what it knows to each of them. */
    @Test
    void shouldSendOneMessageAtEachTickAfterConnecting() throws Exception {
        assertEquals(news(1), received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        assertNull(received.poll(QUIET_MILLISECONDS, TimeUnit.MILLISECONDS), "sent in a burst");
        tick(status(1));
        assertEquals(news(2), received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        tick(status(1));
        assertEquals(news(3), received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS));
    }

    @Test
    void shouldSendTheStatusOnceWhenItDoesNotChange() throws Exception {
        assertEquals(news(1), received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        tick(status(1));
        tick(status(1));
        assertEquals(news(2), received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        assertEquals(news(3), received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        for (int count = 0; count < TICKS; count++) {
            tick(status(1));
        }
        tick(status(2));
        assertEquals(status(2), received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS));
    }
}
