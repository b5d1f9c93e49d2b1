package io.rosemarybeam.entry;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import io.rosemarybeam.common.collection.LeastRecentlyUsedMap;
import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;
import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.IdempotencyKey;
import io.rosemarybeam.common.id.RequestId;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.wire.ControlReply.ClaimReply;
import io.rosemarybeam.common.wire.ControlReply.QuarantineState;
import io.rosemarybeam.common.wire.EndpointRecord;
import io.rosemarybeam.common.wire.EntryRequest;
import io.rosemarybeam.common.wire.RequestOutcome;
import io.rosemarybeam.decision.request.RequestCommand;
import io.rosemarybeam.decision.request.RequestCommand.RunState;
import io.rosemarybeam.decision.request.RequestCore;
import io.rosemarybeam.decision.request.RequestInput;
import io.rosemarybeam.decision.request.RequestInput.AttemptFailure;

/**
 * Feeds the request core and executes its commands.
 *
 * <p>Invariant: every submitted request is finished, replayed or refused exactly once. Confined to the decision thread,
 * except for {@link #submit}, {@link #feed} and the attempt notifications, which any thread may call.
 */
final class RequestDriver implements AttemptListener {
    private static final EventLog LOG = EventLog.of(RequestDriver.class);
    private static final Duration OUTCOME_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration CRASH_REPORT_TIMEOUT = Duration.ofSeconds(30);
    private static final int MAXIMUM_STORED_OUTCOMES = 1_024;

    private final RequestCore core;
    private final DecisionLoop loop;
    private final ControlGateway control;
    private final EntryIdentity identity;
    private final EntryMetrics metrics;
    private final Membership membership;
    private final Quarantine quarantine;
    private final Map<RequestId, PendingRequest> pendingRequests = new HashMap<>();
    private final Map<RequestId, RequestOutcome> outcomes = new LeastRecentlyUsedMap<>(MAXIMUM_STORED_OUTCOMES);
    private final Map<ClaimKey, CompletableFuture<Void>> pendingReleases = new HashMap<>();
    private EndpointClient endpoints;
    private SampleProgress sampleProgress = (request, endpoint, tokens) -> {};

    /** Identifies a claim. */
    private record ClaimKey(ServiceName service, IdempotencyKey key) {}

    /** Receives the progress of requests. Called on the decision thread. */
    @FunctionalInterface
    interface SampleProgress {
        /**
         * Reports the progress of a request.
         *
         * @param request the request
         * @param endpoint endpoint that runs it
         * @param tokens tokens received so far
         */
        void onProgress(RequestId request, EndpointId endpoint, int tokens);
    }

    RequestDriver(
            RequestCore core,
            DecisionLoop loop,
            ControlGateway control,
            EntryIdentity identity,
            EntryMetrics metrics,
            Membership membership) {
        this.core = core;
        this.loop = loop;
        this.control = control;
        this.identity = identity;
        this.metrics = metrics;
        this.membership = membership;
        this.quarantine = new Quarantine();
    }

    void connect(EndpointClient client, SampleProgress progress) {
        endpoints = client;
        sampleProgress = progress;
    }

    Quarantine quarantine() {
        return quarantine;
    }

    RequestCore core() {
        return core;
    }

    int openRequests() {
        return pendingRequests.size();
    }

    /**
     * Submits a request.
     *
     * @param pendingRequest the request
     * @param arrival the input that announces it to the core
     */
    void submit(PendingRequest pendingRequest, RequestInput.RequestArrived arrival) {
        loop.execute(() -> {
            pendingRequests.put(arrival.request(), pendingRequest);
            handle(arrival);
        });
    }

    /** Passes an input to the core on the decision thread. May be called by any thread. */
    void feed(RequestInput input) {
        loop.execute(() -> handle(input));
    }

    void handle(RequestInput input) {
        List<RequestCommand> commands = core.handle(loop.now(), input);
        for (RequestCommand command : commands) {
            try {
                execute(command);
            } catch (RuntimeException failure) {
                LOG.log(
                        Event.HANDLER_FAILED,
                        failure,
                        "command",
                        command.getClass().getSimpleName());
            }
        }
    }

