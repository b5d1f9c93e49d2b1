package io.rosemarybeam.replay;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

import io.rosemarybeam.common.configuration.OperatorConfiguration;
import io.rosemarybeam.common.configuration.ServiceConfiguration;
import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.id.AttemptId;
import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.Fingerprint;
import io.rosemarybeam.common.id.IdempotencyKey;
import io.rosemarybeam.common.id.RequestId;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.id.TrainerName;
import io.rosemarybeam.common.id.WeightVersion;
import io.rosemarybeam.common.wire.EndpointRecord;
import io.rosemarybeam.common.wire.MembershipDelta;
import io.rosemarybeam.common.wire.RequestOutcome;
import io.rosemarybeam.common.wire.StepRecords.VersionSpan;
import io.rosemarybeam.decision.request.RequestCommand;
import io.rosemarybeam.decision.request.RequestCommand.RunState;
import io.rosemarybeam.decision.request.RequestCore;
import io.rosemarybeam.decision.request.RequestInput;
import io.rosemarybeam.decision.request.RequestInput.AttemptFailure;
import io.rosemarybeam.decision.request.RequestInput.Precedence;
import org.apache.commons.codec.digest.DigestUtils;

/**
 * Simulated entry host: runs the request core and executes its commands on the endpoint models and the control model.
 *
 * <p>Invariant: inputs reach the core in order, and only while the entry is not paused. Confined to one thread.
 */
final class EntryModel implements EndpointModel.Listener, CallerModel.Entry {
    private static final long NETWORK_DELAY_MILLISECONDS = 2;
    private static final long LEASE_MILLISECONDS = 3_000;

    /** A crashed endpoint that has not restarted is removed from the membership after this delay. */
    private static final long ENDPOINT_LEASE_MILLISECONDS = 5_000;

    /** New attempts are allowed this long after an endpoint left, because the notice reaches the core with a delay. */
    private static final long LEAVE_GRACE_MILLISECONDS = 2_000;

    private static final long RETRY_DELAY_MILLISECONDS = 500;

    /** Number of crashed endpoint incarnations after which a request is quarantined. */
    private static final int CRASHES_TO_QUARANTINE = 2;

    /** Receives the progress and the outcome of training requests. */
    interface SampleHandler {
        /** Part of the answer arrived; tokens is the total so far. */
        void progressed(RequestId request, EndpointId endpoint, int tokens);

        /** The complete answer arrived. */
        void generated(RequestId request, List<VersionSpan> spans);

        /** The request was refused. */
        void failed(RequestId request, ErrorCode code, long retryAfterMilliseconds);
    }

    /** An open request at the entry; without a caller it is a training request. */
    private static final class RequestState {
        final CallerModel.Call call;
        final Optional<CallerModel.AnswerHandler> caller;
        final List<VersionSpan> spans = new ArrayList<>();
        int received;
        boolean executed;

        RequestState(CallerModel.Call call, Optional<CallerModel.AnswerHandler> caller) {
            this.call = call;
            this.caller = caller;
        }
    }

    /** An attempt that runs at an endpoint. */
    private static final class AttemptState {
        final RequestId request;
        final EndpointModel endpoint;
        final long progressMilliseconds;
        long lastByteAt;

        AttemptState(RequestId request, EndpointModel endpoint, long progressMilliseconds, long now) {
            this.request = request;
            this.endpoint = endpoint;
            this.progressMilliseconds = progressMilliseconds;
            this.lastByteAt = now;
        }
    }

    final TreeMap<EndpointId, EndpointModel> endpoints = new TreeMap<>();
    private final VirtualTime time;
    private final Measures measures;
    private final ControlModel control;
    private final RequestCore core;
    private final Map<RequestId, RequestState> requests = new HashMap<>();
    private final Map<AttemptId, AttemptState> attempts = new HashMap<>();
    private final Map<String, Integer> runsByKey = new HashMap<>();
    private final Map<EndpointId, Long> departedAt = new HashMap<>();
    private final Map<EndpointId, Long> reportSequences = new HashMap<>();
    private final Map<Fingerprint, Set<String>> crashes = new HashMap<>();
    private final Map<ServiceName, Set<Fingerprint>> quarantined = new HashMap<>();
    private final Set<Fingerprint> quarantineCandidates = new HashSet<>();
    private final Set<EndpointId> droppedCacheReports = new HashSet<>();
    private final ArrayDeque<RequestInput> pendingInputs = new ArrayDeque<>();
    private boolean handling;
    private SampleHandler sampleHandler;
    private OperatorConfiguration configuration;
    private long pausedUntil = -1;
    private long leaseLostUntil = -1;
    private long loadReportDelayMilliseconds;
    private long membershipVersion = 1;
    private long lastRequest;
    private final List<Consumer<MembershipDelta>> membershipListeners = new ArrayList<>();

