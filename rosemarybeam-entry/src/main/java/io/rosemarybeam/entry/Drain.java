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
    private static final long SPREAD_MILLISECONDS = 2_000;
    /** Time to hand the last answers to slow callers. */
    private static final long FLUSH_MILLISECONDS = 5_000;

    private final StateKeeper keeper;
    private final StateKeeper.Drivers drivers;
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
            StateKeeper keeper,
            StateKeeper.Drivers drivers,
            DecisionLoop loop,
            OpenCalls openCalls,
            long minimumMilliseconds) {
        this.keeper = keeper;
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
        keeper.startDrain();
        drivers.rollout().handle(new RolloutInput.DrainStarted());
    }

    /**
     * Goes on.
     *
     * @param now the time, in milliseconds
     */
    void tick(long now) {
        long lapsed = now - startedAt;
        if (phase == Phase.NAMED && lapsed >= SPREAD_MILLISECONDS + CallerRoutes.ADDRESS_TIME_TO_LIVE_MILLISECONDS) {
            phase = Phase.FINISHING;
            drivers.request().handle(new RequestInput.DrainStarted());
        }
        if (phase != Phase.FINISHING) {
            return;
        }
        if (drivers.request().openRequests() == 0) {
            drivers.step().refuseReads();
            if (openCalls.count() == 0) {
                end(Event.DRAIN_FINISHED);
                return;
            }
        }
        if (lapsed >= limitMilliseconds()) {
            end(Event.DRAIN_CUT);
        }
    }

    /** A request that arrived at the last moment may use the whole time of its service. */
    private long limitMilliseconds() {
        long longest = keeper.configuration().stream()
                .flatMap(text -> text.services().values().stream())
                .mapToLong(service -> service.deadlines().totalMilliseconds())
                .max()
                .orElse(0);
        long needed =
                SPREAD_MILLISECONDS + CallerRoutes.ADDRESS_TIME_TO_LIVE_MILLISECONDS + longest + FLUSH_MILLISECONDS;
        return Math.max(minimumMilliseconds, needed);
    }

    private void end(Event event) {
        phase = Phase.DONE;
        LOG.log(event, "openRequests", drivers.request().openRequests(), "openCalls", openCalls.count());
        finished.complete(null);
    }
}
