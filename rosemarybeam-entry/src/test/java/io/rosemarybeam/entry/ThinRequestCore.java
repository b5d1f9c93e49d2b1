package io.rosemarybeam.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.id.AttemptId;
import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.RequestId;
import io.rosemarybeam.common.wire.ControlReply.ClaimState;
import io.rosemarybeam.common.wire.EndpointRecord;
import io.rosemarybeam.decision.request.RequestCommand;
import io.rosemarybeam.decision.request.RequestCommand.RunState;
import io.rosemarybeam.decision.request.RequestCore;
import io.rosemarybeam.decision.request.RequestInput;
import io.rosemarybeam.decision.request.RequestInput.AttemptFailure;
import io.rosemarybeam.decision.request.RequestInput.RequestArrived;

/** Runs every request on the first endpoint, and on the next one after a failure. Confined to one thread. */
final class ThinRequestCore implements RequestCore {
    static final long CONNECT_MILLISECONDS = 300;
    static final long PROGRESS_MILLISECONDS = 400;

    private final Map<EndpointId, EndpointRecord> endpoints = new HashMap<>();
    private final Map<RequestId, State> requests = new HashMap<>();
    private final Map<AttemptId, RequestId> attempts = new HashMap<>();
    private final Set<RequestId> claimed = new HashSet<>();
    private long leaseUntil;
    private long dispatchDeadline = Long.MAX_VALUE;
    private boolean draining;

    /** One request. */
    private static final class State {
        private final RequestArrived arrived;
        private final Set<EndpointId> tried = new HashSet<>();
        private int received;
        private boolean reached;
        private boolean sent;
        private int number;

        private State(RequestArrived arrived) {
            this.arrived = arrived;
        }
    }

    @Override
    public List<RequestCommand> handle(long now, RequestInput input) {
        List<RequestCommand> commands = new ArrayList<>();
        switch (input) {
            case RequestInput.LeaseRenewed lease -> leaseUntil = lease.validUntilMilliseconds();
            case RequestInput.DrainStarted drain -> draining = true;
            case RequestInput.MembershipChanged changed ->
                changed.delta().endpoints().forEach(endpoint -> endpoints.put(endpoint.id(), endpoint));
            case RequestArrived arrived -> arrive(now, arrived, commands);
            case RequestInput.ClaimAnswered answered -> claim(now, answered, commands);
            case RequestInput.ClaimFailed failed -> refuse(requests.get(failed.request()), RunState.NOT_RUN, commands);
            case RequestInput.RequestCancelled cancelled -> cancel(cancelled.request(), commands);
            case RequestInput.AttemptSent sent -> state(sent.attempt()).ifPresent(state -> state.sent = true);
            case RequestInput.AttemptProgressed progress ->
                state(progress.attempt()).ifPresent(state -> {
                    state.received = progress.tokens();
                    state.reached = progress.reachedCaller();
                });
            case RequestInput.AttemptCompleted completed -> complete(completed.attempt(), commands);
            case RequestInput.AttemptFailed failed ->
                state(failed.attempt()).ifPresent(state -> fail(now, state, failed.failure(), commands));
            default -> {}
        }
        return commands;
    }

    private Optional<State> state(AttemptId attempt) {
        return Optional.ofNullable(attempts.get(attempt)).map(requests::get);
    }

    private void arrive(long now, RequestArrived arrived, List<RequestCommand> commands) {
        if (now >= leaseUntil || draining) {
            ErrorCode code = draining ? ErrorCode.DRAINING : ErrorCode.LEASE_LAPSED;
            commands.add(new RequestCommand.RefuseRequest(arrived.request(), code, RunState.NOT_RUN, 1_000));
            return;
        }
        requests.put(arrived.request(), new State(arrived));
        if (arrived.key().isPresent() && !arrived.idempotent()) {
            commands.add(new RequestCommand.RequestClaim(
                    arrived.request(), arrived.service(), arrived.key().get(), arrived.fingerprint(), 1_000, 5_000));
            return;
        }
        start(now, requests.get(arrived.request()), commands);
    }

    private void claim(long now, RequestInput.ClaimAnswered answered, List<RequestCommand> commands) {
        if (answered.state() == ClaimState.GRANTED) {
            claimed.add(answered.request());
            dispatchDeadline = answered.dispatchDeadlineMilliseconds();
            start(now, requests.get(answered.request()), commands);
        } else {
            commands.add(new RequestCommand.ReplayOutcome(
                    answered.request(), answered.outcome().orElseThrow()));
        }
    }

    private void start(long now, State state, List<RequestCommand> commands) {
        Optional<EndpointRecord> next = endpoints.values().stream()
                .filter(endpoint -> endpoint.service().equals(state.arrived.service()))
                .filter(endpoint -> !state.tried.contains(endpoint.id()))
                .min(java.util.Comparator.comparing(EndpointRecord::id));
        if (next.isEmpty()) {
            refuse(state, state.sent ? RunState.UNKNOWN : RunState.NOT_RUN, commands);
            return;
        }
        state.tried.add(next.get().id());
        state.number++;
        AttemptId attempt = AttemptId.of(state.arrived.request() + "." + state.number);
        attempts.put(attempt, state.arrived.request());
        commands.add(new RequestCommand.StartAttempt(
                state.arrived.request(),
                attempt,
                next.get().id(),
                next.get().address(),
                0,
                state.reached ? state.received : 0,
                false,
                CONNECT_MILLISECONDS,
                PROGRESS_MILLISECONDS,
                state.arrived.deadlineMilliseconds(),
                dispatchDeadline));
    }

    private void fail(long now, State state, AttemptFailure failure, List<RequestCommand> commands) {
        boolean notRun = failure == AttemptFailure.CONNECT_FAILED || failure == AttemptFailure.REFUSED_NOT_RUN;
        if (notRun || state.arrived.idempotent()) {
            start(now, state, commands);
        } else {
            refuse(state, RunState.UNKNOWN, commands);
        }
    }

    private void refuse(State state, RunState runState, List<RequestCommand> commands) {
        RequestId request = state.arrived.request();
        requests.remove(request);
        commands.add(new RequestCommand.RefuseRequest(request, ErrorCode.ATTEMPTS_EXHAUSTED, runState, 0));
    }

    private void complete(AttemptId attempt, List<RequestCommand> commands) {
        RequestId request = attempts.remove(attempt);
        State state = requests.remove(request);
        if (state == null) {
            return;
        }
        commands.add(new RequestCommand.FinishRequest(request, attempt));
        if (claimed.remove(request)) {
            commands.add(new RequestCommand.RecordOutcome(
                    request, state.arrived.service(), state.arrived.key().orElseThrow(), Optional.of(attempt)));
        }
    }

    private void cancel(RequestId request, List<RequestCommand> commands) {
        requests.remove(request);
        attempts.forEach((attempt, of) -> {
            if (of.equals(request)) {
                commands.add(new RequestCommand.CancelAttempt(attempt));
            }
        });
    }

    @Override
    public Map<String, Object> dump() {
        return Map.of("requests", requests.size());
    }

    @Override
    public Map<String, Integer> demandByService() {
        return Map.of();
    }
}
