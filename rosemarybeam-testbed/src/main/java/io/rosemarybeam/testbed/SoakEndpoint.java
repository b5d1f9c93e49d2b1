package io.rosemarybeam.testbed;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicReference;

import io.netty.channel.EventLoopGroup;
import io.rosemarybeam.platform.PlatformHeaders;

/**
 * An endpoint of a soak: a plain service or a model engine that crashes, restarts and misbehaves on demand.
 *
 * <p>Invariant: each start is a new incarnation at the same address. Safe for use by several threads.
 */
final class SoakEndpoint implements AutoCloseable {
    /** A request whose body is this text, a hyphen and a number crashes every endpoint that runs it. */
    static final String POISON = "poison";

    /** Begins the body of an item on which a model engine works for long. */
    static final String SLOW = "slow-";

    /** Begins the body of a score request that is answered 503. */
    static final String FAILING_SCORE = "failing score ";

    static final String ANSWER_PREFIX = "answer to ";
    static final int TEXT_EVENTS = 10;

    /** Each new endpoint runs one of these versions, so that two serve side by side at all times. */
    private static final int SOFTWARE_VERSIONS = 2;

    /** Time after which the port of an endpoint that has fallen silent closes, in milliseconds. */
    private static final int SILENT_MILLISECONDS = 2_500;

    private static final int WAYS_TO_END = 3;
    private static final int MISDIRECTED_REQUEST = 421;
    private static final int MINIMUM_WORK_MILLISECONDS = 5;
    private static final int MAXIMUM_WORK_MILLISECONDS = 60;
    private static final int MAXIMUM_SLOW_MILLISECONDS = 2_500;
    private static final String REPORT =
            "{\"Stage\":\"both\",\"Models\":[],\"Busy\":false,\"Sequence\":0,\"Waiting\":0,"
                    + "\"Running\":0,\"KvUsed\":0,\"KvTotal\":1000,\"Handles\":0}";

    private final EventLoopGroup eventLoops;
    private final SoakReport report;
    private final String service;
    private final String name;
    private final AtomicReference<Fault> nextFault = new AtomicReference<>(Fault.NONE);
    private volatile StandInHttpServer server;
    private volatile int port;
    private volatile String id;
    private volatile String softwareVersion;
    private volatile long started;

    /** Whether its process has ended although its connections are still open. */
    private volatile boolean isSilent;

    private volatile long sequence;
    private volatile OptionalDouble limit = OptionalDouble.empty();
    private int incarnation;

    /** Monotonic time before which it is not started, in milliseconds. */
    private long downUntil = Long.MIN_VALUE;

    /** What an endpoint does instead of answering its next request. */
    enum Fault {
        /** It answers. */
        NONE,
        /** It runs the request and closes the connection. */
        LOST_ANSWER,
        /** It answers without its digest, so that the answer must not be passed on as a success. */
        NO_DIGEST,
        /** It breaks off its answer in the middle, as a stream that is interrupted. */
        BROKEN_OFF
    }

    SoakEndpoint(EventLoopGroup eventLoops, SoakReport report, String service, String name) {
        this.eventLoops = eventLoops;
        this.report = report;
        this.service = service;
        this.name = name;
        start(true);
    }

    /** Starts a new incarnation, under a new id or the former one. */
    synchronized void start(boolean newId) {
        if (server != null || SoakReport.now() < downUntil) {
            return;
        }
        incarnation++;
        if (newId || id == null) {
            id = name + "-" + incarnation;
            // Under a new id it is another endpoint, which names its limit for the first time.
            limit.ifPresent(named -> report.limitNamed(id, OptionalDouble.of(named)));
            softwareVersion = "v" + (1 + Math.floorMod(name.hashCode() + incarnation, SOFTWARE_VERSIONS));
        }
        started = System.currentTimeMillis();
        isSilent = false;
        sequence = 0;
        server = new StandInHttpServer(eventLoops, port, this::serve);
        port = server.port();
    }

    synchronized boolean isRunning() {
        return server != null;
    }

    /** Returns whether it sends heartbeats. */
    boolean isAlive() {
        return isRunning() && !isSilent;
    }

    /** Ends like {@link #crash} and cannot be started again for some time. */
    synchronized void crashFor(long milliseconds) {
        downUntil = SoakReport.now() + milliseconds;
        crash();
    }

    /** Ends without finishing any request, as a crash does. */
    synchronized void crash() {
        if (server != null) {
            server.close();
            server = null;
        }
    }

    /**
     * Ends in one of the ways in which a process can end, the same one for each crashing request: its port closes; another
     * process listens at its address at once; or it falls silent, and its port closes later.
     */
    private void crashUnder(HttpExchange exchange, int crashingRequest) {
        switch (crashingRequest % WAYS_TO_END) {
            case 0 -> crash();
            case 1 -> {
                crash();
                start(true);
            }
            default -> {
                isSilent = true;
                exchange.schedule(SILENT_MILLISECONDS, this::crash);
            }
        }
    }

    /** Sets the rate limit that all answers name, also after a restart; empty for none. */
    void nameLimit(OptionalDouble requestsPerSecond) {
        limit = requestsPerSecond;
        report.limitNamed(id, requestsPerSecond);
    }

