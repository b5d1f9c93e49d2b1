package io.rosemarybeam.entry;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;

import io.rosemarybeam.common.wire.EntryRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.params.provider.Arguments.arguments;

/**
 * Guards against non-idempotent requests that run twice, truncated answers that pass as complete, and buffers that grow
 * with a slow caller.
 */
class ProxyTest {
    /** More than the buffers of a connection take, so that the caller still writes when it is refused. */
    private static final int LONG_BODY_BYTES = 8 * 1_048_576;

    private static final String PATH = "/services/workshop-app";
    private static final int CHUNK_BYTES = 16_384;

    private EntryHarness harness;
    private EntryHarness.Entry entry;

    @BeforeEach
    void start() throws Exception {
        harness = new EntryHarness(1);
        entry = harness.startReadyEntry("entry-1", "amman-a");
    }

    @AfterEach
    void stop() {
        harness.close();
    }

    private ScriptedEndpoint endpoint(String id, ScriptedEndpoint.Script script) {
        ScriptedEndpoint endpoint = harness.startEndpoint(script);
        assertEquals(
                200, harness.announce(entry, id, "workshop-app", endpoint.url()).statusCode());
        return endpoint;
    }

    private static String run(HttpResponse<String> answer) throws IOException {
        return String.valueOf(EntryHarness.json(answer.body()).get("run"));
    }

    @Test
    void shouldForwardMethodPathHeadersAndBodyWhenCallIsProxied() {
        ScriptedEndpoint endpoint = endpoint(
                "a", call -> call.respond(201, "made " + call.body(), "X-Shop", "yes", "X-Attempt-Id", call.attempt()));
        HttpResponse<String> answer = harness.post(entry, PATH + "/a%20b/c?x=1&y=%2F", "sign", "X-Custom", "7");
        assertEquals(201, answer.statusCode());
        assertEquals("made sign", answer.body());
        assertEquals("yes", answer.headers().firstValue("x-shop").orElse(""));
        assertTrue(answer.headers().firstValue("x-attempt-id").isEmpty());
        ScriptedEndpoint.Call call = endpoint.calls().getFirst();
        assertEquals("/a%20b/c?x=1&y=%2F", call.uri());
        assertEquals("7", call.headers().get("x-custom"));
        assertTrue(Long.parseLong(call.headers().get("x-deadline-milliseconds")) <= 30_000);
    }

    // The endpoint closes the connection after it received the request, so the request may have run and a retry could
    // run it twice.
    @Test
    void shouldNotRetryWhenNonIdempotentRequestMayHaveRun() throws Exception {
        ScriptedEndpoint.Script inTurn =
                ScriptedEndpoint.firstThenLater(call -> call.socket().close(), call -> call.respond(200, "again"));
        ScriptedEndpoint first = endpoint("a", inTurn);
        ScriptedEndpoint second = endpoint("b", inTurn);
        HttpResponse<String> answer = harness.post(entry, PATH + "/bookings", "{}");
        assertEquals("unknown", run(answer), answer.body());
        assertEquals(1, first.calls().size() + second.calls().size());
    }

    // X-Run: not-run proves that nothing was run, so a retry under the claim is safe.
    @Test
    void shouldRetryElsewhereWhenEndpointRefusedClaimedRequestBeforeRunning() {
        ScriptedEndpoint.Script inTurn = ScriptedEndpoint.firstThenLater(
                call -> call.respond(503, "", "X-Run", "not-run"), call -> call.respond(200, "ran"));
        endpoint("a", inTurn);
        endpoint("b", inTurn);
        HttpResponse<String> answer = harness.post(entry, PATH + "/bookings", "{}", "Idempotency-Key", "k4");
        assertEquals("ran", answer.body());
    }

    // Without an idempotency key the caller decides whether to retry, and needs to know that nothing was run.
    @Test
    void shouldDispatchOnceAndReportNotRunWhenEndpointRefusedRequestWithoutKey() throws Exception {
        ScriptedEndpoint first = endpoint("a", call -> call.respond(503, "", "X-Run", "not-run"));
        ScriptedEndpoint second = endpoint("b", call -> call.respond(503, "", "X-Run", "not-run"));
        HttpResponse<String> answer = harness.post(entry, PATH + "/bookings", "{}");
        assertEquals("not-run", run(answer), answer.body());
        assertEquals(1, first.calls().size() + second.calls().size());
    }

