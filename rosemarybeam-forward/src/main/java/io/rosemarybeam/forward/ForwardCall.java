package io.rosemarybeam.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.concurrent.Future;
import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;
import io.rosemarybeam.common.id.Fingerprint;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.wire.EndpointAnnouncement;
import io.rosemarybeam.common.wire.StreamOrigin;
import io.rosemarybeam.decision.routing.PermitDecision;
import io.rosemarybeam.decision.routing.PermitRequest;
import io.rosemarybeam.decision.routing.Route;
import io.rosemarybeam.decision.routing.RouteKind;
import io.rosemarybeam.decision.routing.Workspace;
import io.rosemarybeam.platform.EndpointAnswer;
import io.rosemarybeam.platform.EndpointClient;
import io.rosemarybeam.platform.EndpointClient.Failure;
import io.rosemarybeam.platform.PlatformHeaders;

/**
 * One forwarded request: sends it to endpoints until one answers, retries or hedges where the route allows it, and passes
 * the outcome to the sink.
 *
 * <p>Invariants: the sink receives exactly one outcome, unless the caller cancels; once part of an answer was passed on, no
 * other answer follows; {@code refuse} is used only if no endpoint can have run the request. Confined to the event loop of
 * the forwarder.
 */
public final class ForwardCall {
    private static final EventLog LOG = EventLog.of(ForwardCall.class);
    private static final int BAD_REQUEST = 400;
    private static final int INTERNAL_ERROR = 500;
    private static final int BAD_GATEWAY = 502;
    private static final int UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;

    /**
     * Number of attempts that endpoints did not run after which the service counts as full; each one costs a round trip to
     * an endpoint.
     */
    private static final int MAXIMUM_REFUSALS_BY_ENDPOINTS = 4;

    /** A hedge is sent to a second endpoint after this multiple of the usual latency of the first one. */
    private static final double HEDGE_LATENCY_FACTOR = 3;

    /** Fraction of the route's target latency after which a hedge is sent at the latest. */
    private static final double HEDGE_TARGET_FRACTION = 0.6;

    /** Fraction of the route's target latency after which it is verified that a silent endpoint can be reached. */
    private static final double SILENCE_TARGET_FRACTION = 0.35;

    /** Attempts that did not reach an endpoint before the next one waits for a verification in progress. */
    private static final int UNSENT_BEFORE_VERIFICATION = 2;

    /** Fraction of the route's target latency that callers are asked to wait before they retry a refused request. */
    private static final double RETRY_TARGET_FRACTION = 0.5;

    /**
     * Fraction of the route's target latency that a request waits for a permit at most; the rest is left for the answer.
     */
    private static final double PERMIT_WAIT_TARGET_FRACTION = 0.5;

    /** Minimum time that callers are asked to wait if no permit was granted, in milliseconds. */
    private static final long MINIMUM_RETRY_MILLISECONDS = 50;

    private final Forwarder forwarder;
    private final ForwardRequest request;
    private final AnswerSink sink;
    private final long startedAt = Forwarder.now();
    private final EndpointCandidates candidates;
    private final EndpointRoom room;
    private final RequestHandOver handOver;
    private final List<EndpointAttempt> running = new ArrayList<>();
    private Optional<Fingerprint> fingerprint = Optional.empty();
    private Optional<BufferedAnswer> lastErrorAnswer = Optional.empty();
    private Future<?> deadlineTimer;
    private Future<?> hedgeTimer;
    private Future<?> silenceTimer;

    /** Attempts that count towards the maximum of the route. */
    private int sends;

    /** Attempts that endpoints did not run. */
    private int refusals;

    /** Attempts whose connection could not be opened. */
    private int unsent;

    /** Answers with status 500. */
    private int internalErrors;

    /** Whether the connection of an attempt broke. */
    private boolean hasBroken;

    private boolean answeredInFull;

    /** Whether a permit was requested and not decided yet. */
    private boolean awaitsPermit;

    /** Whether the last permit was denied and no endpoint without a rate limit was left. */
    private boolean deniedByLimit;

    /** Total time spent waiting for permits, in milliseconds. */
    private long permitWait;

    /** Time until a permit is expected, by the last denial, in milliseconds. */
    private long permitRetryDelay;

    /** Whether a failed attempt may have run, so that the request must not be refused any more. */
    private boolean mayHaveRun;

    private boolean finished;
    private boolean ranIsReported;

