package io.rosemarybeam.store;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.DoubleConsumer;

import io.netty.channel.EventLoop;
import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;
import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.wire.EndpointAnnouncement;
import io.rosemarybeam.decision.routing.BackgroundRoom;
import io.rosemarybeam.decision.routing.EndpointDirectory;
import io.rosemarybeam.decision.routing.EndpointLoads;
import io.rosemarybeam.decision.routing.Route;
import io.rosemarybeam.decision.routing.RoutingTable;
import io.rosemarybeam.forward.EndpointRoom;
import io.rosemarybeam.forward.Forwarder;
import io.rosemarybeam.forward.RateLimits;

/**
 * Holds scorer calls back until the endpoints that callers use too have room for them; see {@link BackgroundRoom}.
 *
 * <p>Invariants: calls of a service are sent in the order of the due times of their items; a call that waits is no attempt and
 * no failure; a call of an item that is closed is dropped. A new leader starts with a new instance. Confined to the event loop
 * of the store.
 */
final class ScorerRoom implements EndpointRoom {
    private static final double MILLISECONDS_PER_SECOND = 1_000;

    private static final EventLog LOG = EventLog.of(ScorerRoom.class);

    private final EventLoop loop;
    private final EndpointDirectory directory;
    private final EndpointLoads loads;
    private final RateLimits limits;
    private final DoubleConsumer recordWait;
    private final BackgroundRoom room = new BackgroundRoom();
    private final Map<ItemTask, Waiting> waitingByTask = new HashMap<>();
    private final TreeSet<Waiting> waiting =
            new TreeSet<>(Comparator.comparingLong(Waiting::dueTime).thenComparingLong(Waiting::number));
    private final Set<EndpointId> slow = new HashSet<>();
    private Optional<ItemTask> admitted = Optional.empty();
    private boolean isSendScheduled;
    private long nextNumber;

    /** A scorer call that waits. Immutable. */
    private record Waiting(ItemTask task, ServiceName service, long dueTime, long number, long since, Runnable send) {}

    /**
     * Creates an instance without calls.
     *
     * @param loop the event loop to which it is confined
     * @param directory the known endpoints
     * @param loads load of the endpoints
     * @param limits rate limits of the endpoints
     * @param recordWait is given the time that a call has waited, in seconds, when it is sent
     */
    ScorerRoom(
            EventLoop loop,
            EndpointDirectory directory,
            EndpointLoads loads,
            RateLimits limits,
            DoubleConsumer recordWait) {
        this.loop = loop;
        this.directory = directory;
        this.loads = loads;
        this.limits = limits;
        this.recordWait = recordWait;
    }

    /**
     * Returns whether the scorer calls of a service are limited: callers use it too, and none of its endpoints names a rate
     * limit, whose permits already share its room.
     */
    boolean isLimited(RoutingTable table, Route route, ServiceName service) {
        return table.isUsedByCallers(service, route)
                && directory.ready(service).stream().noneMatch(endpoint -> limits.isLimited(endpoint.id()));
    }

    /** Returns whether a call may be sent now: it is its turn, and an endpoint has room. */
    boolean admit(ItemTask task, ServiceName service) {
        boolean isFirst = admitted.filter(turn -> turn == task).isPresent()
                || waiting.stream().noneMatch(other -> other.service().equals(service));
        return isFirst && mayBeSent(service);
    }

    /** Queues a call; a call of the same item that waits already keeps its place. */
    void await(ItemTask task, ServiceName service, long dueTime, Runnable send) {
        if (waitingByTask.containsKey(task)) {
            return;
        }
        Waiting entry = new Waiting(task, service, dueTime, nextNumber++, Forwarder.now(), send);
        waitingByTask.put(task, entry);
        waiting.add(entry);
        LOG.log(
                Event.SCORE_DELAYED,
                "submission",
                task.submission.submission().id(),
                "request",
                task.item.id(),
                "service",
                service,
                "due",
                dueTime,
                "waiting",
                waiting.size());
    }

    int waiting() {
        return waiting.size();
    }

    /** Sends the calls for which there is room now, and forgets departed endpoints. */
    void tick() {
        Set<EndpointId> known = new HashSet<>();
        directory.all().forEach(endpoint -> known.add(endpoint.id()));
        room.retain(known::contains);
        slow.retainAll(known);
        known.forEach(this::logSpeed);
        sendWaiting();
    }

    private void logSpeed(EndpointId endpoint) {
        boolean isSlow = room.isSlow(endpoint, Forwarder.now());
        boolean isChanged = isSlow ? slow.add(endpoint) : slow.remove(endpoint);
        if (isChanged) {
            LOG.log(
                    Event.SCORER_SPEED_CHANGED,
                    "endpoint",
                    endpoint,
                    "slow",
                    isSlow,
                    "inFlight",
                    room.inFlight(endpoint));
        }
    }

    private void sendWaiting() {
        Set<ServiceName> full = new HashSet<>();
        for (Waiting entry : List.copyOf(waiting)) {
            ItemTask task = entry.task();
            if (task.isClosed() || task.stage != ItemTask.Stage.SCORING || task.scoring.isPresent()) {
                remove(entry);
            } else if (!full.contains(entry.service())) {
                if (mayBeSent(entry.service())) {
                    send(entry);
                } else {
                    full.add(entry.service());
                }
            }
        }
    }

    private void send(Waiting entry) {
        remove(entry);
        recordWait.accept((Forwarder.now() - entry.since()) / MILLISECONDS_PER_SECOND);
        admitted = Optional.of(entry.task());
        try {
            entry.send().run();
        } finally {
            admitted = Optional.empty();
        }
    }

    private void remove(Waiting entry) {
        waiting.remove(entry);
        waitingByTask.remove(entry.task());
    }

    /** A service without endpoints is not waited for here: the call then fails and is repeated, as without a limit. */
    private boolean mayBeSent(ServiceName service) {
        List<EndpointAnnouncement> ready = directory.ready(service);
        return ready.isEmpty() || ready.stream().anyMatch(this::hasRoom);
    }

    /** An endpoint that just failed has no calls in flight and would attract all that wait, so it counts as full. */
    @Override
    public boolean hasRoom(EndpointAnnouncement endpoint) {
        long now = Forwarder.now();
        boolean hasAlternative = loads.isAvoided(endpoint.id(), now)
                && directory.ready(endpoint.service()).stream().anyMatch(other -> !loads.isAvoided(other.id(), now));
        return !hasAlternative && room.hasRoom(endpoint, loads.estimatedRequests(endpoint.id(), now), now);
    }

    @Override
    public void attemptStarted(EndpointId endpoint, long startedAt) {
        room.recordStart(endpoint, startedAt);
    }

    @Override
    public void attemptEnded(EndpointId endpoint, long startedAt, boolean isAnswered) {
        room.recordEnd(endpoint, startedAt, isAnswered, Forwarder.now());
        if (!isSendScheduled && !waiting.isEmpty()) {
            // The call that ended has not passed on its answer yet.
            isSendScheduled = true;
            loop.execute(() -> {
                isSendScheduled = false;
                sendWaiting();
            });
        }
    }
}
