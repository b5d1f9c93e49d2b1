package io.rosemarybeam.forward;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.FailureDomain;
import io.rosemarybeam.common.id.Fingerprint;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.metric.Metrics;
import io.rosemarybeam.common.wire.EndpointAnnouncement;
import io.rosemarybeam.common.wire.EndpointAnnouncement.State;
import io.rosemarybeam.common.wire.EndpointCrash;
import io.rosemarybeam.decision.routing.EndpointDirectory;
import io.rosemarybeam.decision.routing.EndpointLoads;
import io.rosemarybeam.decision.routing.PermitDecision;
import io.rosemarybeam.decision.routing.Route;
import io.rosemarybeam.decision.routing.RouteKind;
import io.rosemarybeam.platform.EndpointClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against non-idempotent requests that run twice, refusals of requests that may have run, answers that belong to
 * other requests, endpoints that continue to work for callers that have disconnected, crashing requests that run again, and
 * sound requests that pass for crashing ones.
 */
class ForwarderTest {
    private static final ServiceName SERVICE = ServiceName.of("desk");
    private static final FailureDomain OWN_DOMAIN = FailureDomain.of("fes");
    private static final String OK = "HTTP/1.1 200 OK\r\nRosemarybeam-Request-Id: r1\r\n"
            + "Rosemarybeam-Server-Stamp: d\r\nContent-Length: 4\r\n\r\nbody";
    private static final String OTHER_REQUEST_OK = "HTTP/1.1 200 OK\r\nRosemarybeam-Request-Id: other\r\n"
            + "Rosemarybeam-Server-Stamp: d\r\nContent-Length: 5\r\n\r\nwrong";
    private static final String FULL =
            "HTTP/1.1 503 Service Unavailable\r\nRosemarybeam-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

    /** The endpoint closes the connection without an answer. */
    private static final String CLOSE = "";

    /** The process of the endpoint ends without an answer, so that its port is closed too. */
    private static final String CRASH = "crash";

    /** An endpoint that sends this and then goes on with the same bytes until the connection closes. */
    private static final String ENDLESS = "endless ";

    /** Marks the start of the bytes that an endless answer repeats, if they are not all of it. */
    private static final String REPEATED = "\0";

    private static final String FAILURE_HEAD = "HTTP/1.1 500 Internal Server Error\r\n\r\n";
    private static final String CHUNKED_FAILURE_HEAD =
            "HTTP/1.1 500 Internal Server Error\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String SUCCESS_HEAD = "HTTP/1.1 200 OK\r\nRosemarybeam-Server-Stamp: d\r\n\r\n";

    /** Bytes that may be on their way or in buffers of the system when the connection is closed. */
    private static final long MAXIMUM_ENDLESS_BYTES = 32 * 1_048_576;

    /** The endpoint keeps the connection open and never answers. */
    private static final String SILENT = "silent";

    private final NioEventLoopGroup loops = new NioEventLoopGroup(1);
    private final EventLoop loop = loops.next();
    private final EndpointDirectory directory = new EndpointDirectory();
    private final EndpointLoads loads = new EndpointLoads();
    private final List<ScriptedEndpoint> endpoints = new ArrayList<>();
    private final BlockingQueue<String> outcomes = new LinkedBlockingQueue<>();
    private volatile boolean callerReads = true;
    private final BlockingQueue<List<EndpointCrash>> published = new LinkedBlockingQueue<>();
    private final CrashRegistry crashes = new CrashRegistry(published::add);
    private final RateLimits limits =
            new RateLimits(changes -> {}, (request, onDecision) -> onDecision.accept(new PermitDecision.Denied(0, 0)));
    private final Forwarder forwarder = new Forwarder(
            loop,
            EndpointClient.of(loop),
            directory,
            loads,
            OWN_DOMAIN,
            ForwardMetrics.of(Metrics.ofProcess()),
            crashes,
            limits,
            LeavingEndpoints.local(directory),
            StreamOrigins.local(directory, () -> true),
            HandOver.none(loop, EndpointClient.of(loop), directory));