    EntryModel(VirtualTime time, Measures measures, ControlModel control, RequestCore core) {
        this.time = time;
        this.measures = measures;
        this.control = control;
        this.core = core;
    }

    void start(SampleHandler handler) {
        sampleHandler = handler;
        renewLease();
        time.every(1_000, this::renewLease);
        time.every(10, () -> enqueue(new RequestInput.Tick()));
        time.every(100, this::failSilentAttempts);
        time.every(EndpointModel.QUANTUM_MILLISECONDS, this::advance);
        time.every(1_000, this::report);
    }

    void addMembershipListener(Consumer<MembershipDelta> listener) {
        membershipListeners.add(listener);
    }

    /** Runs an action now, or at the end of the pause if the entry is paused. */
    void runWhenNotPaused(Runnable action) {
        if (time.now() < pausedUntil) {
            time.at(pausedUntil, () -> runWhenNotPaused(action));
        } else {
            action.run();
        }
    }

    /** Passes an input to the core; inputs that arise while a command is executed are handled after it. */
    void enqueue(RequestInput input) {
        runWhenNotPaused(() -> {
            pendingInputs.add(input);
            if (handling) {
                return;
            }
            handling = true;
            while (!pendingInputs.isEmpty()) {
                core.handle(time.now(), pendingInputs.removeFirst()).forEach(this::execute);
            }
            handling = false;
        });
    }

    Optional<ServiceConfiguration> service(ServiceName name) {
        return configuration == null ? Optional.empty() : configuration.service(name);
    }

    // Events of the trace.

    void activate(OperatorConfiguration value) {
        configuration = value;
        enqueue(new RequestInput.ConfigurationActivated(value));
        Map<ServiceName, Integer> shares = new HashMap<>();
        value.services()
                .forEach((name, service) -> shares.put(name, service.limits().maximumConcurrent()));
        enqueue(new RequestInput.SharesAssigned(shares));
    }

    void announce(EndpointModel endpoint) {
        endpoints.put(endpoint.record.id(), endpoint);
        membershipChanged(endpoint);
    }

    /** Publishes the record of an endpoint, as it is when the call reaches the control process. Retries until it succeeds. */
    void membershipChanged(EndpointModel endpoint) {
        control.call(
                () -> endpoint.record,
                current -> publishMembership(List.of(current), List.of()),
                () -> time.after(RETRY_DELAY_MILLISECONDS, () -> membershipChanged(endpoint)));
    }

    void leave(EndpointId id) {
        EndpointModel endpoint = endpoints.get(id);
        endpoint.record = endpoint.record.asLeaving();
        departedAt.put(id, time.now());
        membershipChanged(endpoint);
    }

    void crash(EndpointModel endpoint, long restartAfterMilliseconds) {
        if (endpoint.down) {
            return;
        }
        endpoint.down = true;
        endpoint.dropAll().forEach(attempt -> fail(attempt, AttemptFailure.BROKEN));
        EndpointRecord previous = endpoint.record;
        time.after(ENDPOINT_LEASE_MILLISECONDS, () -> {
            if (endpoint.down) {
                publishMembership(List.of(), List.of(previous.id()));
            }
        });
        time.after(restartAfterMilliseconds, () -> restart(endpoint));
    }

    /** Announces the endpoint with its next incarnation. */
    private void restart(EndpointModel endpoint) {
        EndpointRecord previous = endpoint.record;
        endpoint.record = new EndpointRecord(
                previous.id(),
                previous.incarnation() + 1,
                previous.service(),
                previous.address(),
                previous.failureDomain(),
                previous.capacity(),
                previous.checksFencing(),
                previous.resumes(),
                previous.cancels(),
                previous.transfersKeyValueCache(),
                previous.weightVersion(),
                previous.leaving());
        endpoint.down = false;
        reportSequences.remove(previous.id());
        membershipChanged(endpoint);
    }

    void pause(long milliseconds) {
        pausedUntil = Math.max(pausedUntil, time.now() + milliseconds);
    }

