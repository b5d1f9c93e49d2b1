package io.rosemarybeam.forward;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.rosemarybeam.common.collection.ByteBudget;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.decision.routing.Route;
import io.rosemarybeam.decision.routing.RouteKind;
import io.rosemarybeam.forward.ForwardRequest.HandedOn;
import io.rosemarybeam.platform.EndpointAnswer;
import io.rosemarybeam.platform.EndpointClient;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.params.provider.Arguments.arguments;

/** Guards against answers of other hosts that pass for answers of endpoints, and requests that run twice because of them. */
class HandedOnAttemptTest {
    private static final ByteBudget BUDGET = new ByteBudget(Long.MAX_VALUE);

    private final List<String> outcomes = new ArrayList<>();

    private static EndpointAnswer answer(int status, boolean hasDigest) {
        HttpHeaders headers = new DefaultHttpHeaders();
        if (hasDigest) {
            headers.set("Rosemarybeam-Server-Stamp", "d");
        }
        return new EndpointAnswer(status, headers);
    }

    private static Stream<Arguments> answers() {
        return Stream.of(
                arguments(true, 200, true, "started 200, ended"),
                arguments(true, 500, true, "answer 500"),
                arguments(false, 200, true, "answer 200"),
                arguments(false, 404, true, "answer 404"),
                arguments(false, 503, false, "not run"),
                arguments(false, 404, false, "not run"),
                arguments(false, 408, false, "not run"),
                arguments(false, 421, false, "not run"),
                arguments(false, 502, false, "failed"),
                arguments(false, 504, false, "failed"),
                arguments(true, 200, false, "failed"),
                arguments(false, 200, false, "failed"),
                arguments(false, 204, false, "failed"),
                arguments(false, 302, false, "failed"));
    }

    /** A request would run again elsewhere after an answer that does not state that it has not run. */
    @ParameterizedTest
    @MethodSource("answers")
    void shouldReportNotRunOnlyAfterARefusal(boolean streams, int status, boolean hasDigest, String expected) {
        HandedOnAttempt attempt = new HandedOnAttempt(streams, BUDGET, new RecordingReceiver());
        attempt.onHead(answer(status, hasDigest));
        attempt.onEnd();

        assertEquals(expected, String.join(", ", outcomes));
    }

    private static Stream<Arguments> longAnswers() {
        return Stream.of(
                arguments(200, true, "started 200, part, part, ended"),
                arguments(500, true, "failed"),
                arguments(502, false, "failed"),
                arguments(200, false, "failed"));
    }

    /** The caller would get the error of another host, or bytes of no endpoint, as the answer to its request. */
    @ParameterizedTest
    @MethodSource("longAnswers")
    void shouldStartALongAnswerOnlyIfItIsASuccessOfAnEndpoint(int status, boolean hasDigest, String expected) {
        HandedOnAttempt attempt = new HandedOnAttempt(false, BUDGET, new RecordingReceiver());
        attempt.onHead(answer(status, hasDigest));
        attempt.onContent(new byte[1_048_577]);
        if (status == 200 && hasDigest) {
            attempt.onContent(new byte[1]);
            attempt.onEnd();
        }

        assertEquals(expected, String.join(", ", outcomes));
    }

    private static ForwardRequest request(long milliseconds) {
        Route route = Route.builder()
                .matching("r", "a.example", "/")
                .kind(RouteKind.IDEMPOTENT)
                .requestTimes(Duration.ofSeconds(2), Duration.ofMillis(300))
                .split(List.of(new Route.Share(ServiceName.of("desk"), 1)))
                .maximumAttempts(2)
                .build();
        HttpHeaders headers = new DefaultHttpHeaders().set(HttpHeaderNames.HOST, "a.example");
        return new ForwardRequest(
                "r1",
                route,
                ServiceName.of("desk"),
                "POST",
                "/x",
                headers,
                new byte[] {1},
                Forwarder.now() + milliseconds,
                1,
                false,
                Optional.empty());
    }

    /** Guards against a request that is handed on after its deadline, because this host stalled while the connection opened. */
    @Test
    void shouldNotHandTheRequestOnWhenItsDeadlineHasPassedBeforeTheConnectionIsOpen() throws Exception {
        NioEventLoopGroup loops = new NioEventLoopGroup(1);
        EventLoop loop = loops.next();
        try (ServerSocket peer = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            HandedOnAttempt attempt = new HandedOnAttempt(false, BUDGET, new RecordingReceiver());
            loop.submit(() -> {
                        String address = "127.0.0.1:" + peer.getLocalPort();
                        attempt.send(EndpointClient.of(loop), address, request(100), new HandedOn("edge-1", 0));
                        Thread.sleep(400);
                        return true;
                    })
                    .sync();

            try (Socket accepted = peer.accept()) {
                accepted.setSoTimeout(1_000);
                assertThrows(
                        SocketTimeoutException.class,
                        () -> accepted.getInputStream().read());
            }
            assertEquals(
                    List.of("not run"), loop.submit(() -> List.copyOf(outcomes)).get());
        } finally {
            loops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
        }
    }

    /** Records the outcome as text. */
    private final class RecordingReceiver implements HandedOnAttempt.Receiver {
        @Override
        public void onAnswer(EndpointAnswer head, byte[] body) {
            outcomes.add("answer " + head.status());
        }

        @Override
        public void onAnswerStarted(EndpointAnswer head) {
            outcomes.add("started " + head.status());
        }

        @Override
        public void onPart(byte[] bytes) {
            outcomes.add("part");
        }

        @Override
        public void onAnswerEnded() {
            outcomes.add("ended");
        }

        @Override
        public void onNotRun(String reason) {
            outcomes.add("not run");
        }

        @Override
        public void onFailed(String reason) {
            outcomes.add("failed");
        }
    }
}