    /** Time after which a refused caller was asked to return, in milliseconds; 0 if it was not refused. */
    private long retryAfter;

    ForwardCall(Forwarder forwarder, ForwardRequest request, AnswerSink sink, EndpointRoom room) {
        this.forwarder = forwarder;
        this.request = request;
        this.sink = sink;
        this.candidates = new EndpointCandidates(forwarder, request, room);
        this.room = room;
        this.handOver = new RequestHandOver(forwarder, request, sink, new HandOverListener());
    }

    void start() {
        long remaining = request.deadline() - Forwarder.now();
        if (remaining <= 0) {
            finishRefused("deadline passed", usualRetryDelay());
            return;
        }
        deadlineTimer = forwarder.loop().schedule(this::expire, remaining, TimeUnit.MILLISECONDS);
        if (resumesStream()) {
            long waitUntil = Forwarder.now() + maximumWait();
            forwarder.streams().find(request.resumedRequest(), routeServices(), waitUntil, this::onOriginFound);
        } else {
            tryNextEndpoint();
        }
    }

    private boolean resumesStream() {
        return request.route().kind() == RouteKind.STREAMING
                && request.route().resumable()
                && request.headers().contains(PlatformHeaders.LAST_EVENT_ID);
    }

    /** Continues the stream at the software version that began it; refuses the request at once if that cannot be done. */
    private void onOriginFound(StreamOrigins.Finding finding) {
        if (finished) {
            return;
        }
        Optional<StreamOrigin> found = finding.origin();
        boolean mayContinue = found.isPresent()
                && routeServices().contains(found.get().service())
                && candidates.canContinue(found.get());
        LOG.log(
                mayContinue ? Event.STREAM_RESUMED : Event.STREAM_NOT_RESUMED,
                "request",
                request.id(),
                "resumes",
                request.resumedRequest(),
                "after",
                request.headers().get(PlatformHeaders.LAST_EVENT_ID),
                "service",
                found.map(StreamOrigin::service).orElse(request.service()),
                "software",
                found.map(StreamOrigin::softwareVersion).orElse("unknown"),
                "basis",
                finding.basis());
        if (mayContinue) {
            candidates.restrictTo(found.get());
            tryNextEndpoint();
        } else {
            finishRefused("stream cannot be continued", usualRetryDelay());
        }
    }

    private List<ServiceName> routeServices() {
        return request.route().split().stream()
                .map(Route.Share::service)
                .distinct()
                .toList();
    }

    /** Cancels the request because its caller has disconnected; closing the connections stops the work of the endpoints. */
    public void cancel() {
        if (!finished) {
            finish("caller left", 0);
        }
    }

    /**
     * Returns whether the outcome was passed on.
     *
     * @return true also for a call that was refused before {@link Forwarder#forward} returned
     */
    public boolean isFinished() {
        return finished;
    }

    private void tryNextEndpoint() {
        if (finished || awaitsPermit || candidates.awaitsProbes()) {
            return;
        }
        if (isHandOverDue()) {
            handOn();
            return;
        }
        boolean isExhausted = sends >= request.maximumAttempts()
                || refusals >= (isCutOff() ? 1 : MAXIMUM_REFUSALS_BY_ENDPOINTS)
                || !handOver.tried().isEmpty()
                || remainingQuarantine() > 0;
        List<EndpointAnnouncement> usable = isExhausted ? List.of() : candidates.usable(!isIdle());
        Optional<EndpointAnnouncement> chosen = candidates.choose(usable);
        if (chosen.isEmpty()) {
            finishIfNoneRuns();
        } else if (candidates.isLimited(chosen.get())) {
            acquirePermit(usable);
        } else if (!candidates.beginProbes(usable, chosen.get(), this::tryNextEndpoint)) {
            new EndpointAttempt(chosen.get()).send();
        }
    }

    private void tryNextEndpointAfterVerification() {
        if (unsent >= UNSENT_BEFORE_VERIFICATION) {
            forwarder.handOver().reach().whenDecided(request.service(), this::tryNextEndpoint);
        } else {
            tryNextEndpoint();
        }
    }

    private void finishIfNoneRuns() {
        if (isIdle()) {
            finishWithoutAnswer();
        }
    }

    private boolean isIdle() {
        return running.isEmpty() && !handOver.isInProgress();
    }

    private boolean isCutOff() {
        return forwarder.handOver().reach().isCutOff(request.service());
    }