    void loseLease(long milliseconds) {
        leaseLostUntil = Math.max(leaseLostUntil, time.now() + milliseconds);
    }

    void setLoadReportDelay(long milliseconds) {
        loadReportDelayMilliseconds = milliseconds;
    }

    void dropNextCacheReport(EndpointId id) {
        droppedCacheReports.add(id);
    }

    // Requests of callers and trainers.

    @Override
    public void send(CallerModel.Call call, CallerModel.AnswerHandler handler) {
        lastRequest++;
        RequestId request = RequestId.of(call.id() + "-sent-" + lastRequest);
        requests.put(request, new RequestState(call, Optional.of(handler)));
        long deadline = service(call.service())
                .map(service -> service.deadlines().totalMilliseconds())
                .orElse(30_000L);
        arrive(request, call, Precedence.CUSTOMER, Optional.empty(), call.tokens(), time.now() + deadline, 0, Set.of());
    }

    void submit(
            RequestId request,
            CallerModel.Call call,
            TrainerName trainer,
            int expectedTokens,
            long deadline,
            WeightVersion minimumVersion,
            Set<EndpointId> avoid) {
        requests.put(request, new RequestState(call, Optional.empty()));
        arrive(
                request,
                call,
                Precedence.TRAINING,
                Optional.of(trainer),
                expectedTokens,
                deadline,
                minimumVersion.value(),
                avoid);
    }

    void cancel(RequestId request) {
        if (requests.remove(request) != null) {
            enqueue(new RequestInput.RequestCancelled(request));
        }
    }

    private void arrive(
            RequestId request,
            CallerModel.Call call,
            Precedence precedence,
            Optional<TrainerName> trainer,
            int expectedTokens,
            long deadline,
            long minimumVersion,
            Set<EndpointId> avoid) {
        enqueue(new RequestInput.RequestArrived(
                request,
                call.service(),
                precedence,
                trainer,
                call.idempotent(),
                call.key(),
                fingerprint(call),
                List.of(prefixHash(call)),
                expectedTokens,
                deadline,
                minimumVersion > 0 ? Optional.of(WeightVersion.of(minimumVersion)) : Optional.empty(),
                avoid));
    }

    private static Fingerprint fingerprint(CallerModel.Call call) {
        return Fingerprint.of(DigestUtils.sha256Hex(call.service() + "/" + call.id()));
    }

    private static long prefixHash(CallerModel.Call call) {
        return call.prefix().hashCode();
    }

    // Commands of the core.

    private void execute(RequestCommand command) {
        switch (command) {
            case RequestCommand.StartAttempt start -> startAttempt(start);
            case RequestCommand.CancelAttempt cancel -> {
                AttemptState state = attempts.remove(cancel.attempt());
                if (state != null) {
                    time.after(NETWORK_DELAY_MILLISECONDS, () -> state.endpoint.cancel(cancel.attempt()));
                }
            }
            case RequestCommand.FinishRequest finish -> finish(finish);
            case RequestCommand.ReplayOutcome replay -> {
                RequestState state = requests.remove(replay.request());
                int tokens = Integer.parseInt(new String(replay.outcome().body(), StandardCharsets.UTF_8));
                state.caller.ifPresent(caller -> caller.answered(tokens));
            }
            case RequestCommand.RefuseRequest refuse -> refuse(refuse);
            case RequestCommand.RequestClaim claim -> claim(claim);
            case RequestCommand.RecordOutcome record -> record(record);
            case RequestCommand.ReportCrash report -> report(report);
        }
    }

    private void startAttempt(RequestCommand.StartAttempt start) {
        RequestState state = requests.get(start.request());
        EndpointModel endpoint = endpoints.get(start.endpoint());
        if (state == null) {
            return;
        }
        Long departureTime = departedAt.get(start.endpoint());
        measures.checkPromise(
                "no new work for an endpoint that left",
                departureTime == null || time.now() <= departureTime + LEAVE_GRACE_MILLISECONDS,
                start.endpoint().toString());
        attempts.put(
                start.attempt(), new AttemptState(start.request(), endpoint, start.progressMilliseconds(), time.now()));
        truncate(state, start.resumeOffset());
        time.after(NETWORK_DELAY_MILLISECONDS, () -> {
            if (!attempts.containsKey(start.attempt())) {
                return;
            }
            if (endpoint.down) {
                fail(start.attempt(), AttemptFailure.CONNECT_FAILED);
            } else if (endpoint.partiallySwapped) {
                fail(start.attempt(), AttemptFailure.REFUSED_NOT_RUN);
            } else {
                run(start, state, endpoint);
            }
        });
    }

