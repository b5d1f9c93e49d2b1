package io.rosemarybeam.entry;

import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.rosemarybeam.common.id.AttemptId;
import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.FencingNumber;
import io.rosemarybeam.common.id.RequestId;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.decision.request.RequestCommand.StartAttempt;
import io.rosemarybeam.decision.request.RequestInput.AttemptFailure;
import io.rosemarybeam.decision.rollout.RolloutCommand.OrderKind;
import io.rosemarybeam.decision.rollout.RolloutCommand.SendOrder;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against requests that are sent after their dispatch deadline, and against idle connections that are reused
 * after an attempt at the same address timed out.
 */
class EndpointClientTest {
    private static final long DISPATCH_DEADLINE = 20_000;

    private final NioEventLoopGroup eventLoops = new NioEventLoopGroup(1);
    private final Recorder recorder = new Recorder();
    private final EntryMetrics metrics = new EntryMetrics();
    private int attempts;

    /** Records the outcome of the last attempt. */
    private static final class Recorder implements AttemptListener {
        private EndpointClient client;
        private CompletableFuture<Optional<AttemptFailure>> end = new CompletableFuture<>();

        @Override
        public void onSent(AttemptStream attempt) {}

        @Override
        public void onProgress(AttemptStream attempt, PendingRequest.Progress progress) {
            attempt.progressHandled();
        }

        @Override
        public void onCompleted(AttemptStream attempt, PendingRequest.Progress progress) {
            client.onAttemptEnded(attempt, null);
            end.complete(Optional.empty());
        }

        @Override
        public void onFailed(AttemptStream attempt, PendingRequest.Progress progress, AttemptFailure failure) {
            client.onAttemptEnded(attempt, failure);
            end.complete(Optional.of(failure));
        }
    }

    /** Discards the answer. */
    private static final class Ignoring implements PlainReceiver {
        @Override
        public void start(int status, HttpHeaders headers) {}

        @Override
        public void write(ByteBuf bytes) {
            bytes.release();
        }

        @Override
        public void finish() {}

        @Override
        public void respond(int status, HttpHeaders headers, byte[] body) {}

        @Override
        public void refuse(Problem problem) {}

        @Override
        public boolean isWritable() {
            return true;
        }
    }

