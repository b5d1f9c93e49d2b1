package io.rosemarybeam.forward;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.concurrent.Future;
import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;
import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.wire.EndpointAnnouncement;
import io.rosemarybeam.decision.routing.EndpointSelection;
import io.rosemarybeam.decision.routing.RouteKind;
import io.rosemarybeam.platform.EndpointAnswer;
import io.rosemarybeam.platform.EndpointClient;
import io.rosemarybeam.platform.EndpointClient.Failure;
import io.rosemarybeam.platform.PlatformHeaders;

/**
 * One request on its way through endpoints.
 *
 * <p>Invariants: the sink learns of exactly one outcome, unless the caller leaves; once a part of an answer was handed on, no
 * other answer follows; {@code refuse} is used only if no endpoint can have run the request. Confined to the event loop of
 * the forwarder.
 */
public final class ForwardCall {
    private static final EventLog LOG = EventLog.of(ForwardCall.class);
    private static final int INTERNAL_ERROR = 500;
    private static final int BAD_GATEWAY = 502;
    private static final int UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;

    /** Longest answer that is held until it is whole, in bytes; the users' answers have some kilobytes. */
    private static final int MAXIMUM_HELD_BYTES = 1_048_576;

    /** Refusals by endpoints after which the service counts as full; each costs a way to an endpoint and back. */
    private static final int MAXIMUM_REFUSALS = 4;

    /** A second endpoint is asked after so many times the usual latency of the first one. */
    private static final double HEDGE_LATENCIES = 3;

    /** Part of the route's target after which a second endpoint is asked at the latest. */
    private static final double HEDGE_TARGET_PART = 0.6;

    /** Part of the route's target that callers are told to wait when the service is full. */
    private static final double RETRY_TARGET_PART = 0.5;

    private final Forwarder forwarder;
    private final ForwardRequest request;
    private final AnswerSink sink;
    private final long started = Forwarder.now();
    private final Set<EndpointId> tried = new HashSet<>();
    private final Set<EndpointId> unavailable = new HashSet<>();
    private final List<Run> running = new ArrayList<>();
    private Optional<HeldAnswer> lastFailure = Optional.empty();
    private Future<?> deadlineTimer;
    private Future<?> hedgeTimer;
    private int sends;
    private int refusals;
    private int failures;
    private boolean mayHaveRun;
    private boolean over;

    ForwardCall(Forwarder forwarder, ForwardRequest request, AnswerSink sink) {
        this.forwarder = forwarder;
        this.request = request;
        this.sink = sink;
    }

    void start() {
        long left = request.deadline() - Forwarder.now();
        if (left <= 0) {
            finishRefused("deadline passed");
            return;
        }
        deadlineTimer = forwarder.loop().schedule(this::onDeadline, left, TimeUnit.MILLISECONDS);
        next();
    }

    /** Gives the request up because its caller has left; the endpoints stop their work. */
    public void cancel() {
        if (!over) {
            close("caller left", 0);
        }
    }

    private void next() {
        if (over) {
            return;
        }
        boolean isSpent = sends >= request.route().maximumAttempts() || refusals >= MAXIMUM_REFUSALS;
        Optional<EndpointAnnouncement> chosen = isSpent ? Optional.empty() : choose();
        if (chosen.isPresent()) {
            new Run(chosen.get()).send();
        } else if (running.isEmpty()) {
            finishWithoutAnswer();
        }
    }

    private Optional<EndpointAnnouncement> choose() {
        List<EndpointAnnouncement> ready = forwarder.directory().ready(request.service()).stream()
                .filter(endpoint -> !unavailable.contains(endpoint.id()))
                .toList();
        return EndpointSelection.choose(ready, tried, forwarder.loads(), forwarder.ownDomain(), Forwarder.now());
    }

    private void finishWithoutAnswer() {
        if (lastFailure.isPresent()) {
            HeldAnswer answer = lastFailure.get();
            sink.failuresSeen(failures);
            close("endpoint answered " + answer.status, answer.status);
            sink.whole(answer.status, answer.headers, answer.body);
        } else if (mayHaveRun) {
            close("endpoints failed", BAD_GATEWAY);
            sink.fail(BAD_GATEWAY);
        } else {
            finishRefused("no endpoint takes it");
        }
    }