    private void run(RequestCommand.StartAttempt start, RequestState state, EndpointModel endpoint) {
        state.executed = true;
        state.call.key().ifPresent(key -> {
            int runs = runsByKey.merge(state.call.service() + "/" + key, 1, Integer::sum);
            measures.checkPromise("a non-idempotent request runs at most once", runs == 1, state.call.id());
        });
        enqueue(new RequestInput.AttemptSent(start.attempt()));
        endpoint.start(new EndpointModel.Job(
                start.attempt(),
                start.enginePriority(),
                start.resumeOffset(),
                state.call.tokens(),
                state.call.promptTokens(),
                prefixHash(state.call),
                state.call.poisoned()));
    }

    /** Discards the tokens after the offset at which an attempt resumes, together with their version spans. */
    private static void truncate(RequestState state, int offset) {
        List<VersionSpan> retained = new ArrayList<>();
        int remaining = offset;
        for (VersionSpan span : state.spans) {
            int tokens = Math.min(remaining, span.tokens());
            if (tokens > 0) {
                retained.add(new VersionSpan(span.version(), tokens));
                remaining -= tokens;
            }
        }
        state.spans.clear();
        state.spans.addAll(retained);
        state.received = offset;
    }

    private void finish(RequestCommand.FinishRequest finish) {
        RequestState state = requests.remove(finish.request());
        if (state == null) {
            return;
        }
        if (state.caller.isPresent()) {
            state.caller.get().answered(state.received);
        } else {
            sampleHandler.generated(finish.request(), List.copyOf(state.spans));
        }
    }

    private void refuse(RequestCommand.RefuseRequest refuse) {
        RequestState state = requests.remove(refuse.request());
        if (state == null) {
            return;
        }
        if (state.caller.isPresent()) {
            if (refuse.runState() == RunState.NOT_RUN) {
                measures.checkPromise("refused as not run means not run", !state.executed, state.call.id());
            }
            measures.count("refusals of customers " + refuse.code());
            state.caller.get().refused(refuse.runState(), refuse.retryAfterMilliseconds());
        } else {
            measures.count("refusals of samples " + refuse.code());
            sampleHandler.failed(refuse.request(), refuse.code(), refuse.retryAfterMilliseconds());
        }
    }

    private void claim(RequestCommand.RequestClaim claim) {
        long sentAt = time.now();
        control.call(
                () -> control.claim(
                        claim.service(),
                        claim.key(),
                        claim.fingerprint().value(),
                        claim.dispatchWindowMilliseconds() + claim.runWindowMilliseconds()),
                answer -> enqueue(new RequestInput.ClaimAnswered(
                        claim.request(),
                        answer.state(),
                        answer.outcome(),
                        sentAt + claim.dispatchWindowMilliseconds())),
                () -> enqueue(new RequestInput.ClaimFailed(claim.request())));
    }

    private void record(RequestCommand.RecordOutcome record) {
        RequestState state = requests.get(record.request());
        Optional<RequestOutcome> outcome = record.completedBy().map(attempt -> {
            String tokens = Integer.toString(state == null ? 0 : state.received);
            return new RequestOutcome(200, Map.of(), tokens.getBytes(StandardCharsets.UTF_8), false);
        });
        recordOutcome(record.service(), record.key(), outcome);
    }

    private void recordOutcome(ServiceName service, IdempotencyKey key, Optional<RequestOutcome> outcome) {
        control.call(
                () -> control.recordOutcome(service, key, outcome),
                accepted -> {},
                () -> time.after(RETRY_DELAY_MILLISECONDS, () -> recordOutcome(service, key, outcome)));
    }

    /** Records a crash at the control process and quarantines requests that crashed several incarnations. */
    private void report(RequestCommand.ReportCrash report) {
        control.call(
                () -> {
                    for (Fingerprint fingerprint : report.batch()) {
                        Set<String> crashedIncarnations =
                                crashes.computeIfAbsent(fingerprint, unused -> new HashSet<>());
                        crashedIncarnations.add(report.endpoint() + "/" + report.incarnation());
                        if (crashedIncarnations.size() >= CRASHES_TO_QUARANTINE) {
                            quarantined
                                    .computeIfAbsent(report.service(), unused -> new HashSet<>())
                                    .add(fingerprint);
                            quarantineCandidates.remove(fingerprint);
                        } else {
                            quarantineCandidates.add(fingerprint);
                        }
                    }
                    return true;
                },
                accepted -> enqueue(new RequestInput.QuarantineChanged(quarantined, quarantineCandidates)),
                () -> time.after(RETRY_DELAY_MILLISECONDS, () -> report(report)));
    }

