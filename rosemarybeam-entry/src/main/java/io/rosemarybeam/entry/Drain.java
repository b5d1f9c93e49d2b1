package io.rosemarybeam.entry;

import java.util.concurrent.CompletableFuture;

import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;
import io.rosemarybeam.decision.request.RequestInput;
import io.rosemarybeam.decision.rollout.RolloutInput;

/**
 * Takes an entry out of service without interrupting requests.
 *
 * <p>Invariant: requests are accepted until every address list that contains this entry has expired: the time to live
 * of addresses, counted from when all other entries know of the drain. Confined to the decision thread.
 */
final class Drain {
    private static final EventLog LOG = EventLog.of(Drain.class);
    /** A membership change reaches all entries within two seconds. */
    private static final long PROPAGATION_MILLISECONDS = 2_000;
    /** Time to send the last answers to slow callers. */
    private static final long FLUSH_MILLISECONDS = 5_000;

    private final EntryStateController stateController;
    private final EntryStateController.Drivers drivers;
    private final DecisionLoop loop;
    private final OpenCalls openCalls;
    private final long minimumMilliseconds;
    private final CompletableFuture<Void> finished = new CompletableFuture<>();
    private Phase phase = Phase.SERVING;
    private long startedAt;

    /** Phase of the drain. */
    private enum Phase {
        /** No drain has started. */
        SERVING,
        /** Address lists in use by callers may still name this entry, so new requests are accepted. */
        NAMED,
        /** New requests are refused; open ones are completed. */
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

    /** Starts the drain; a second call has no effect. */
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
     * Advances the drain to its next phase when the condition for it holds.
     *
     * @param now current time in milliseconds
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

    /** A request that arrives just before the entry refuses new ones may use the full deadline of its service. */
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
