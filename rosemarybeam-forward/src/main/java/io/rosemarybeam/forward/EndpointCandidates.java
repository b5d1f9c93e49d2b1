package io.rosemarybeam.forward;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.wire.EndpointAnnouncement;
import io.rosemarybeam.common.wire.StreamOrigin;
import io.rosemarybeam.decision.routing.EndpointSelection;
import io.rosemarybeam.decision.routing.ProbePlan;

/**
 * The endpoints that may run one request, and the order in which they are preferred.
 *
 * <p>Invariant: an endpoint that has stated that it did not run the request is not used again for it; a resumed stream uses only
 * endpoints of the service and software version that began it. Confined to the event loop of the forwarder.
 */
final class EndpointCandidates {
    private final Forwarder forwarder;
    private final ForwardRequest request;
    private final EndpointRoom room;
    private final Set<EndpointId> tried = new HashSet<>();
    private final Set<EndpointId> unavailable = new HashSet<>();
    private Optional<StreamOrigin> restriction = Optional.empty();
    private Optional<ProbePlan.Pair> probed = Optional.empty();
    private boolean awaitsProbes;

    EndpointCandidates(Forwarder forwarder, ForwardRequest request, EndpointRoom room) {
        this.forwarder = forwarder;
        this.request = request;
        this.room = room;
    }

    Set<EndpointId> tried() {
        return tried;
    }

    void recordTried(EndpointId endpoint) {
        tried.add(endpoint);
    }

    /** Excludes an endpoint that did not run the request. */
    void recordUnavailable(EndpointId endpoint) {
        unavailable.add(endpoint);
    }

    /** Returns whether an endpoint is ready that may continue a stream. */
    boolean canContinue(StreamOrigin origin) {
        return forwarder.directory().ready(origin.service()).stream().anyMatch(endpoint -> matches(origin, endpoint));
    }

    /** Restricts the request to the endpoints that may continue a stream. */
    void restrictTo(StreamOrigin origin) {
        restriction = Optional.of(origin);
    }

    /** Returns what began the stream that the request resumes; empty if it begins one. */
    Optional<StreamOrigin> restriction() {
        return restriction;
    }

    private static boolean matches(StreamOrigin origin, EndpointAnnouncement endpoint) {
        return origin.softwareVersion().equals(endpoint.softwareVersion());
    }

    /**
     * Returns the endpoints to choose from. Those whose rate limit is used up are left out while there are others. If some
     * endpoints are limited, a request that was promised to run waits for a free slot at the others, so that it does not fill
     * the queues that more urgent requests then depend on.
     *
     * @param besideAttempt whether another attempt is in progress, whose endpoint is then left out
     */
    List<EndpointAnnouncement> usable(boolean besideAttempt) {
        ServiceName service = restriction.map(StreamOrigin::service).orElse(request.service());
        List<EndpointAnnouncement> ready = forwarder.directory().ready(service).stream()
                .filter(endpoint -> restriction.isEmpty() || matches(restriction.get(), endpoint))
                .filter(endpoint -> !unavailable.contains(endpoint.id()))
                .filter(endpoint -> !besideAttempt || !tried.contains(endpoint.id()))
                .filter(room::hasRoom)
                .toList();
        return ready.stream().noneMatch(this::isLimited) ? ready : withRoom(ready);
    }

    private List<EndpointAnnouncement> withRoom(List<EndpointAnnouncement> ready) {
        long now = Forwarder.now();
        List<EndpointAnnouncement> unlimited = ready.stream()
                .filter(endpoint -> !isLimited(endpoint))
                .filter(endpoint -> !request.mustRun() || hasFreeSlot(endpoint))
                .toList();
        return ready.stream()
                .filter(endpoint -> isLimited(endpoint)
                        ? unlimited.isEmpty() || !forwarder.limits().isExhausted(endpoint.id(), now)
                        : unlimited.contains(endpoint))
                .toList();
    }

    /** Returns whether an endpoint still takes new requests; it may have begun to leave since it was chosen. */
    boolean isReady(EndpointAnnouncement endpoint) {
        return forwarder.directory().ready(endpoint.service()).stream()
                .anyMatch(ready -> ready.id().equals(endpoint.id()));
    }

    boolean isLimited(EndpointAnnouncement endpoint) {
        return forwarder.limits().isLimited(endpoint.id());
    }

    boolean hasFreeSlot(EndpointAnnouncement endpoint) {
        return forwarder.loads().estimatedRequests(endpoint.id(), Forwarder.now()) < endpoint.capacity();
    }

    /** Returns the preferred one of some endpoints, after probes the better one of the two; empty if there is none. */
    Optional<EndpointAnnouncement> choose(List<EndpointAnnouncement> endpoints) {
        Optional<EndpointAnnouncement> better = probed.filter(pair -> tried.isEmpty())
                .flatMap(pair -> ProbePlan.choose(pair, endpoints, state(), forwarder.loads(), Forwarder.now()));
        return better.or(() -> EndpointSelection.choose(
                endpoints, state(), forwarder.loads(), forwarder.ownDomain(), Forwarder.now()));
    }

    /**
     * Begins to probe two endpoints if this is the first attempt and their loads are not known. The request is probed for once,
     * also if it is handed on to another host, so that the delay is bounded.
     *
     * @param usable the endpoints to choose from
     * @param best the preferred one of them
     * @param onEnd called after the probes if they were begun; the better endpoint is preferred then
     * @return whether probes were begun, so that the request must wait
     */
    boolean beginProbes(List<EndpointAnnouncement> usable, EndpointAnnouncement best, Runnable onEnd) {
        boolean isFirstAttempt = tried.isEmpty() && request.handedOn().isEmpty();
        if (!isFirstAttempt || probed.isPresent()) {
            return false;
        }
        List<EndpointAnnouncement> unlimited =
                usable.stream().filter(endpoint -> !isLimited(endpoint)).toList();
        long maximumWait =
                ProbePlan.maximumWait(request.route().latencyTarget().toMillis(), request.deadline() - Forwarder.now());
        awaitsProbes = forwarder.probes().begin(request.id(), unlimited, best, maximumWait, pair -> {
            awaitsProbes = false;
            probed = Optional.of(pair);
            onEnd.run();
        });
        return awaitsProbes;
    }

    /** Returns whether endpoints are being probed for the request. */
    boolean awaitsProbes() {
        return awaitsProbes;
    }

    private EndpointSelection.RequestState state() {
        return new EndpointSelection.RequestState(tried, forwarder.crashMonitor()::runsSuspect);
    }

    List<EndpointId> inOrderOfPreference(List<EndpointAnnouncement> endpoints) {
        List<EndpointAnnouncement> remaining = new ArrayList<>(endpoints);
        List<EndpointId> ordered = new ArrayList<>();
        while (!remaining.isEmpty()) {
            EndpointAnnouncement next = choose(remaining).orElseThrow();
            remaining.remove(next);
            ordered.add(next.id());
        }
        return ordered;
    }
}