    // Notifications and reports of endpoints.

    @Override
    public void progressed(AttemptId attempt, int tokens, Optional<WeightVersion> version) {
        AttemptState state = attempts.get(attempt);
        RequestState request = state == null ? null : requests.get(state.request);
        if (request == null) {
            return;
        }
        state.lastByteAt = time.now();
        int added = tokens - request.received;
        request.received = tokens;
        version.ifPresent(reportedVersion -> addSpan(request.spans, reportedVersion, added));
        enqueue(new RequestInput.AttemptProgressed(attempt, tokens, version, request.caller.isPresent()));
        if (request.caller.isEmpty()) {
            sampleHandler.progressed(state.request, state.endpoint.record.id(), tokens);
        }
    }

    private static void addSpan(List<VersionSpan> spans, WeightVersion version, int tokens) {
        if (!spans.isEmpty() && spans.getLast().version().equals(version)) {
            VersionSpan last = spans.removeLast();
            spans.add(new VersionSpan(version, last.tokens() + tokens));
        } else {
            spans.add(new VersionSpan(version, tokens));
        }
    }

    @Override
    public void completed(AttemptId attempt, int tokens) {
        if (attempts.remove(attempt) != null) {
            enqueue(new RequestInput.AttemptCompleted(attempt, tokens));
        }
    }

    @Override
    public void crashed(EndpointModel endpoint) {
        measures.endpointsCrashedByPoison++;
        crash(endpoint, 10_000);
    }

    void fail(AttemptId attempt, AttemptFailure failure) {
        if (attempts.remove(attempt) != null) {
            measures.count("attempts failed " + failure);
            enqueue(new RequestInput.AttemptFailed(attempt, failure));
        }
    }

    private void failSilentAttempts() {
        if (time.now() < pausedUntil) {
            return;
        }
        List<AttemptId> silent = new ArrayList<>();
        attempts.forEach((attempt, state) -> {
            if (time.now() > state.lastByteAt + state.progressMilliseconds) {
                silent.add(attempt);
            }
        });
        silent.sort(null);
        for (AttemptId attempt : silent) {
            attempts.get(attempt).endpoint.cancel(attempt);
            fail(attempt, AttemptFailure.SILENT);
        }
    }

    private void advance() {
        endpoints.values().forEach(endpoint -> endpoint.advance(time.now()));
    }

    /** Sends the load and cache reports of all endpoints, with the configured delay. */
    private void report() {
        for (EndpointModel endpoint : endpoints.values()) {
            if (endpoint.down) {
                continue;
            }
            EndpointRecord record = endpoint.record;
            long sequence = reportSequences.merge(record.id(), 1L, Long::sum);
            long measuredAt = time.now();
            int running = endpoint.running();
            int waiting = endpoint.waiting();
            List<Long> added = endpoint.takeAddedPrefixes();
            List<Long> removed = endpoint.takeRemovedPrefixes();
            boolean lost = droppedCacheReports.remove(record.id());
            time.after(loadReportDelayMilliseconds, () -> {
                enqueue(new RequestInput.LoadReported(
                        record.id(), record.incarnation(), sequence, running, waiting, measuredAt));
                if (!lost) {
                    enqueue(new RequestInput.CacheReported(
                            record.id(), record.incarnation(), sequence, added, removed));
                }
            });
        }
    }

    // Membership and lease.

    private void publishMembership(List<EndpointRecord> changed, List<EndpointId> removed) {
        MembershipDelta delta =
                new MembershipDelta(membershipVersion, membershipVersion + 1, changed, removed, List.of(), List.of());
        membershipVersion++;
        enqueue(new RequestInput.MembershipChanged(delta));
        membershipListeners.forEach(listener -> listener.accept(delta));
    }

    private void renewLease() {
        long sentAt = time.now();
        if (sentAt < leaseLostUntil || sentAt < pausedUntil) {
            return;
        }
        control.call(
                () -> true, accepted -> enqueue(new RequestInput.LeaseRenewed(sentAt + LEASE_MILLISECONDS)), () -> {});
    }
}