    void misbehaveOnce(Fault fault) {
        nextFault.set(fault);
    }

    /** Drops a fault that no request has met yet. */
    void endFaults() {
        nextFault.set(Fault.NONE);
    }

    String service() {
        return service;
    }

    String id() {
        return id;
    }

    /** Returns the body of the next heartbeat. */
    String heartbeat() {
        sequence++;
        String models = service.equals(SoakDeployment.ENGINES)
                ? ",\"Stage\":\"both\",\"Models\":[{\"Name\":\"model\",\"Version\":1,\"Adapters\":[]}]"
                : "";
        return "{\"Backend\":\"" + service + "\",\"Address\":\"127.0.0.1:" + port
                + "\",\"Zone\":\"a\",\"Version\":\"" + softwareVersion
                + "\",\"Capacity\":6,\"State\":\"ready\",\"WarmupLeftMs\":0" + models
                + ",\"born\":" + started + ",\"Sequence\":" + sequence + "}";
    }

    private void serve(HttpExchange exchange) {
        if (exchange.uri().equals("/api/report")) {
            exchange.respondJson(200, REPORT);
            return;
        }
        String expected = exchange.header(PlatformHeaders.EXPECTED_ENDPOINT);
        if (expected != null && !expected.equals(id)) {
            exchange.respond(MISDIRECTED_REQUEST, "text/plain", new byte[0], PlatformHeaders.NOT_EXECUTED, "1");
            return;
        }
        if (isSilent) {
            return;
        }
        report.requestArrived(id, exchange.header(PlatformHeaders.REQUEST_ID));
        String body = new String(exchange.body(), StandardCharsets.UTF_8);
        if (body.startsWith(POISON)) {
            report.crashed(id, body);
            crashUnder(exchange, Integer.parseInt(body.substring(POISON.length() + 1)));
            return;
        }
        if (service.equals(SoakDeployment.ENGINES) || exchange.uri().equals(SoakSubmission.SCORER_PATH)) {
            report.workArrived(id, exchange.header(PlatformHeaders.REQUEST_ID));
        }
        if (body.startsWith(FAILING_SCORE)) {
            report.count("score requests that failed");
            exchange.respond(503, "text/plain", new byte[0]);
            return;
        }
        if (body.startsWith(SLOW)) {
            String text = body.split(" ", 2)[0];
            int slowWork = ThreadLocalRandom.current().nextInt(MAXIMUM_WORK_MILLISECONDS, MAXIMUM_SLOW_MILLISECONDS);
            exchange.schedule(slowWork, () -> answer(exchange, text, Fault.NONE));
            return;
        }
        if (exchange.uri().startsWith(SoakDeployment.ORDER_PATH)) {
            report.orderRan(exchange.header(PlatformHeaders.REQUEST_ID));
        }
        int work = ThreadLocalRandom.current().nextInt(MINIMUM_WORK_MILLISECONDS, MAXIMUM_WORK_MILLISECONDS);
        Fault fault = nextFault.getAndSet(Fault.NONE);
        exchange.schedule(work, () -> answer(exchange, body, fault));
    }

    private void answer(HttpExchange exchange, String body, Fault fault) {
        switch (fault) {
            case LOST_ANSWER -> exchange.abort();
            case NO_DIGEST -> exchange.respond(200, "text/plain", "spoiled".getBytes(StandardCharsets.UTF_8));
            case NONE -> answer(exchange, body, false);
            case BROKEN_OFF -> answer(exchange, body, true);
            default -> throw new IllegalStateException("unexpected fault " + fault);
        }
    }

    private void answer(HttpExchange exchange, String body, boolean breaksOff) {
        boolean isText =
                service.equals(SoakDeployment.ENGINES) || exchange.uri().startsWith(SoakDeployment.STREAM_PATH);
        byte[] content = (isText
                        ? events(exchange.header(PlatformHeaders.LAST_EVENT_ID), body + "@" + softwareVersion)
                        : ANSWER_PREFIX + body)
                .getBytes(StandardCharsets.UTF_8);
        List<String> headers = new ArrayList<>(List.of(
                PlatformHeaders.REQUEST_ID,
                exchange.header(PlatformHeaders.REQUEST_ID),
                PlatformHeaders.DIGEST,
                "d-" + body,
                PlatformHeaders.WEIGHT_VERSION,
                "1"));
        limit.ifPresent(named -> {
            headers.addAll(List.of(PlatformHeaders.RATE_LIMIT, String.valueOf(named)));
            report.limitAnswered(id);
        });
        String contentType = isText ? "text/event-stream" : "text/plain";
        if (breaksOff) {
            exchange.respondInPart(200, contentType, content, content.length / 2, headers.toArray(String[]::new));
        } else {
            exchange.respond(200, contentType, content, headers.toArray(String[]::new));
        }
    }

    private static String events(String lastEvent, String body) {
        StringBuilder text = new StringBuilder();
        for (int event = lastEvent == null ? 1 : Integer.parseInt(lastEvent) + 1; event <= TEXT_EVENTS; event++) {
            text.append("id: ").append(event).append("\ndata: ").append(body).append("\n\n");
        }
        return text.toString();
    }

    @Override
    public void close() {
        crash();
    }
}
