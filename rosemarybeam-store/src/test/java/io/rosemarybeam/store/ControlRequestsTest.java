package io.rosemarybeam.store;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.nio.NioEventLoopGroup;
import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.wire.EndpointAnnouncement;
import io.rosemarybeam.common.wire.StoreMessage;
import io.rosemarybeam.common.wire.StoreMessage.Outcome;
import io.rosemarybeam.common.wire.StoreMessage.StoreReply;
import io.rosemarybeam.decision.routing.CallerLimits;
import io.rosemarybeam.forward.CallerServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against a stopping host that takes calls which it does not answer, or that drops those in progress. */
class ControlRequestsTest {
    private static final String HOST = StoreCluster.host(1);
    private static final String VERSION = "/api/version-put";
    private static final int TIMEOUT_SECONDS = 15;

    private final NioEventLoopGroup loops = new NioEventLoopGroup(1);
    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final CompletableFuture<Consumer<StoreReply>> asked = new CompletableFuture<>();
    private final ControlRequests requests = new ControlRequests(new Context());
    private CallerServer server;
    private int port;

    @BeforeEach
    void open() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            port = socket.getLocalPort();
        }
        server = CallerServer.open(loops, HOST + ":" + port, CallerLimits::defaults, requests::serve);
    }

    @AfterEach
    void close() {
        loops.next().submit(server::close).syncUninterruptibly();
        loops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    private CompletableFuture<Integer> post(String path, String body) {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + HOST + ":" + port + path))
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        return http.sendAsync(request, HttpResponse.BodyHandlers.discarding()).thenApply(HttpResponse::statusCode);
    }

    @Test
    void shouldRefuseCallsAndAnswerThoseInProgressWhenItIsClosed() throws Exception {
        CompletableFuture<Integer> open = post(VERSION, "{\"Model\":\"m\",\"Version\":1}");
        Consumer<StoreReply> reply = asked.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertEquals(400, post("/api/replicas/e-1/heartbeat", "").get(TIMEOUT_SECONDS, TimeUnit.SECONDS));

        loops.next().submit(requests::close).syncUninterruptibly();

        assertEquals(503, post("/api/replicas/e-1/heartbeat", "").get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        assertEquals(503, post(VERSION, "{\"Model\":\"m\",\"Version\":2}").get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        loops.next().submit(() -> reply.accept(StoreReply.of(Outcome.DONE))).syncUninterruptibly();
        assertEquals(200, open.get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
    }

    /** A process whose leader does not answer, and which knows no endpoint. */
    private final class Context implements ControlRequests.Context {
        @Override
        public void askLeader(StoreMessage request, Consumer<StoreReply> reply) {
            asked.complete(reply);
        }

        @Override
        public boolean isAcceptable(EndpointAnnouncement announcement) {
            return true;
        }

        @Override
        public void receive(EndpointAnnouncement announcement) {
            throw new IllegalStateException("no heartbeat is valid here");
        }

        @Override
        public Optional<EndpointAnnouncement> find(EndpointId id) {
            return Optional.empty();
        }
    }
}