    @AfterEach
    void stop() {
        eventLoops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    private void start(EndpointClient client, ScriptedEndpoint endpoint) {
        recorder.client = client;
        recorder.end = new CompletableFuture<>();
        PendingRequest.Target target = new PendingRequest.Target(
                RequestId.of("r"),
                ServiceName.of("s"),
                "GET",
                "/",
                new DefaultHttpHeaders(),
                true,
                Optional.empty(),
                0);
        PendingRequest pendingRequest =
                new PendingRequest(target, new ProxyAnswer(new Ignoring(), "GET", new byte[0], metrics));
        attempts++;
        client.start(
                new StartAttempt(
                        RequestId.of("r"),
                        AttemptId.of("a" + attempts),
                        EndpointId.of("e"),
                        endpoint.url(),
                        0,
                        0,
                        false,
                        10_000,
                        300,
                        60_000,
                        DISPATCH_DEADLINE),
                pendingRequest);
    }

    // The clock passes the deadline between the decision to send and the connection, as it does when the process is
    // paused.
    @Test
    void shouldNotSendWhenProcessResumesAfterDispatchDeadline() throws Exception {
        Thread decision = Thread.currentThread();
        MonotonicClock clock = () -> Thread.currentThread() == decision ? 1_000 : DISPATCH_DEADLINE + 1;
        try (ScriptedEndpoint endpoint = new ScriptedEndpoint(call -> call.respond(200, "ran"));
                EndpointClient client = new EndpointClient(eventLoops, clock, recorder)) {
            start(client, endpoint);
            assertEquals(Optional.of(AttemptFailure.CONNECT_FAILED), recorder.end.get(5, TimeUnit.SECONDS));
            assertEquals(0, endpoint.calls().size());
        }
    }

    @Test
    void shouldNotReuseIdleConnectionsWhenOneTimedOut() throws Exception {
        MonotonicClock clock = MonotonicClock.system();
        try (ScriptedEndpoint endpoint = new ScriptedEndpoint(EndpointClientTest::delayOnSecondCall);
                EndpointClient client = new EndpointClient(eventLoops, clock, recorder)) {
            start(client, endpoint);
            assertEquals(Optional.empty(), recorder.end.get(5, TimeUnit.SECONDS));
            start(client, endpoint);
            EntryHarness.await(() -> {
                client.checkTimeouts(clock.nowMilliseconds());
                return recorder.end.isDone();
            });
            assertEquals(Optional.of(AttemptFailure.SILENT), recorder.end.get());
            start(client, endpoint);
            assertEquals(Optional.empty(), recorder.end.get(5, TimeUnit.SECONDS));
            assertNotEquals(
                    endpoint.calls().get(1).connection(),
                    endpoint.calls().get(2).connection());
        }
    }

    /** A status that HTTP does not define would reach the caller, or the attempt would wait for an answer that was skipped. */
    @ParameterizedTest
    @ValueSource(strings = {"000", "001", "099", "600", "999", "0200", "-200", "abc"})
    void shouldFailAtOnceWhenTheStatusIsNoneOfHttp(String status) throws Exception {
        String answer = "HTTP/1.1 " + status + " x\r\nContent-Length: 4\r\n\r\nbody";
        try (ScriptedEndpoint endpoint = new ScriptedEndpoint(call -> call.write(answer));
                EndpointClient client = new EndpointClient(eventLoops, MonotonicClock.system(), recorder)) {
            start(client, endpoint);

            assertEquals(Optional.of(AttemptFailure.BROKEN), recorder.end.get(3, TimeUnit.SECONDS));
        }
    }

    private static void delayOnSecondCall(ScriptedEndpoint.Call call) throws IOException, InterruptedException {
        if ("a2".equals(call.attempt())) {
            Thread.sleep(3_000);
        }
        call.respond(200, "page", EndpointHeaders.ATTEMPT_ID, call.attempt());
    }

    /** A late copy of an answer without the id of its attempt would be taken for the answer to the next request. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void shouldReuseTheConnectionOnlyWhenTheAnswerNamesItsAttempt(boolean isIdentified) throws Exception {
        String[] echo = isIdentified ? new String[] {EndpointHeaders.ATTEMPT_ID, "a1"} : new String[0];
        try (ScriptedEndpoint endpoint = new ScriptedEndpoint(call -> call.respond(200, "page", echo));
                EndpointClient client = new EndpointClient(eventLoops, MonotonicClock.system(), recorder)) {
            start(client, endpoint);
            assertEquals(Optional.empty(), recorder.end.get(5, TimeUnit.SECONDS));
            start(client, endpoint);
            recorder.end.get(5, TimeUnit.SECONDS);

            boolean isReused = endpoint.calls().get(0).connection()
                    == endpoint.calls().get(1).connection();
            assertEquals(isIdentified, isReused);
        }
    }

    private static SendOrder order(ScriptedEndpoint endpoint, long fencingNumber) {
        return new SendOrder(
                fencingNumber,
                EndpointId.of("e"),
                endpoint.url(),
                OrderKind.LOAD_WEIGHTS,
                "7",
                FencingNumber.of(fencingNumber),
                Long.MAX_VALUE);
    }

    /** A late copy of the answer to an order would confirm the next one, which the endpoint has refused. */
    @Test
    void shouldNotTakeACopyForTheAnswerToAnOrderWhenAnEarlierOneWasAccepted() throws Exception {
        Map<Integer, Integer> callsByConnection = new ConcurrentHashMap<>();
        try (ScriptedEndpoint endpoint = new ScriptedEndpoint(call -> {
                    boolean isRepeated = callsByConnection.merge(call.connection(), 1, Integer::sum) > 1;
                    boolean isFirst = call.body().contains("\"fencingNumber\":1");
                    call.respond(isRepeated || isFirst ? 200 : 409, "");
                });
                EndpointClient client = new EndpointClient(eventLoops, MonotonicClock.system(), recorder)) {
            assertTrue(client.order(order(endpoint, 1)).get(5, TimeUnit.SECONDS));

            assertFalse(client.order(order(endpoint, 2)).get(5, TimeUnit.SECONDS));
        }
    }
}
