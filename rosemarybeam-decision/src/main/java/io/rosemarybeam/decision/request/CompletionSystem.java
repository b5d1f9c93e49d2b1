package io.rosemarybeam.decision.request;

import java.util.Optional;

import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.wire.RequestOutcome;
import io.rosemarybeam.decision.request.RequestCommand.RunState;

/**
 * Ends requests: finishes, refuses, replays or discards them.
 *
 * <p>Invariant: every request gets at most one final command, which states {@code NOT_RUN} only if no attempt may have
 * run. Confined to the thread of the core.
 */
final class CompletionSystem {
    private final Tables tables;

    CompletionSystem(Tables tables) {
        this.tables = tables;
    }

    /** Ends a request with the complete answer of its attempt. */
    void finish(RequestRow row, AttemptRow attempt) {
        if (close(row)) {
            if (row.claimGranted) {
                tables.emit(new RequestCommand.RecordOutcome(
                        row.arrival.request(),
                        row.service.name,
                        row.arrival.key().orElseThrow(),
                        Optional.of(attempt.id)));
            }
            tables.counters.answers++;
            tables.emit(new RequestCommand.FinishRequest(row.arrival.request(), attempt.id));
        }
    }

    /** Ends a request without an answer; its attempt must be closed already. */
    void refuse(RequestRow row, ErrorCode code, long retryAfterMilliseconds) {
        if (!close(row)) {
            return;
        }
        if (row.claimGranted && !row.mayHaveRun) {
            releaseClaim(row);
        }
        tables.counters.refusals++;
        tables.emit(new RequestCommand.RefuseRequest(
                row.arrival.request(), code, runState(row), Math.max(0, retryAfterMilliseconds)));
    }

    /** Ends a resent request with the outcome that was recorded for its key. */
    void replay(RequestRow row, RequestOutcome outcome) {
        if (close(row)) {
            tables.counters.answers++;
            tables.emit(new RequestCommand.ReplayOutcome(row.arrival.request(), outcome));
        }
    }

    /** Refuses a request that is not in the tables and was not run. */
    void refuseArrival(RequestInput.RequestArrived arrival, ErrorCode code, long retryAfterMilliseconds) {
        refuseArrival(arrival, code, RunState.NOT_RUN, retryAfterMilliseconds);
    }

    /** Refuses a request that is not in the tables; an earlier request with the same key may have run. */
    void refuseArrival(
            RequestInput.RequestArrived arrival, ErrorCode code, RunState runState, long retryAfterMilliseconds) {
        tables.counters.refusals++;
        tables.emit(new RequestCommand.RefuseRequest(
                arrival.request(), code, runState, Math.max(0, retryAfterMilliseconds)));
    }

    /** Ends a request without a final command, because its caller disconnected. */
    void discard(RequestRow row) {
        if (close(row) && row.claimGranted && !row.mayHaveRun) {
            releaseClaim(row);
        }
    }

    private boolean close(RequestRow row) {
        if (row.state == RequestRow.State.DONE) {
            return false;
        }
        if (row.state == RequestRow.State.QUEUED) {
            row.service.queue.remove(row);
        }
        if (row.isClaimed() && (row.state != RequestRow.State.CLAIMING || row.claimAnswered)) {
            tables.claims.release(row.arrival);
        } else if (row.isClaimed()) {
            tables.claims.abandon(row.arrival);
        }
        if (row.isClaimed() && row.claimGranted && row.mayHaveRun) {
            tables.claims.recordPossibleRun(row.arrival);
        }
        if (row.state == RequestRow.State.CLAIMING) {
            row.service.open--;
            tables.requestDispatch(row.service);
        }
        row.state = RequestRow.State.DONE;
        row.service.requests--;
        tables.requests.remove(row.arrival.request());
        return true;
    }

    private void releaseClaim(RequestRow row) {
        tables.emit(new RequestCommand.RecordOutcome(
                row.arrival.request(), row.service.name, row.arrival.key().orElseThrow(), Optional.empty()));
    }

    private static RunState runState(RequestRow row) {
        if (row.hasRun) {
            return RunState.RUN;
        }
        return row.mayHaveRun ? RunState.UNKNOWN : RunState.NOT_RUN;
    }
}