    private void finishRefused(String reason) {
        close(reason, UNAVAILABLE);
        sink.refuse(RETRY_TARGET_PART * request.route().latencyTarget().toMillis() / 1_000.0);
    }

    private void onDeadline() {
        if (over) {
            return;
        }
        boolean begun = running.stream().anyMatch(run -> run.begun);
        boolean ran = mayHaveRun || !running.isEmpty();
        if (begun) {
            close("time over in the answer", GATEWAY_TIMEOUT);
            sink.breakOff();
        } else if (ran) {
            close("time over", GATEWAY_TIMEOUT);
            sink.fail(GATEWAY_TIMEOUT);
        } else {
            finishRefused("time over before sending");
        }
    }

    /** Ends the call: timers stop, endpoints that still work are told by the close of their connection. */
    private void close(String outcome, int status) {
        over = true;
        cancel(deadlineTimer);
        cancel(hedgeTimer);
        List.copyOf(running).forEach(Run::giveUp);
        long elapsed = Forwarder.now() - started;
        String kind = request.route().kind().name();
        forwarder.metrics().finished(kind, outcome, elapsed);
        LOG.log(
                Event.REQUEST_FINISHED,
                "request",
                request.id(),
                "route",
                request.route().name(),
                "configuration",
                request.configurationVersion(),
                "outcome",
                outcome,
                "status",
                status,
                "sends",
                sends,
                "refusals",
                refusals,
                "endpoints",
                tried,
                "milliseconds",
                elapsed);
    }

    private static void cancel(Future<?> timer) {
        if (timer != null) {
            timer.cancel(false);
        }
    }

    /** Asks a second endpoint if the first one takes much longer than usual. */
    private void scheduleHedge(EndpointAnnouncement endpoint) {
        cancel(hedgeTimer);
        boolean isAllowed = request.route().kind() == RouteKind.IDEMPOTENT
                && sends < request.route().maximumAttempts();
        if (!isAllowed) {
            return;
        }
        double latest = HEDGE_TARGET_PART * request.route().latencyTarget().toMillis();
        double usual = HEDGE_LATENCIES * forwarder.loads().latency(endpoint.id());
        long delay = (long) (usual > 0 ? Math.min(usual, latest) : latest);
        hedgeTimer = forwarder.loop().schedule(this::hedge, Math.max(delay, 1), TimeUnit.MILLISECONDS);
    }

    private void hedge() {
        if (!over && running.size() == 1 && forwarder.hedges().take()) {
            next();
        }
    }

    /** An answer that was read whole. Immutable. */
    private record HeldAnswer(int status, HttpHeaders headers, byte[] body) {}

    /** The request at one endpoint. Confined to the event loop. */
    private final class Run implements EndpointClient.Listener {
        private final EndpointAnnouncement endpoint;
        private final long sentAt = Forwarder.now();
        private final ByteArrayOutputStream held = new ByteArrayOutputStream();
        private EndpointClient.Attempt attempt;
        private EndpointAnswer head;
        private boolean begun;

        private Run(EndpointAnnouncement endpoint) {
            this.endpoint = endpoint;
        }

        private void send() {
            sends++;
            tried.add(endpoint.id());
            running.add(this);
            forwarder.loads().recordRequest(endpoint.id());
            HttpHeaders headers = ForwardedHeaders.copy(request.headers());
            headers.set(PlatformHeaders.DEADLINE, Math.max(1, request.deadline() - sentAt));
            headers.set(PlatformHeaders.EXPECTED_ENDPOINT, endpoint.id().value());
            headers.remove(HttpHeaderNames.ACCEPT_ENCODING);
            scheduleHedge(endpoint);
            attempt = forwarder
                    .client()
                    .send(
                            new EndpointClient.Request(
                                    endpoint.address(), request.method(), request.uri(), headers, request.body()),
                            this);
        }

