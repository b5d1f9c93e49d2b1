package io.rosemarybeam.entry;

import java.util.concurrent.CompletableFuture;

import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;
import io.rosemarybeam.decision.request.RequestInput;
import io.rosemarybeam.decision.rollout.RolloutInput;

/**
 * Takes an entry out of service without interrupting a request.
 *
 * <p>Invariant: work is accepted until every answer that names this entry has lapsed, which is the time to live of
 * addresses after the other entries have learned of the drain. Confined to the decision thread.
 */
final class Drain {
    private static final EventLog LOG = EventLog.of(Drain.class);
    /** Membership reaches all entries within two seconds. */
    private static final long PROPAGATION_MILLISECONDS = 2_000;
    /** Time to hand the last answers to slow callers. */
    private static final long FLUSH_MILLISECONDS = 5_000;

    private final EntryStateController stateController;
    private final EntryStateController.Drivers drivers;
    private final DecisionLoop loop;
    private final OpenCalls openCalls;
    private final long minimumMilliseconds;
    private final CompletableFuture<Void> finished = new CompletableFuture<>();
    private Phase phase = Phase.SERVING;
    private long startedAt;

    /** How far the drain is. */
    private enum Phase {
        /** No drain has begun. */
        SERVING,
        /** Callers may still know the address. */
        NAMED,
        /** No new work is taken. */
        FINISHING,
        /** The process may exit. */
        DONE
    }

    Drain(
            EntryStateController stateController,
            EntryStateController.Drivers drivers,
            DecisionLoop loop,
            OpenCalls openCalls,
            long minimumMilliseconds) {
        this.stateController = stateController;
        this.drivers = drivers;
        this.loop = loop;
        this.openCalls = openCalls;
        this.minimumMilliseconds = minimumMilliseconds;
    }

    CompletableFuture<Void> finished() {
        return finished;
    }

    /** Begins the drain; a second call has no effect. */
    void start() {
        if (phase != Phase.SERVING) {
            return;
        }
        phase = Phase.NAMED;
        startedAt = loop.now();
        LOG.log(Event.DRAIN_STARTED);
        stateController.startDrain();
        drivers.rollout().handle(new RolloutInput.DrainStarted());
    }

    /**
     * Goes on.
     *
     * @param now the time, in milliseconds
     */
    void tick(long now) {
        long elapsed = now - startedAt;
        if (phase == Phase.NAMED
                && elapsed >= PROPAGATION_MILLISECONDS + CallerRoutes.ADDRESS_TIME_TO_LIVE_MILLISECONDS) {
            phase = Phase.FINISHING;
            drivers.request().handle(new RequestInput.DrainStarted());
        }
        if (phase != Phase.FINISHING) {
            return;
        }
        if (drivers.request().openRequests() == 0) {
            drivers.step().refuseReads();
            if (openCalls.count() == 0) {
                finish(Event.DRAIN_FINISHED);
                return;
            }
        }
        if (elapsed >= maximumMilliseconds()) {
            finish(Event.DRAIN_CUT);
        }
    }

    /** A request that arrived at the last moment may use the whole time of its service. */
    private long maximumMilliseconds() {
        long longest = stateController.configuration().stream()
                .flatMap(current -> current.services().values().stream())
                .mapToLong(service -> service.deadlines().totalMilliseconds())
                .max()
                .orElse(0);
        long needed = PROPAGATION_MILLISECONDS
                + CallerRoutes.ADDRESS_TIME_TO_LIVE_MILLISECONDS
                + longest
                + FLUSH_MILLISECONDS;
        return Math.max(minimumMilliseconds, needed);
    }

    private void finish(Event event) {
        phase = Phase.DONE;
        LOG.log(event, "openRequests", drivers.request().openRequests(), "openCalls", openCalls.count());
        finished.complete(null);
    }
}