    private void execute(RequestCommand command) {
        switch (command) {
            case RequestCommand.StartAttempt start -> startAttempt(start);
            case RequestCommand.CancelAttempt cancel -> endpoints.cancel(cancel.attempt(), this::canCancel);
            case RequestCommand.FinishRequest finish -> finish(finish.request());
            case RequestCommand.ReplayOutcome replay -> replay(replay);
            case RequestCommand.RefuseRequest refuse -> refuse(refuse);
            case RequestCommand.RequestClaim claim -> claim(claim);
            case RequestCommand.RecordOutcome record -> record(record);
            case RequestCommand.ReportCrash report -> report(report);
        }
    }

    private void startAttempt(RequestCommand.StartAttempt start) {
        PendingRequest pendingRequest = pendingRequests.get(start.request());
        if (pendingRequest == null) {
            feed(new RequestInput.AttemptFailed(start.attempt(), AttemptFailure.CONNECT_FAILED));
            return;
        }
        try {
            endpoints.start(start, pendingRequest);
        } catch (IllegalArgumentException malformedAddress) {
            LOG.log(Event.HANDLER_FAILED, malformedAddress, "endpoint", start.endpoint());
            feed(new RequestInput.AttemptFailed(start.attempt(), AttemptFailure.CONNECT_FAILED));
        }
    }

    private boolean canCancel(EndpointId endpoint) {
        return membership.endpoint(endpoint).map(EndpointRecord::cancels).orElse(false);
    }

    @Override
    public void onSent(AttemptStream attempt) {
        feed(new RequestInput.AttemptSent(attempt.id()));
    }

    @Override
    public void onProgress(AttemptStream attempt, PendingRequest.Progress progress) {
        loop.execute(() -> {
            attempt.progressHandled();
            handleProgress(attempt, progress);
        });
    }

    private void handleProgress(AttemptStream attempt, PendingRequest.Progress progress) {
        handle(new RequestInput.AttemptProgressed(
                attempt.id(), progress.received(), progress.version(), progress.reachedCaller()));
        sampleProgress.onProgress(attempt.command().request(), attempt.command().endpoint(), progress.received());
    }

    @Override
    public void onCompleted(AttemptStream attempt, PendingRequest.Progress progress) {
        loop.execute(() -> {
            onAttemptEnded(attempt, null);
            handleProgress(attempt, progress);
            handle(new RequestInput.AttemptCompleted(attempt.id(), progress.received()));
        });
    }

    @Override
    public void onFailed(AttemptStream attempt, PendingRequest.Progress progress, AttemptFailure failure) {
        loop.execute(() -> {
            onAttemptEnded(attempt, failure);
            if (progress.received() > 0) {
                handleProgress(attempt, progress);
            }
            handle(new RequestInput.AttemptFailed(attempt.id(), failure));
        });
    }

    private void onAttemptEnded(AttemptStream attempt, AttemptFailure failure) {
        endpoints.onAttemptEnded(attempt, failure);
        metrics.countAttempt(attempt.pendingRequest().target().service().value(), failure);
    }

    // ---- Outcomes of requests ----

    private void finish(RequestId request) {
        PendingRequest pendingRequest = pendingRequests.remove(request);
        if (pendingRequest == null) {
            return;
        }
        pendingRequest.finish().ifPresent(outcome -> {
            countRequest(pendingRequest, "answered");
            if (pendingRequest.target().key().isPresent()
                    && !pendingRequest.target().idempotent()) {
                outcomes.put(request, outcome);
            }
        });
    }

    private void replay(RequestCommand.ReplayOutcome replay) {
        PendingRequest pendingRequest = pendingRequests.remove(replay.request());
        if (pendingRequest == null) {
            return;
        }
        countRequest(pendingRequest, "replayed");
        if (replay.outcome().truncated()) {
            pendingRequest.refuse(
                    new Problem(ErrorCode.OUTCOME_UNKNOWN, RunState.RUN, 0, "the answer was too large to be recorded"));
        } else {
            pendingRequest.replay(replay.outcome());
        }
    }

    private void refuse(RequestCommand.RefuseRequest refuse) {
        PendingRequest pendingRequest = pendingRequests.remove(refuse.request());
        if (pendingRequest != null) {
            metrics.countRefusal(refuse.code());
            countRequest(pendingRequest, "refused");
            pendingRequest.refuse(new Problem(
                    refuse.code(),
                    refuse.runState(),
                    refuse.retryAfterMilliseconds(),
                    refuse.code().description()));
        }
    }