    private boolean isHandOverDue() {
        return sends < request.maximumAttempts() && remainingQuarantine() == 0 && handOver.isDue();
    }

    private void handOn() {
        handOver.send(sends);
        sends++;
    }

    /** Verifies that endpoints can be reached if none has answered for a while, so that the request can be handed on in time. */
    private void scheduleSilenceCheck(EndpointAttempt attempt) {
        cancel(silenceTimer);
        long delay = (long)
                (SILENCE_TARGET_FRACTION * request.route().latencyTarget().toMillis());
        silenceTimer = forwarder.loop().schedule(() -> verifyReach(attempt), Math.max(delay, 1), TimeUnit.MILLISECONDS);
    }

    private void verifyReach(EndpointAttempt attempt) {
        if (!finished && attempt.isSilent()) {
            ServiceReach reach = forwarder.handOver().reach();
            reach.verify(request.service());
            reach.whenDecided(request.service(), () -> onReachDecided(attempt));
        }
    }

    private void onReachDecided(EndpointAttempt attempt) {
        if (finished || !isCutOff() || !attempt.isSilent()) {
            return;
        }
        if (attempt.isUnsent()) {
            attempt.abandon();
            attempt.markUnavailable();
            tryNextEndpoint();
        } else if (request.route().isRepeatable() && isHandOverDue()) {
            handOn();
        }
    }

    /**
     * Requests a permit for the endpoints with a rate limit. The request waits for it only if no other endpoint has a free
     * slot, and not beside an attempt in progress.
     */
    private void acquirePermit(List<EndpointAnnouncement> usable) {
        List<EndpointAnnouncement> limited =
                usable.stream().filter(candidates::isLimited).toList();
        List<EndpointAnnouncement> unlimited =
                usable.stream().filter(endpoint -> !limited.contains(endpoint)).toList();
        boolean mayWait = isIdle() && unlimited.stream().noneMatch(candidates::hasFreeSlot);
        PermitRequest wanted = new PermitRequest(
                request.id(),
                candidates.inOrderOfPreference(limited),
                request.priority(),
                mayWait ? maximumWait() : 0,
                request.workspace().map(Workspace::name));
        long askedAt = Forwarder.now();
        awaitsPermit = true;
        forwarder.limits().acquire(wanted, decision -> {
            awaitsPermit = false;
            permitWait += Forwarder.now() - askedAt;
            if (!finished) {
                onPermitDecision(decision, limited, unlimited);
            }
        });
    }

    /** Returns how long the request can wait for a permit or a reply and still be answered in time, in milliseconds. */
    private long maximumWait() {
        long remaining = request.deadline() - Forwarder.now();
        if (request.mustRun()) {
            return Math.max(0, remaining / 2);
        }
        double elapsed = Forwarder.now() - startedAt;
        double target =
                PERMIT_WAIT_TARGET_FRACTION * request.route().latencyTarget().toMillis();
        return (long) Math.max(0, Math.min(target - elapsed, remaining));
    }

    private void onPermitDecision(
            PermitDecision decision, List<EndpointAnnouncement> limited, List<EndpointAnnouncement> unlimited) {
        switch (decision) {
            case PermitDecision.Granted granted -> {
                Optional<EndpointAnnouncement> endpoint = limited.stream()
                        .filter(candidate -> candidate.id().equals(granted.endpoint()))
                        .findFirst();
                if (endpoint.isEmpty()) {
                    finishIfNoneRuns();
                } else if (candidates.isReady(endpoint.get())) {
                    new EndpointAttempt(endpoint.get()).send();
                } else {
                    tryNextEndpoint();
                }
            }
            case PermitDecision.Denied denied -> {
                permitRetryDelay = denied.retryMilliseconds();
                Optional<EndpointAnnouncement> other = candidates.choose(unlimited);
                if (other.isPresent()) {
                    new EndpointAttempt(other.get()).send();
                } else {
                    deniedByLimit = isIdle();
                    finishIfNoneRuns();
                }
            }
        }
    }

    /** Returns the fingerprint; it is computed only when it is needed, because bodies may be long. */
    private Fingerprint fingerprint() {
        if (fingerprint.isEmpty()) {
            fingerprint = Optional.of(request.fingerprint());
        }
        return fingerprint.get();
    }