    @Test
    void shouldRetryTransparentlyWhenBufferedIdempotentAnswerBreaks() {
        ScriptedEndpoint.Script inTurn = ScriptedEndpoint.firstThenLater(
                call -> {
                    call.write("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
                    call.socket().close();
                },
                call -> call.respond(200, "whole"));
        endpoint("a", inTurn);
        endpoint("b", inTurn);
        assertEquals("whole", harness.get(entry, PATH + "/page").body());
    }

    // Without a length or chunks, a truncated answer looks the same as a complete one.
    @Test
    void shouldNotTreatAnswerAsCompleteWhenItEndsOnlyWithItsConnection() {
        ScriptedEndpoint.Script inTurn = ScriptedEndpoint.firstThenLater(
                call -> {
                    call.write("HTTP/1.1 200 OK\r\n\r\nmaybe half");
                    call.socket().close();
                },
                call -> call.respond(200, "whole"));
        endpoint("a", inTurn);
        endpoint("b", inTurn);
        assertEquals("whole", harness.get(entry, PATH + "/page").body());
    }

    @Test
    void shouldDropAnswerWhenItBelongsToAnotherAttempt() {
        ScriptedEndpoint.Script inTurn = ScriptedEndpoint.firstThenLater(
                call -> call.respond(200, "not yours", "X-Attempt-Id", "other"),
                call -> call.respond(200, "yours", "X-Attempt-Id", call.attempt()));
        endpoint("a", inTurn);
        endpoint("b", inTurn);
        assertEquals("yours", harness.get(entry, PATH + "/page").body());
    }

    @Test
    void shouldReplayRecordedOutcomeWhenKeyIsResent() throws Exception {
        ScriptedEndpoint endpoint = endpoint("a", call -> call.respond(201, "booked", "X-Shop", "yes"));
        harness.post(entry, PATH + "/bookings", "{}", "Idempotency-Key", "k1");
        EntryHarness.await(() -> {
            synchronized (harness.state) {
                return harness.state.outcomes.containsKey("k1");
            }
        });
        HttpResponse<String> again = harness.post(entry, PATH + "/bookings", "{}", "Idempotency-Key", "k1");
        assertEquals(201, again.statusCode());
        assertEquals("booked", again.body());
        assertEquals("yes", again.headers().firstValue("x-shop").orElse(""));
        assertEquals(1, endpoint.calls().size());
    }

    // If the outcome were lost with the connection, the resend of the caller would be refused or would run the request
    // again.
    @Test
    void shouldRecordOutcomeOfClaimedRequestWhenCallerDisconnects() throws Exception {
        CountDownLatch callerDisconnected = new CountDownLatch(1);
        ScriptedEndpoint endpoint = endpoint("a", call -> {
            callerDisconnected.await();
            call.respond(201, "booked");
        });
        String[] address = entry.address().split(":");
        try (Socket caller = new Socket(address[0], Integer.parseInt(address[1]))) {
            caller.getOutputStream()
                    .write(("POST " + PATH + "/bookings HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k3\r\n"
                                    + "Content-Length: 2\r\n\r\n{}")
                            .getBytes(StandardCharsets.US_ASCII));
            EntryHarness.await(() -> !endpoint.calls().isEmpty());
        }
        Thread.sleep(200);
        callerDisconnected.countDown();
        EntryHarness.await(() -> {
            synchronized (harness.state) {
                return harness.state.outcomes.containsKey("k3");
            }
        });
        assertTrue(harness.state.outcomes.get("k3").outcome().isPresent());
        assertEquals(
                "booked",
                harness.post(entry, PATH + "/bookings", "{}", "Idempotency-Key", "k3")
                        .body());
        assertEquals(1, endpoint.calls().size());
    }

    // The claim may have been granted although its answer was lost. If it is not released, it blocks every resend of a
    // request that never ran.
    @Test
    void shouldReleaseClaimWhenItsAnswerIsLost() throws Exception {
        ScriptedEndpoint endpoint = endpoint("a", call -> call.respond(201, "booked"));
        harness.controls.getFirst().setSilent(true);
        HttpResponse<String> refused = harness.post(entry, PATH + "/bookings", "{}", "Idempotency-Key", "k2");
        assertEquals("not-run", run(refused), refused.body());
        harness.controls.getFirst().setSilent(false);
        EntryHarness.await(() -> {
            synchronized (harness.state) {
                return harness.state.outcomes.containsKey("k2");
            }
        });
        EntryRequest.RecordOutcome release = harness.state.outcomes.remove("k2");
        assertTrue(release.outcome().isEmpty());
        EntryRequest.ClaimRequest claim = harness.controls.getFirst().received.stream()
                .filter(EntryRequest.ClaimRequest.class::isInstance)
                .map(EntryRequest.ClaimRequest.class::cast)
                .findFirst()
                .orElseThrow();
        assertEquals(claim.attempt(), release.attempt());
        assertEquals(0, endpoint.calls().size());
        assertEquals(
                201,
                harness.post(entry, PATH + "/bookings", "{}", "Idempotency-Key", "k2")
                        .statusCode());
    }

    // An endpoint may close an idle connection while a request is being sent, and then it is unknown whether the
    // request ran.
    @Test
    void shouldUseNewConnectionWhenCallMustNotRunTwice() {
        ScriptedEndpoint endpoint = endpoint("a", call -> call.respond(200, "x"));
        for (int number = 0; number < 3; number++) {
            harness.post(entry, PATH + "/bookings", "{}");
        }
        assertEquals(
                3,
                endpoint.calls().stream()
                        .map(ScriptedEndpoint.Call::connection)
                        .distinct()
                        .count());
    }

    @Test
    void shouldRefuseWhenBodyExceedsLimit() throws Exception {
        ScriptedEndpoint endpoint = endpoint("a", call -> call.respond(200, "x"));
        HttpResponse<String> declared = harness.post(entry, PATH + "/bookings", "x".repeat(70_000));
        assertEquals(413, declared.statusCode());
        assertEquals("not-run", run(declared));
        HttpRequest chunked = HttpRequest.newBuilder(java.net.URI.create("http://" + entry.address() + PATH + "/b"))
                .POST(HttpRequest.BodyPublishers.ofInputStream(
                        () -> new java.io.ByteArrayInputStream(new byte[70_000])))
                .build();
        assertEquals(413, harness.send(chunked).statusCode());
        assertEquals(0, endpoint.calls().size());
    }

    /** The connection was reset while the caller still wrote, which discarded the answer. */
    @Test
    void shouldDeliverTheRefusalWhenTheCallerStillWrites() {
        endpoint("a", call -> call.respond(200, "x"));
        for (int attempt = 0; attempt < 10; attempt++) {
            assertEquals(
                    413,
                    harness.post(entry, PATH + "/bookings", "x".repeat(LONG_BODY_BYTES))
                            .statusCode());
        }
    }

    // The endpoint could resolve the path to a call that is not idempotent.
    @Test
    void shouldRefuseWhenPathHasDotSegment() {
        endpoint("a", call -> call.respond(200, "x"));
        assertEquals(400, harness.get(entry, PATH + "/a/%2e%2e/bookings").statusCode());
    }

    @Test
    void shouldStopReadingFromEndpointWhenCallerIsSlow() throws Exception {
        AtomicLong written = new AtomicLong();
        long total = 64L * 1024 * 1024;
        endpoint("a", call -> {
            call.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            String chunk = Integer.toHexString(CHUNK_BYTES) + "\r\n" + "x".repeat(CHUNK_BYTES) + "\r\n";
            while (written.get() < total) {
                call.write(chunk);
                written.addAndGet(CHUNK_BYTES);
            }
            call.write("0\r\n\r\n");
        });
        String[] address = entry.address().split(":");
        try (Socket caller = new Socket()) {
            caller.setReceiveBufferSize(CHUNK_BYTES);
            caller.connect(new java.net.InetSocketAddress(address[0], Integer.parseInt(address[1])));
            caller.getOutputStream()
                    .write(("GET " + PATH + "/large HTTP/1.1\r\nHost: x\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
            EntryHarness.await(() -> written.get() > 0);
            Thread.sleep(1_500);
            assertTrue(written.get() < total / 4, written + " bytes were read for a caller that reads nothing");
            InputStream input = caller.getInputStream();
            byte[] buffer = new byte[65_536];
            long read = 0;
            while (read < total) {
                int count = input.read(buffer);
                assertTrue(count > 0, "the answer was cut after " + read + " bytes");
                read += count;
            }
        }
        assertEquals(total, written.get());
    }

    @Test
    void shouldCancelAttemptWhenCallerDisconnects() throws Exception {
        AtomicLong closedAt = new AtomicLong();
        endpoint("a", call -> {
            call.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            try {
                while (true) {
                    call.write("1\r\nx\r\n");
                    Thread.sleep(20);
                }
            } finally {
                closedAt.set(System.nanoTime());
            }
        });
        String[] address = entry.address().split(":");
        try (Socket caller = new Socket(address[0], Integer.parseInt(address[1]))) {
            caller.getOutputStream()
                    .write(("GET " + PATH + "/x HTTP/1.1\r\nHost: x\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
            assertTrue(caller.getInputStream().read() > 0);
        }
        EntryHarness.await(() -> closedAt.get() > 0);
    }

    private static Stream<Arguments> brokenAnswers() {
        String ok = "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\n";
        String chunked = ok + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n";
        return Stream.of(
                arguments("nothing", "", "200 whole complete"),
                arguments("half a status line", "HTTP/1.1 2", "200 whole complete"),
                arguments("status line", "HTTP/1.1 200 OK\r\n", "200 whole complete"),
                arguments("half a header", ok + "Content-Le", "200 whole complete"),
                arguments("headers", ok + "Content-Length: 0\r\n", "200 whole complete"),
                arguments("no body", ok + "Content-Length: 9\r\n\r\n", "200 whole complete"),
                arguments("half a body", ok + "Content-Length: 9\r\n\r\nhalf", "200 whole complete"),
                arguments("no length", ok + "\r\nhalf", "200 whole complete"),
                arguments("unknown encoding", ok + "Transfer-Encoding: identity\r\n\r\nhalf", "200 whole complete"),
                arguments(
                        "conflicting lengths",
                        ok + "Content-Length: 4\r\nContent-Length: 2\r\n\r\nhalf",
                        "200 whole complete"),
                arguments("no HTTP", "half\r\n\r\n", "200 whole complete"),
                arguments("informational", "HTTP/1.1 103 Early Hints\r\n\r\n", "200 whole complete"),
                arguments("continue", "HTTP/1.1 100 Continue\r\n\r\n", "200 whole complete"),
                // The client library takes 103 for the final answer, so the attempt fails and is repeated.
                arguments(
                        "informational before",
                        "HTTP/1.1 103 Early Hints\r\n\r\n" + ok + "Content-Length: 4\r\n\r\nfull",
                        "200 whole complete"),
                arguments(
                        "continue before",
                        "HTTP/1.1 100 Continue\r\n\r\n" + ok + "Content-Length: 4\r\n\r\nfull",
                        "200 full complete"),
                arguments("no last chunk", chunked, "200 broken"),
                arguments("half a last chunk", chunked + "0\r\n", "200 broken"),
                arguments("broken chunk size", chunked + "zz\r\n", "200 broken"),
                arguments("answer instead of a chunk", chunked + ok + "\r\n", "200 broken"));
    }

    /** A caller would get a part of an answer, or its head, framed as a complete one. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("brokenAnswers")
    void shouldPassOnOnlyWholeAnswersWhenAnEndpointBreaksOff(String name, String first, String expected) {
        ScriptedEndpoint.Script inTurn = ScriptedEndpoint.firstThenLater(
                call -> {
                    call.write(first.replace("{id}", call.attempt()));
                    call.socket().close();
                },
                call -> call.respond(200, "whole"));
        endpoint("a", inTurn);
        endpoint("b", inTurn);
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + entry.address() + PATH + "/page"))
                .timeout(Duration.ofSeconds(10))
                .build();

        assertEquals(expected, exchange(request));
    }

    private String exchange(HttpRequest request) {
        try {
            HttpResponse<InputStream> answer = harness.http.send(request, HttpResponse.BodyHandlers.ofInputStream());
            try (InputStream body = answer.body()) {
                return answer.statusCode() + " " + new String(body.readAllBytes(), StandardCharsets.UTF_8)
                        + " complete";
            } catch (IOException brokenOff) {
                return answer.statusCode() + " broken";
            }
        } catch (IOException failure) {
            return failure.toString();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(interrupted);
        }
    }

    /** Answers with 200, and with 404 on the same connection; the start of an extra answer follows the first one. */
    private static ScriptedEndpoint.Script extraAnswer(long delayMilliseconds, CountDownLatch sent) {
        String extra = "HTTP/1.1 200 OK\r\nX: ";
        return call -> {
            if (call.uri().endsWith("/second")) {
                call.respond(404, "missing");
            } else if (delayMilliseconds == 0) {
                call.write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst" + extra);
                sent.countDown();
            } else {
                call.respond(200, "first");
                Thread.sleep(delayMilliseconds);
                call.write(extra);
                sent.countDown();
            }
        };
    }

    private void checkNotMixed(long delayMilliseconds) throws Exception {
        CountDownLatch sent = new CountDownLatch(1);
        endpoint("a", extraAnswer(delayMilliseconds, sent));

        assertEquals(200, harness.get(entry, PATH + "/first").statusCode());
        assertTrue(sent.await(5, TimeUnit.SECONDS));
        Thread.sleep(100);
        assertEquals(404, harness.get(entry, PATH + "/second").statusCode());
    }

    /** The start of an extra answer on an idle connection would become a part of the head of the next answer. */
    @Test
    void shouldNotMixTheNextAnswerWithBytesThatArriveOnAnIdleConnection() throws Exception {
        checkNotMixed(100);
    }

    /** The start of an extra answer stays in the decoder if it arrives together with the end of an answer. */
    @Test
    void shouldNotMixTheNextAnswerWithBytesThatArriveWithTheAnswer() throws Exception {
        checkNotMixed(0);
    }
}