    /**
     * Cancels a request whose caller disconnected.
     *
     * @param request the request
     */
    void cancel(RequestId request) {
        loop.execute(() -> {
            PendingRequest pendingRequest = pendingRequests.get(request);
            handle(new RequestInput.RequestCancelled(request));
            // A request that runs under a claim stays until its outcome is recorded, so that a resend by the caller is
            // answered.
            if (pendingRequest != null
                    && !pendingRequest.isRunningUnderClaim()
                    && pendingRequests.remove(request) != null) {
                pendingRequest.refuse(new Problem(
                        ErrorCode.CONNECTION_CLOSED, RunState.UNKNOWN, 0, "the caller closed its connection"));
                countRequest(pendingRequest, "cancelled");
            }
        });
    }

    private void countRequest(PendingRequest pendingRequest, String result) {
        long duration = loop.now() - pendingRequest.target().arrivedAtMilliseconds();
        metrics.countRequest(pendingRequest.target().service().value(), result, duration);
    }

    // ---- Claims and crashes ----

    private void claim(RequestCommand.RequestClaim claim) {
        CompletableFuture<Void> earlier = pendingReleases.get(new ClaimKey(claim.service(), claim.key()));
        if (earlier == null) {
            sendClaim(claim);
        } else {
            earlier.thenRun(() -> loop.execute(() -> claim(claim)));
        }
    }

    private void sendClaim(RequestCommand.RequestClaim claim) {
        long dispatchDeadline = loop.now() + claim.dispatchWindowMilliseconds();
        EntryRequest.ClaimRequest request = new EntryRequest.ClaimRequest(
                claim.service(),
                claim.key(),
                claim.fingerprint(),
                identity.name(),
                identity.incarnation(),
                claim.dispatchWindowMilliseconds(),
                claim.runWindowMilliseconds(),
                claim.request().value());
        control.request(request, Duration.ofMillis(claim.dispatchWindowMilliseconds()))
                .whenComplete((reply, failure) -> loop.execute(() -> {
                    if (reply instanceof ClaimReply answer) {
                        onClaim(claim.request(), answer, dispatchDeadline);
                    } else {
                        releaseClaim(claim);
                        handle(new RequestInput.ClaimFailed(claim.request()));
                    }
                }));
    }

    /**
     * Releases a claim whose answer did not arrive. The claim may have been granted and would then reject every resend
     * although nothing was run. The next claim of the key waits until the release is answered; otherwise the release
     * could remove that claim instead.
     */
    private void releaseClaim(RequestCommand.RequestClaim claim) {
        ClaimKey key = new ClaimKey(claim.service(), claim.key());
        CompletableFuture<Void> done = new CompletableFuture<>();
        pendingReleases.put(key, done);
        EntryRequest.RecordOutcome request = new EntryRequest.RecordOutcome(
                claim.service(),
                claim.key(),
                identity.name(),
                identity.incarnation(),
                Optional.empty(),
                claim.request().value());
        control.request(request, OUTCOME_TIMEOUT)
                .whenComplete((reply, failure) -> loop.execute(() -> {
                    pendingReleases.remove(key, done);
                    done.complete(null);
                }));
    }

    private void onClaim(RequestId request, ClaimReply answer, long dispatchDeadline) {
        handle(new RequestInput.ClaimAnswered(request, answer.state(), answer.outcome(), dispatchDeadline));
    }

    private void record(RequestCommand.RecordOutcome record) {
        Optional<RequestOutcome> outcome = record.completedBy().flatMap(attempt -> outcomeOf(record.request()));
        if (record.completedBy().isPresent() && outcome.isEmpty()) {
            return;
        }
        control.request(
                new EntryRequest.RecordOutcome(
                        record.service(),
                        record.key(),
                        identity.name(),
                        identity.incarnation(),
                        outcome,
                        record.request().value()),
                OUTCOME_TIMEOUT);
    }

    private Optional<RequestOutcome> outcomeOf(RequestId request) {
        PendingRequest pendingRequest = pendingRequests.get(request);
        if (pendingRequest != null) {
            return Optional.of(pendingRequest.outcome());
        }
        return Optional.ofNullable(outcomes.remove(request));
    }

    private void report(RequestCommand.ReportCrash report) {
        control.request(
                        new EntryRequest.ReportCrash(
                                report.service(), report.endpoint(), report.incarnation(), report.batch()),
                        CRASH_REPORT_TIMEOUT)
                .thenAccept(reply -> loop.execute(() -> {
                    if (reply instanceof QuarantineState state) {
                        quarantine.add(report.service(), state.quarantined(), state.quarantineCandidates(), loop.now());
                        handle(quarantine.asInput());
                    }
                }));
    }
}