    /** Returns for how long the request must not run, in milliseconds; 0 if it may run. */
    private long remainingQuarantine() {
        boolean mayRun = request.mustRun() || forwarder.crashes().isEmpty();
        return mayRun ? 0 : forwarder.crashes().remainingQuarantine(fingerprint());
    }

    /** Returns whether the request was running when an endpoint crashed, or when a connection of this call broke. */
    private boolean isSuspect() {
        boolean isKnown = !forwarder.crashes().isEmpty() && forwarder.crashes().crashes(fingerprint()) > 0;
        return hasBroken || isKnown;
    }

    private void finishWithoutAnswer() {
        Optional<BufferedAnswer> passedOn = lastErrorAnswer.filter(answer -> !request.isFalseRefusal(answer.status));
        if (passedOn.isPresent()) {
            BufferedAnswer answer = passedOn.get();
            sink.reportInternalErrors(internalErrors);
            finish("endpoint answered " + answer.status, answer.status);
            sink.complete(answer.status, answer.headers, answer.body);
        } else if (mayHaveRun) {
            finish("endpoints failed", BAD_GATEWAY);
            sink.fail(BAD_GATEWAY);
        } else if (remainingQuarantine() > 0) {
            finishRefused("quarantined", remainingQuarantine());
        } else if (deniedByLimit) {
            finishRefused("rate limited", Math.max(permitRetryDelay, MINIMUM_RETRY_MILLISECONDS));
        } else {
            finishRefused("no endpoint takes it", usualRetryDelay());
        }
    }

    private double usualRetryDelay() {
        return RETRY_TARGET_FRACTION * request.route().latencyTarget().toMillis();
    }

    private void finishInvalid() {
        finish("cannot be sent", BAD_REQUEST);
        sink.fail(BAD_REQUEST);
    }

    private void finishRefused(String reason, double retryMilliseconds) {
        retryAfter = Math.round(retryMilliseconds);
        finish(reason, UNAVAILABLE);
        sink.refuse(retryMilliseconds / 1_000.0);
    }

    private void finishWithheld() {
        if (mayHaveRun) {
            finishWithoutAnswer();
        } else {
            finishRefused("withheld", MINIMUM_RETRY_MILLISECONDS);
        }
    }

    /** Ends the request as at its deadline: with status 504 if it may have run, else as refused. */
    public void expire() {
        if (finished) {
            return;
        }
        boolean answerStarted =
                running.stream().anyMatch(attempt -> attempt.answerStarted) || handOver.isAnswerStarted();
        boolean mayRun = mayHaveRun || !isIdle();
        if (answerStarted) {
            List.copyOf(running).forEach(EndpointAttempt::recordUnfinished);
            finish("time over in the answer", GATEWAY_TIMEOUT);
            sink.abort();
        } else if (mayRun) {
            finish("time over", GATEWAY_TIMEOUT);
            sink.fail(GATEWAY_TIMEOUT);
        } else {
            finishRefused("time over before sending", usualRetryDelay());
        }
    }