        private void giveUp() {
            leave();
            if (attempt != null) {
                attempt.cancel();
            }
        }

        private void leave() {
            if (running.remove(this)) {
                forwarder.loads().recordEnd(endpoint.id());
            }
        }

        @Override
        public void onHead(EndpointAnswer answer) {
            head = answer;
            answer.requests().ifPresent(count -> forwarder.loads().recordReport(endpoint.id(), count, Forwarder.now()));
            boolean streams = request.route().kind() == RouteKind.STREAMING && answer.isSuccess();
            if (streams) {
                beginAnswer();
            }
        }

        private void beginAnswer() {
            begun = true;
            List.copyOf(running).stream().filter(run -> run != this).forEach(Run::giveUp);
            cancel(hedgeTimer);
            sink.begin(head.status(), ForwardedHeaders.copy(head.headers()));
            if (held.size() > 0) {
                sink.part(held.toByteArray());
                held.reset();
            }
        }

        @Override
        public void onContent(byte[] bytes) {
            if (begun) {
                sink.part(bytes);
                return;
            }
            held.write(bytes, 0, bytes.length);
            if (held.size() > MAXIMUM_HELD_BYTES && head.isSuccess()) {
                beginAnswer();
            }
        }

        @Override
        public void onEnd() {
            leave();
            long now = Forwarder.now();
            if (head.isNotExecuted()) {
                refused(now);
            } else if (head.isSuccess()) {
                forwarder.loads().recordAnswer(endpoint.id(), now - sentAt);
                attempted("answered", String.valueOf(head.status()));
                deliver();
            } else {
                failed(now);
            }
        }

        private void deliver() {
            close("answered", head.status());
            if (begun) {
                sink.end();
            } else {
                sink.whole(head.status(), ForwardedHeaders.copy(head.headers()), held.toByteArray());
            }
        }

        /** The endpoint did not run the request, so another one may, whatever the route. */
        private void refused(long now) {
            didNotRun();
            forwarder.loads().recordFailure(endpoint.id(), now);
            attempted("not executed", String.valueOf(head.status()));
            next();
        }

        /** An endpoint that is full or cannot be reached will not be free for this request a moment later. */
        private void didNotRun() {
            sends--;
            refusals++;
            unavailable.add(endpoint.id());
        }

        private void failed(long now) {
            boolean isForged = head.status() < 300;
            mayHaveRun = true;
            attempted("failed", (isForged ? "no digest in " : "") + head.status());
            if (isForged) {
                forwarder.loads().recordFailure(endpoint.id(), now);
            } else {
                failures += head.status() == INTERNAL_ERROR ? 1 : 0;
                lastFailure = Optional.of(
                        new HeldAnswer(head.status(), ForwardedHeaders.copy(head.headers()), held.toByteArray()));
            }
            nextIfRepeatable();
        }

        @Override
        public void onFailure(Failure failure, String reason) {
            leave();
            forwarder.loads().recordFailure(endpoint.id(), Forwarder.now());
            attempted(failure == Failure.NOT_SENT ? "not sent" : "broken", reason);
            if (begun) {
                close("broken in the answer", BAD_GATEWAY);
                sink.breakOff();
            } else if (failure == Failure.NOT_SENT) {
                didNotRun();
                next();
            } else {
                mayHaveRun = true;
                nextIfRepeatable();
            }
        }

        private void nextIfRepeatable() {
            if (request.route().isRepeatable()) {
                next();
            } else if (running.isEmpty()) {
                finishWithoutAnswer();
            }
        }

        private void attempted(String outcome, String detail) {
            forwarder.metrics().attempted(outcome);
            if (!outcome.equals("answered")) {
                LOG.log(
                        Event.ATTEMPT_FAILED,
                        "request",
                        request.id(),
                        "endpoint",
                        endpoint.id(),
                        "announced",
                        endpoint.sequence(),
                        "outcome",
                        outcome,
                        "detail",
                        detail,
                        "milliseconds",
                        Forwarder.now() - sentAt);
            }
        }
    }
}