    @AfterEach
    void close() throws IOException {
        for (ScriptedEndpoint endpoint : endpoints) {
            endpoint.close();
        }
        loops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    private ScriptedEndpoint endpoint(String id, String answer) throws IOException {
        ScriptedEndpoint endpoint = new ScriptedEndpoint(answer);
        endpoints.add(endpoint);
        EndpointAnnouncement announcement = new EndpointAnnouncement(
                EndpointId.of(id), 1, 1, SERVICE, endpoint.address(), OWN_DOMAIN, 6, State.READY, List.of(), "v1");
        loop.submit(() -> directory.merge(announcement, 0)).syncUninterruptibly();
        return endpoint;
    }

    private ForwardCall forward(RouteKind kind, long milliseconds) throws InterruptedException {
        return forward(request(kind, milliseconds, false));
    }

    private ForwardCall forward(ForwardRequest request) throws InterruptedException {
        return loop.submit(() -> forwarder.forward(request, new RecordingSink()))
                .sync()
                .getNow();
    }

    private static ForwardRequest request(RouteKind kind, long milliseconds, boolean mustRun) {
        Route route = Route.builder()
                .matching("r", "a", "/")
                .kind(kind)
                .requestTimes(Duration.ofSeconds(2), Duration.ofMillis(300))
                .split(List.of(new Route.Share(SERVICE, 1)))
                .maximumAttempts(2)
                .build();
        HttpHeaders headers =
                new DefaultHttpHeaders().set("Rosemarybeam-Request-Id", "r1").set("Host", "a");
        return new ForwardRequest(
                "r1",
                route,
                SERVICE,
                "POST",
                "/x",
                headers,
                new byte[] {1},
                Forwarder.now() + milliseconds,
                1,
                mustRun,
                Optional.empty());
    }

    /** Guards against requests that are counted twice, or although no endpoint has run them. */
    @Test
    void shouldTellOnceThatARequestHasRun() throws Exception {
        List<Long> ran = new CopyOnWriteArrayList<>();
        loop.submit(() -> forwarder.setRunListener((request, sentAt) -> ran.add(sentAt)))
                .sync();
        endpoint("a", FULL);
        forward(RouteKind.NON_IDEMPOTENT, 2_000);
        assertEquals("refused", outcome());
        assertEquals(0, ran.size());

        long before = Forwarder.now();
        endpoint("b", CLOSE);
        endpoint("c", CLOSE);
        forward(RouteKind.IDEMPOTENT, 2_000);
        assertEquals("failed 502", outcome());
        assertEquals(1, ran.size());
        assertTrue(ran.getFirst() >= before && ran.getFirst() <= Forwarder.now(), "sent at " + ran);
    }

    /** Guards against a request that runs at a silent endpoint until its time is over and is not counted. */
    @Test
    void shouldTellThatARequestHasRunWhenItsEndpointDoesNotAnswer() throws Exception {
        List<Long> ran = new CopyOnWriteArrayList<>();
        loop.submit(() -> forwarder.setRunListener((request, sentAt) -> ran.add(sentAt)))
                .sync();
        endpoint("a", SILENT);
        forward(RouteKind.NON_IDEMPOTENT, 300);

        assertEquals("failed 504", outcome());
        assertEquals(1, ran.size());
    }

    /** Guards against a request that is written after its deadline, because this host was stalled while its connection opened. */
    @Test
    void shouldNotSendTheRequestWhenItsDeadlineHasPassedBeforeTheConnectionIsOpen() throws Exception {
        ScriptedEndpoint endpoint = endpoint("a", OK);
        ForwardRequest request = request(RouteKind.IDEMPOTENT, 100, false);

        loop.submit(() -> {
                    forwarder.forward(request, new RecordingSink());
                    Thread.sleep(400);
                    return true;
                })
                .sync();

        assertEquals("refused", outcome());
        assertTrue(endpoint.requests.isEmpty());
    }

    /** Guards against an endpoint that is avoided, and a request that is repeated, although only this host may not send it. */
    @Test
    void shouldRefuseAsNotRunAndBlameNoEndpointWhenTheConditionWithholdsTheRequest() throws Exception {
        ScriptedEndpoint first = endpoint("a", OK);
        ScriptedEndpoint second = endpoint("b", OK);
        ForwardRequest allowed = request(RouteKind.IDEMPOTENT, 2_000, true);
        ForwardRequest withheld = new ForwardRequest(
                allowed.id(),
                allowed.route(),
                allowed.service(),
                allowed.method(),
                allowed.uri(),
                allowed.headers(),
                allowed.body(),
                allowed.deadline(),
                allowed.configurationVersion(),
                allowed.mustRun(),
                () -> Optional.of("over"),
                allowed.handedOn());

        forward(withheld);

        assertEquals("refused", outcome());
        assertTrue(first.requests.isEmpty() && second.requests.isEmpty());
        forward(allowed);
        assertTrue(outcome().startsWith("200"));
    }

    private String outcome() throws InterruptedException {
        String outcome = outcomes.poll(5, TimeUnit.SECONDS);
        assertNotNull(outcome, "no outcome");
        return outcome;
    }

    @Test
    void shouldRepeatIdempotentRequestWhenConnectionBreaks() throws Exception {
        endpoint("a", CLOSE);
        endpoint("b", OK);

        forward(RouteKind.IDEMPOTENT, 2_000);

        assertEquals("200 body", outcome());
    }

    /** A status that HTTP does not define would be passed on as the answer of the endpoint. */
    @ParameterizedTest
    @ValueSource(strings = {"000", "099", "600", "0200"})
    void shouldRepeatIdempotentRequestWhenTheStatusIsNoneOfHttp(String status) throws Exception {
        endpoint("a", OK.replace("200", status));
        endpoint("b", OK);
        long started = Forwarder.now();

        forward(RouteKind.IDEMPOTENT, 2_000);

        assertEquals("200 body", outcome());
        assertTrue(Forwarder.now() - started < 1_000, "the attempt fails at once, not at the deadline");
    }

    /** The request may have run, so it must be neither repeated nor refused as not run. */
    @ParameterizedTest
    @ValueSource(strings = {"000", "600"})
    void shouldFailNonIdempotentRequestWhenTheStatusIsNoneOfHttp(String status) throws Exception {
        endpoint("a", OK.replace("200", status));
        ScriptedEndpoint other = endpoint("b", OK);

        forward(RouteKind.NON_IDEMPOTENT, 2_000);

        assertEquals("failed 502", outcome());
        assertEquals(0, other.requests.size());
    }

    @Test
    void shouldNeitherRepeatNorRefuseNonIdempotentRequestWhenConnectionBreaks() throws Exception {
        endpoint("a", CLOSE);
        ScriptedEndpoint other = endpoint("b", OK);

        forward(RouteKind.NON_IDEMPOTENT, 2_000);

        assertEquals("failed 502", outcome());
        assertEquals(0, other.requests.size());
    }

    private static String failure(int status) {
        return "HTTP/1.1 " + status + " Failure\r\nRosemarybeam-Request-Id: r1\r\nRosemarybeam-Server-Stamp: d\r\n"
                + "Content-Length: 4\r\n\r\nbusy";
    }

    /** The caller would take the status of an endpoint that has run its request for a refusal, and send the request again. */
    @ParameterizedTest
    @ValueSource(ints = {408, 429, 503})
    void shouldNotRefuseNonIdempotentRequestWhenTheEndpointMayHaveRunIt(int status) throws Exception {
        endpoint("a", failure(status));

        forward(RouteKind.NON_IDEMPOTENT, 2_000);

        assertEquals("failed 502", outcome());
    }

    @ParameterizedTest
    @ValueSource(ints = {400, 404, 500, 504})
    void shouldPassOnTheStatusOfTheEndpointWhenItPromisesNothing(int status) throws Exception {
        endpoint("a", failure(status));

        forward(RouteKind.NON_IDEMPOTENT, 2_000);

        assertEquals(status + " busy", outcome());
    }

    @Test
    void shouldSendNonIdempotentRequestElsewhereWhenEndpointDidNotRunIt() throws Exception {
        endpoint("a", FULL);
        endpoint("b", OK);

        forward(RouteKind.NON_IDEMPOTENT, 2_000);

        assertEquals("200 body", outcome());
    }

    @Test
    void shouldRefuseAtOnceWhenEveryEndpointIsFull() throws Exception {
        endpoint("a", FULL);
        endpoint("b", FULL);
        long started = Forwarder.now();

        forward(RouteKind.IDEMPOTENT, 2_000);

        assertEquals("refused", outcome());
        assertTrue(Forwarder.now() - started < 1_000, "a refusal does not wait for the deadline");
    }

    @Test
    void shouldSkipLateAnswerOfAnotherRequest() throws Exception {
        endpoint("a", OTHER_REQUEST_OK + OK);

        forward(RouteKind.NON_IDEMPOTENT, 2_000);

        assertEquals("200 body", outcome());
    }

    @Test
    void shouldAskSecondEndpointWhenFirstIsSilent() throws Exception {
        endpoint("a", SILENT);
        endpoint("b", OK);

        forward(RouteKind.IDEMPOTENT, 2_000);

        assertEquals("200 body", outcome());
    }

    @Test
    void shouldAnswerWithTimeoutWhenNonIdempotentRequestHasNoAnswer() throws Exception {
        endpoint("a", SILENT);

        forward(RouteKind.NON_IDEMPOTENT, 300);

        assertEquals("failed 504", outcome());
    }

    @Test
    void shouldCloseConnectionToEndpointWhenCallerDisconnects() throws Exception {
        ScriptedEndpoint endpoint = endpoint("a", SILENT);
        ForwardCall call = forward(RouteKind.NON_IDEMPOTENT, 2_000);
        assertNotNull(endpoint.requests.poll(2, TimeUnit.SECONDS));

        loop.execute(call::cancel);

        assertNotNull(endpoint.closed.poll(1, TimeUnit.SECONDS), "the connection to the endpoint stays open");
    }

    private void quarantine(ForwardRequest request) {
        List<EndpointCrash> three = Stream.of("x", "y", "z")
                .map(id ->
                        EndpointCrash.of(request.fingerprint(), EndpointId.of(id), 1, 0, EndpointCrash.State.CONFIRMED))
                .toList();
        loop.submit(() -> crashes.merge(three)).syncUninterruptibly();
    }

    @Test
    void shouldPublishTheCrashWhenTheEndpointRefusesConnections() throws Exception {
        endpoint("a", CRASH);

        forward(RouteKind.IDEMPOTENT, 2_000);

        assertEquals("failed 502", outcome());
        List<EndpointCrash> news = published.poll(5, TimeUnit.SECONDS);
        assertNotNull(news, "no crash was published");
        assertEquals(EndpointId.of("a"), news.getFirst().endpoint());
    }

    /** A host that has lost its links sees refused connections too, and must not quarantine sound requests for it. */
    @Test
    void shouldOnlySuspectACrashWhenNoEndpointCanBeReached() throws Exception {
        endpoint("a", CRASH);
        endpoint("b", OK).close();

        forward(RouteKind.IDEMPOTENT, 2_000);

        assertEquals("failed 502", outcome());
        List<EndpointCrash> news = published.poll(5, TimeUnit.SECONDS);
        assertNotNull(news, "no crash was published");
        assertEquals(EndpointCrash.State.SUSPECTED, news.getFirst().state());
    }

    @Test
    void shouldCountNoCrashWhenTheNextEndpointAnswersInFull() throws Exception {
        endpoint("a", CRASH);
        endpoint("b", OK);

        forward(RouteKind.IDEMPOTENT, 2_000);

        assertEquals("200 body", outcome());
        Thread.sleep(200);
        Fingerprint fingerprint = request(RouteKind.IDEMPOTENT, 2_000, false).fingerprint();
        assertEquals(0, loop.submit(() -> crashes.crashes(fingerprint)).sync().getNow());
    }

    @Test
    void shouldRefuseAsNotRunWhenRequestIsQuarantined() throws Exception {
        ScriptedEndpoint endpoint = endpoint("a", OK);
        ForwardRequest request = request(RouteKind.IDEMPOTENT, 2_000, false);
        quarantine(request);

        forward(request);

        assertEquals("refused", outcome());
        assertEquals(0, endpoint.requests.size());
    }

    @Test
    void shouldRunWhenRequestWasPromisedToRun() throws Exception {
        endpoint("a", OK);
        ForwardRequest request = request(RouteKind.IDEMPOTENT, 2_000, true);
        quarantine(request);

        forward(request);

        assertEquals("200 body", outcome());
    }

    private void checkEndless(String start, String expectedOutcome) throws Exception {
        ScriptedEndpoint endpoint = endpoint("a", ENDLESS + start);

        forward(RouteKind.NON_IDEMPOTENT, 500);

        assertEquals(expectedOutcome, outcome());
        assertNotNull(endpoint.closed.poll(5, TimeUnit.SECONDS), "the connection to the endpoint stays open");
        assertTrue(endpoint.written.get() < MAXIMUM_ENDLESS_BYTES, endpoint.written + " bytes were read");
    }

    @Test
    void shouldFailWhenTheHeadNeverEnds() throws Exception {
        checkEndless("HTTP/1.1 200 OK\r\nName: value", "failed 502");
    }

    @Test
    void shouldFailWhenEmptyLinesNeverEnd() throws Exception {
        checkEndless("\r\n", "failed 502");
    }

    @Test
    void shouldFailWhenASizeOfAChunkNeverEnds() throws Exception {
        checkEndless(CHUNKED_FAILURE_HEAD + REPEATED + "0", "failed 502");
    }

    @Test
    void shouldFailWhenAnExtensionOfAChunkNeverEnds() throws Exception {
        checkEndless(CHUNKED_FAILURE_HEAD + "5;" + REPEATED + "name=value", "failed 502");
    }

    @Test
    void shouldFailWhenTrailersNeverEnd() throws Exception {
        checkEndless(CHUNKED_FAILURE_HEAD + "0\r\n" + REPEATED + "name: value\r\n", "failed 502");
    }

    @Test
    void shouldFailWhenSpacesBeforeTheHeadNeverEnd() throws Exception {
        checkEndless(" ", "failed 502");
    }

    @Test
    void shouldFailWhenInformationalResponsesNeverEnd() throws Exception {
        checkEndless("HTTP/1.1 100 Continue\r\n\r\n", "failed 502");
    }

    @Test
    void shouldFailWhenAnswersToOtherRequestsNeverEnd() throws Exception {
        checkEndless(OTHER_REQUEST_OK, "failed 502");
    }

    @Test
    void shouldFailWhenTheBodyOfAFailureNeverEnds() throws Exception {
        checkEndless(FAILURE_HEAD, "failed 502");
    }

    @Test
    void shouldStopReadingWhenTheBodyOfASuccessNeverEndsAndTheCallerDoesNotRead() throws Exception {
        callerReads = false;
        checkEndless(SUCCESS_HEAD, "begun");
    }

    /** An endpoint that sends without end would attract the next requests, because it answers at once. */
    @Test
    void shouldAvoidTheEndpointWhenItsAnswerDoesNotEndInTime() throws Exception {
        endpoint("a", ENDLESS + SUCCESS_HEAD + REPEATED + "x");
        ForwardRequest request = request(RouteKind.IDEMPOTENT, 300, false);

        forward(request);

        while (!outcome().equals("broken off")) {
            Thread.onSpinWait();
        }
        assertTrue(loop.submit(() -> loads.isAvoided(EndpointId.of("a"), request.deadline()))
                .get());
    }

    /** The endpoint that got the address of another one names its own limit when it refuses a request for that one. */
    @Test
    void shouldNotTakeTheLimitOfAnotherEndpointAtTheSameAddress() throws Exception {
        endpoint(
                "a",
                "HTTP/1.1 421 Misdirected Request\r\nRosemarybeam-Not-Executed: 1\r\nServer-Limit: 1\r\n"
                        + "Content-Length: 0\r\n\r\n");

        forward(RouteKind.IDEMPOTENT, 300);

        assertEquals("refused", outcome());
        assertEquals(List.of(), loop.submit(limits::all).get());
    }

    /** Load pattern: one endpoint is left and slow; a hedge there would double its load. */
    @Test
    void shouldNotHedgeToTheEndpointThatRunsTheRequest() throws Exception {
        ScriptedEndpoint only = endpoint("a", SILENT);

        forward(RouteKind.IDEMPOTENT, 700);

        assertEquals("failed 504", outcome());
        assertEquals(1, only.requests.size());
    }

    /** Records the outcome as text. */
    private final class RecordingSink implements AnswerSink {
        @Override
        public void complete(int status, HttpHeaders headers, byte[] body) {
            outcomes.add(status + " " + new String(body, StandardCharsets.UTF_8));
        }

        @Override
        public void begin(int status, HttpHeaders headers) {
            outcomes.add("begun");
        }

        @Override
        public void part(byte[] bytes) {
            outcomes.add("part");
        }

        @Override
        public boolean isWritable() {
            return callerReads;
        }

        @Override
        public void end() {
            outcomes.add("ended");
        }

        @Override
        public void abort() {
            outcomes.add("broken off");
        }

        @Override
        public void refuse(double retryAfterSeconds) {
            outcomes.add("refused");
        }

        @Override
        public void fail(int status) {
            outcomes.add("failed " + status);
        }
    }

    /** Answers every request with the same bytes, closes the connection without an answer, or never answers. */
    private static final class ScriptedEndpoint {
        private final ServerSocket socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        private final BlockingQueue<String> requests = new LinkedBlockingQueue<>();
        private final BlockingQueue<String> closed = new LinkedBlockingQueue<>();
        private final AtomicLong written = new AtomicLong();
        private final String answer;

        ScriptedEndpoint(String answer) throws IOException {
            this.answer = answer;
            Thread.ofVirtual().start(this::accept);
        }

        String address() {
            return "127.0.0.1:" + socket.getLocalPort();
        }

        void close() throws IOException {
            socket.close();
        }

        /** Waits for the end of the listener, which the system defers until the thread that accepts has woken up. */
        private static void awaitRefused(int port) {
            try {
                while (true) {
                    new Socket(InetAddress.getLoopbackAddress(), port).close();
                }
            } catch (IOException refused) {
                // The port is closed now, as after the end of a process.
                Thread.onSpinWait();
            }
        }

        private void accept() {
            while (!socket.isClosed()) {
                try {
                    Socket connection = socket.accept();
                    Thread.ofVirtual().start(() -> serve(connection));
                } catch (IOException closing) {
                    return;
                }
            }
        }

        private void writeUntilClosed(OutputStream out, String answer) throws IOException {
            String repeated = answer.substring(answer.indexOf(REPEATED) + 1);
            byte[] bytes = repeated.repeat(8_192 / repeated.length()).getBytes(StandardCharsets.UTF_8);
            out.write(answer.replace(REPEATED, "").getBytes(StandardCharsets.UTF_8));
            while (true) {
                out.write(bytes);
                written.addAndGet(bytes.length);
            }
        }

        private void serve(Socket connection) {
            try (connection) {
                InputStream in = connection.getInputStream();
                byte[] buffer = new byte[4_096];
                int count = in.read(buffer);
                if (count < 0) {
                    return;
                }
                requests.add(new String(buffer, 0, count, StandardCharsets.UTF_8));
                if (answer.startsWith(ENDLESS)) {
                    writeUntilClosed(connection.getOutputStream(), answer.substring(ENDLESS.length()));
                }
                if (answer.equals(CRASH)) {
                    int port = socket.getLocalPort();
                    socket.close();
                    awaitRefused(port);
                    return;
                }
                if (answer.equals(SILENT)) {
                    while (in.read(buffer) >= 0) {
                        requests.add("more");
                    }
                    closed.add("closed");
                } else {
                    OutputStream out = connection.getOutputStream();
                    out.write(answer.getBytes(StandardCharsets.UTF_8));
                    out.flush();
                    if (!answer.isEmpty()) {
                        in.read(buffer);
                    }
                }
            } catch (IOException broken) {
                closed.add("broken");
            }
        }
    }
}