    /**
     * Finishes the call: stops the timers, and cancels attempts in progress by closing their connections.
     *
     * @param outcome value of a log field and of a metric label; existing values must not change
     * @param status status code of the answer; 0 if there is none
     */
    private void finish(String outcome, int status) {
        finished = true;
        cancel(deadlineTimer);
        cancel(hedgeTimer);
        cancel(silenceTimer);
        List.copyOf(running).forEach(EndpointAttempt::endUnanswered);
        handOver.cancel();
        long elapsed = Forwarder.now() - startedAt;
        String kind = request.route().kind().name();
        forwarder.metrics().requestFinished(kind, outcome, elapsed);
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
                "permitWait",
                permitWait,
                "retryAfter",
                retryAfter,
                "endpoints",
                candidates.tried(),
                "handedOnBy",
                request.handedOn().map(ForwardRequest.HandedOn::sender).orElse(""),
                "handedOnTo",
                handOver.tried(),
                "fingerprint",
                fingerprint.map(Fingerprint::value).orElse(""),
                "milliseconds",
                elapsed);
    }

    private static void cancel(Future<?> timer) {
        if (timer != null) {
            timer.cancel(false);
        }
    }

    /** Schedules a hedge: a second attempt at another endpoint if the first one takes much longer than usual. */
    private void scheduleHedge(EndpointAnnouncement endpoint) {
        cancel(hedgeTimer);
        boolean isAllowed =
                request.route().kind() == RouteKind.IDEMPOTENT && sends < request.maximumAttempts() && !isSuspect();
        if (!isAllowed) {
            return;
        }
        double latestDelay =
                HEDGE_TARGET_FRACTION * request.route().latencyTarget().toMillis();
        double latencyDelay = HEDGE_LATENCY_FACTOR * forwarder.loads().latency(endpoint.id());
        long delay = (long) (latencyDelay > 0 ? Math.min(latencyDelay, latestDelay) : latestDelay);
        hedgeTimer = forwarder.loop().schedule(this::hedge, Math.max(delay, 1), TimeUnit.MILLISECONDS);
    }

    private void hedge() {
        ServiceReach reach = forwarder.handOver().reach();
        if (finished || running.size() != 1 || handOver.isInProgress()) {
            return;
        }
        if (reach.isVerifying(request.service())) {
            reach.whenDecided(request.service(), this::hedge);
        } else if (isCutOff() || forwarder.hedgeBudget().tryAcquire()) {
            tryNextEndpoint();
        }
    }

    /** Continues or finishes the call after the attempt of another host. Confined to the event loop. */
    private final class HandOverListener implements RequestHandOver.Listener {
        @Override
        public void onAnswerStarted() {
            List.copyOf(running).forEach(EndpointAttempt::abandon);
        }

        @Override
        public void onAnswered(EndpointAnswer head) {
            answeredInFull = head.isSuccess();
            finish(answeredInFull ? "answered" : "endpoint answered " + head.status(), head.status());
        }

        @Override
        public void onNotRun() {
            sends--;
            tryNextEndpoint();
        }

        @Override
        public void onFailed() {
            mayHaveRun = true;
            if (request.route().isRepeatable()) {
                tryNextEndpoint();
            } else {
                finishIfNoneRuns();
            }
        }

        @Override
        public void onInvalid() {
            finishInvalid();
        }

        @Override
        public void onBroken() {
            finish("broken in the answer", BAD_GATEWAY);
            sink.abort();
        }
    }

    /** A complete answer. Immutable, provided that headers and array are not changed. */
    private record BufferedAnswer(int status, HttpHeaders headers, byte[] body) {}

    /** One attempt at one endpoint. Confined to the event loop. */
    private final class EndpointAttempt implements EndpointClient.Listener {
        private final EndpointAnnouncement endpoint;
        private final long sentAt = Forwarder.now();
        private final AnswerBuffer buffered =
                sink.readsBody() ? AnswerBuffer.of(forwarder.answerBytes()) : AnswerBuffer.discarding();
        private EndpointClient.Attempt attempt;
        private EndpointAnswer head;
        private boolean answerStarted;
        private boolean ofSuspect;

        private EndpointAttempt(EndpointAnnouncement endpoint) {
            this.endpoint = endpoint;
        }

        private void send() {
            sends++;
            candidates.recordTried(endpoint.id());
            running.add(this);
            forwarder.loads().recordRequest(endpoint.id());
            room.attemptStarted(endpoint.id(), sentAt);
            ofSuspect = isSuspect();
            if (ofSuspect) {
                forwarder.crashMonitor().suspectStarted(endpoint.id());
            }
            HttpHeaders headers = request.forwardedHeaders();
            headers.set(PlatformHeaders.DEADLINE, Math.max(1, request.deadline() - sentAt));
            headers.set(PlatformHeaders.EXPECTED_ENDPOINT, endpoint.id().value());
            headers.remove(HttpHeaderNames.ACCEPT_ENCODING);
            scheduleHedge(endpoint);
            scheduleSilenceCheck(this);
            EndpointClient.Request sent = new EndpointClient.Request(
                    endpoint.address(), request.method(), request.uri(), headers, request.body());
            try {
                attempt = forwarder.client().send(sent, request::refusal, this);
            } catch (IllegalArgumentException failure) {
                recordOutcome("not sent", failure.getMessage());
                finishInvalid();
            }
        }

        /** Returns whether no endpoint of the service has answered this process since the attempt began. */
        private boolean isSilent() {
            return running.contains(this) && !forwarder.crashMonitor().hasAnsweredSince(endpoint.service(), sentAt);
        }

        private boolean isUnsent() {
            return attempt == null || !attempt.isSent();
        }

        /** Tells the listener once that the request has run; an earlier attempt that is still open began before this one. */
        private void reportRan() {
            boolean isNotRun = isUnsent() || head != null && head.isNotExecuted();
            if (!ranIsReported && !isNotRun) {
                ranIsReported = true;
                LongStream open =
                        running.stream().filter(other -> !other.isUnsent()).mapToLong(other -> other.sentAt);
                forwarder.runListener().requestRan(request, open.reduce(sentAt, Math::min));
            }
        }

        private void abandon() {
            removeFromRunning();
            buffered.discard();
            if (attempt != null) {
                attempt.cancel();
            }
        }

        /** An endpoint whose plain answer does not end in time is avoided, unless the caller was slower than the endpoint. */
        private void recordUnfinished() {
            if (answerStarted && request.route().kind() != RouteKind.STREAMING && sink.isWritable()) {
                forwarder.loads().recordFailure(endpoint.id(), Forwarder.now());
                recordOutcome("unfinished", String.valueOf(head.status()));
            }
        }

        /** Ends the attempt with the call. Unless another attempt was answered, an endpoint that is silent is checked. */
        private void endUnanswered() {
            reportRan();
            abandon();
            boolean mayRunThere = !answeredInFull && attempt != null && attempt.isSent();
            if (mayRunThere && forwarder.crashMonitor().isSilentSince(endpoint.id(), sentAt)) {
                checkForCrash(CrashMonitor.End.UNANSWERED, () -> {});
            }
        }

        private void removeFromRunning() {
            if (running.remove(this)) {
                forwarder.loads().recordEnd(endpoint.id());
                room.attemptEnded(endpoint.id(), sentAt, head != null && head.isSuccess());
                if (ofSuspect) {
                    forwarder.crashMonitor().suspectEnded(endpoint.id());
                }
            }
        }

        @Override
        public void onHead(EndpointAnswer answer) {
            head = answer;
            reportRan();
            forwarder.crashMonitor().endpointAnswered(endpoint);
            forwarder.limits().observe(endpoint.id(), answer);
            forwarder.leaving().observe(endpoint, answer);
            forwarder.probes().recordLoad(endpoint, answer);
            if (request.route().kind() == RouteKind.STREAMING && mayBePassedInParts()) {
                startAnswer();
            }
        }

        private boolean mayBePassedInParts() {
            return head.isSuccess() && sink.readsBody();
        }

        private void startAnswer() {
            answerStarted = true;
            List.copyOf(running).stream().filter(other -> other != this).forEach(EndpointAttempt::abandon);
            handOver.cancel();
            cancel(hedgeTimer);
            recordOrigin();
            sink.begin(head.status(), ForwardedHeaders.copy(head.headers()));
            byte[] bytes = buffered.take();
            if (bytes.length > 0) {
                pass(bytes);
            }
        }

        /** Recorded before the caller gets the first event, because it may resume at another host right after it. */
        private void recordOrigin() {
            if (request.route().kind() == RouteKind.STREAMING && request.route().resumable()) {
                StreamOrigin origin = candidates
                        .restriction()
                        .orElseGet(
                                () -> new StreamOrigin(request.id(), endpoint.service(), endpoint.softwareVersion()));
                forwarder.streams().record(origin, request.deadline());
            }
        }

        @Override
        public void onContent(byte[] bytes) {
            forwarder.crashMonitor().endpointAnswered(endpoint);
            if (answerStarted) {
                pass(bytes);
            } else if (buffered.append(bytes)) {
                return;
            } else if (mayBePassedInParts()) {
                startAnswer();
                pass(bytes);
            } else {
                handleTooLongAnswer();
            }
        }

        /** Passes a part on, and reads no more while the caller is slower than the endpoint. */
        private void pass(byte[] bytes) {
            sink.part(bytes);
            if (!sink.isWritable()) {
                attempt.setReading(false);
                sink.onWritable(() -> attempt.setReading(true));
            }
        }

        private void handleTooLongAnswer() {
            abandon();
            forwarder.loads().recordFailure(endpoint.id(), Forwarder.now());
            recordOutcome("failed", head.status() + " with a body that is too long to be buffered");
            if (head.isNotExecuted()) {
                markUnavailable();
                tryNextEndpoint();
            } else {
                mayHaveRun = true;
                retryIfRepeatable();
            }
        }

        @Override
        public void onEnd() {
            removeFromRunning();
            long now = Forwarder.now();
            if (head.isNotExecuted()) {
                handleNotExecuted(now);
            } else if (head.isSuccess()) {
                forwarder.loads().recordAnswer(endpoint.id(), now - sentAt, head.slowdown());
                recordOutcome("answered", String.valueOf(head.status()));
                deliver();
            } else {
                handleErrorAnswer(now);
            }
        }

        private void deliver() {
            if (!request.mustRun() && !forwarder.crashes().isEmpty()) {
                forwarder.crashes().recordAnswer(fingerprint());
            }
            answeredInFull = true;
            finish("answered", head.status());
            if (answerStarted) {
                sink.end();
            } else {
                sink.complete(head.status(), ForwardedHeaders.copy(head.headers()), buffered.take());
            }
        }

        /** The endpoint did not run the request, so it may be sent to another one, whatever the kind of the route. */
        private void handleNotExecuted(long now) {
            buffered.discard();
            markUnavailable();
            forwarder.loads().recordFailure(endpoint.id(), now);
            recordOutcome("not executed", String.valueOf(head.status()));
            tryNextEndpoint();
        }

        /**
         * Excludes the endpoint from further attempts of this request: an endpoint that is full or unreachable is unlikely
         * to become available within milliseconds. The attempt does not count towards the maximum of the route.
         */
        private void markUnavailable() {
            sends--;
            refusals++;
            candidates.recordUnavailable(endpoint.id());
        }

        private void handleErrorAnswer(long now) {
            boolean lacksDigest = head.status() < 300;
            byte[] body = buffered.take();
            mayHaveRun = true;
            recordOutcome("failed", (lacksDigest ? "no digest in " : "") + head.status());
            if (lacksDigest) {
                forwarder.loads().recordFailure(endpoint.id(), now);
            } else {
                internalErrors += head.status() == INTERNAL_ERROR ? 1 : 0;
                lastErrorAnswer =
                        Optional.of(new BufferedAnswer(head.status(), ForwardedHeaders.copy(head.headers()), body));
            }
            retryIfRepeatable();
        }

        @Override
        public void onFailure(Failure failure, String reason) {
            reportRan();
            removeFromRunning();
            buffered.discard();
            if (failure == Failure.WITHHELD) {
                handleWithheld(reason);
                return;
            }
            forwarder.loads().recordFailure(endpoint.id(), Forwarder.now());
            recordOutcome(failure == Failure.NOT_SENT ? "not sent" : "broken", reason);
            if (answerStarted) {
                checkForCrash(CrashMonitor.End.BROKEN, () -> {});
                finish("broken in the answer", BAD_GATEWAY);
                sink.abort();
            } else if (failure == Failure.NOT_SENT) {
                markUnavailable();
                unsent++;
                forwarder.handOver().reach().verify(request.service());
                tryNextEndpointAfterVerification();
            } else {
                retryAfterCheck();
            }
        }

        /** What withholds the request concerns this host and no endpoint, so that no other endpoint is tried. */
        private void handleWithheld(String reason) {
            sends--;
            recordOutcome("withheld", reason);
            if (isIdle()) {
                finishWithheld();
            }
        }

        /**
         * Checks whether the endpoint crashed. A suspect is retried only when the result is known, because this crash may be
         * the one that quarantines it; other requests are retried at once.
         */
        private void retryAfterCheck() {
            boolean awaitsResult = isSuspect();
            mayHaveRun = true;
            hasBroken = true;
            checkForCrash(CrashMonitor.End.BROKEN, awaitsResult ? this::retryIfRepeatable : () -> {});
            if (!awaitsResult) {
                retryIfRepeatable();
            }
        }

        /** An answer in full shows that the crash had another cause, also if it arrives before the result of the check. */
        private boolean countsCrashes() {
            return !request.mustRun() && !answeredInFull;
        }

        private void checkForCrash(CrashMonitor.End end, Runnable onChecked) {
            forwarder
                    .crashMonitor()
                    .attemptEnded(
                            endpoint,
                            new CrashMonitor.BrokenAttempt(
                                    request.id(), fingerprint(), end, this::countsCrashes, onChecked));
        }

        private void retryIfRepeatable() {
            if (finished) {
                return;
            }
            if (request.route().isRepeatable()) {
                tryNextEndpoint();
            } else {
                finishIfNoneRuns();
            }
        }

        private void recordOutcome(String outcome, String detail) {
            forwarder.metrics().attemptFinished(outcome);
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
