package io.rosemarybeam.store;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;

import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.ModelName;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.wire.EndpointAnnouncement;
import io.rosemarybeam.common.wire.EndpointAnnouncement.LoadedModel;
import io.rosemarybeam.decision.batch.GenerationEndpoint;
import io.rosemarybeam.decision.routing.EndpointDirectory;
import io.rosemarybeam.decision.routing.EndpointLoads;
import io.rosemarybeam.forward.Forwarder;
import io.rosemarybeam.forward.LeavingEndpoints;
import io.rosemarybeam.platform.EndpointAnswer;

/**
 * The leader's view of the endpoints that generate text: their announcements and what it has observed itself.
 *
 * <p>Invariant: a weight version from a response or report of an endpoint takes precedence over its announcement, which may be
 * older. Confined to the thread of the log driver.
 */
final class GenerationFleet {
    /** Weight of a new event interval in the moving average, which covers about the last ten events. */
    private static final double EVENT_INTERVAL_WEIGHT = 0.1;

    /** Maximum length of a notice, in milliseconds; longer ones count as this long. */
    private static final long MAXIMUM_NOTICE_MILLISECONDS = 86_400_000;

    private final EndpointDirectory directory;
    private final EndpointLoads loads;
    private final Predicate<EndpointId> hasRoom;
    private final LeavingEndpoints leaving;
    private final Map<EndpointId, EndpointState> stateById = new HashMap<>();

    /**
     * Creates an instance.
     *
     * @param directory the announced endpoints
     * @param loads load and health of the endpoints
     * @param hasRoom whether the rate limit of an endpoint, if it has one, allows a request now
     * @param leaving takes endpoints that leave out of use
     */
    GenerationFleet(
            EndpointDirectory directory, EndpointLoads loads, Predicate<EndpointId> hasRoom, LeavingEndpoints leaving) {
        this.directory = directory;
        this.loads = loads;
        this.hasRoom = hasRoom;
        this.leaving = leaving;
    }

    /** Returns the ready endpoints of a service. */
    List<GenerationEndpoint> endpoints(ServiceName service) {
        long now = Forwarder.now();
        return directory.ready(service).stream()
                .map(announcement -> endpoint(announcement, now))
                .toList();
    }

    /** Returns the current state of an endpoint; empty if it is not ready or belongs to another service. */
    Optional<GenerationEndpoint> endpoint(ServiceName service, EndpointId id) {
        return directory.ready(service).stream()
                .filter(announcement -> announcement.id().equals(id))
                .findFirst()
                .map(announcement -> endpoint(announcement, Forwarder.now()));
    }

    private GenerationEndpoint endpoint(EndpointAnnouncement announcement, long now) {
        EndpointState endpoint = stateOf(announcement);
        Map<ModelName, Long> versions = new HashMap<>();
        for (LoadedModel model : announcement.models()) {
            versions.put(model.model(), model.version());
        }
        versions.putAll(endpoint.versions);
        return new GenerationEndpoint(
                announcement.id(),
                announcement.softwareVersion(),
                announcement.capacity(),
                loads.outstanding(announcement.id()),
                versions,
                endpoint.loading.map(Set::of).orElse(Set.of()),
                loads.isAvoided(announcement.id(), now),
                hasRoom.test(announcement.id()),
                endpoint.eventInterval);
    }

    Optional<EndpointAnnouncement> announcement(EndpointId id) {
        return directory.find(id);
    }

    /** Reads from an answer to an item, an order or a report whether the endpoint leaves. */
    void observe(EndpointAnnouncement endpoint, EndpointAnswer answer) {
        leaving.observe(endpoint, answer);
    }

    /** Records the weight version that an endpoint returned with a response or report. */
    void recordVersion(EndpointId id, ModelName model, long version) {
        directory.find(id).map(this::stateOf).ifPresent(endpoint -> endpoint.versions.put(model, version));
    }

    /** Records the model whose weights an endpoint is loading; empty if it loads none. */
    void setLoading(EndpointId id, Optional<ModelName> model) {
        directory.find(id).map(this::stateOf).ifPresent(endpoint -> endpoint.loading = model);
    }

    boolean isLoading(EndpointId id) {
        return Optional.ofNullable(stateById.get(id))
                .flatMap(endpoint -> endpoint.loading)
                .isPresent();
    }

    /**
     * Returns the time until the provider takes an endpoint away, in milliseconds.
     *
     * @param id the endpoint
     * @param now monotonic time, in milliseconds
     * @return the time, negative once it is over; empty if the endpoint is under no notice
     */
    OptionalLong noticeMilliseconds(EndpointId id, long now) {
        Optional<EndpointAnnouncement> noticed = directory
                .find(id)
                .filter(announcement -> announcement.state() == EndpointAnnouncement.State.DRAINING)
                .filter(EndpointAnnouncement::hasNotice);
        if (noticed.isEmpty()) {
            return OptionalLong.empty();
        }
        EndpointState endpoint = stateOf(noticed.get());
        if (endpoint.noticeSequence != noticed.get().sequence()) {
            endpoint.noticeSequence = noticed.get().sequence();
            // Limited, so that an odd notice cannot overflow. Later heartbeats may be late and never extend a notice.
            long left = Math.min(noticed.get().leavesInMilliseconds(), MAXIMUM_NOTICE_MILLISECONDS);
            endpoint.noticeEnd = Math.min(endpoint.noticeEnd, now + left);
        }
        return OptionalLong.of(endpoint.noticeEnd - now);
    }

    /** Records the time between two events of a stream, in milliseconds. */
    void recordEventInterval(EndpointId id, long milliseconds) {
        directory
                .find(id)
                .map(this::stateOf)
                .ifPresent(endpoint -> endpoint.eventInterval = endpoint.eventInterval == 0
                        ? milliseconds
                        : endpoint.eventInterval + EVENT_INTERVAL_WEIGHT * (milliseconds - endpoint.eventInterval));
    }

    /** Returns the state of an endpoint; a restarted endpoint, which has another start time, gets a new one. */
    private EndpointState stateOf(EndpointAnnouncement announcement) {
        EndpointState found = stateById.get(announcement.id());
        if (found == null || found.startedMilliseconds != announcement.startedMilliseconds()) {
            found = new EndpointState(announcement.startedMilliseconds());
            stateById.put(announcement.id(), found);
        }
        return found;
    }

    /** The observations of one endpoint since its start. */
    private static final class EndpointState {
        private final long startedMilliseconds;
        private final Map<ModelName, Long> versions = new HashMap<>();
        private Optional<ModelName> loading = Optional.empty();

        /** Moving average of the time between two events, in milliseconds; 0 until it was measured. */
        private double eventInterval;

        /** Sequence of the heartbeat whose notice was read last; -1 without one. */
        private long noticeSequence = -1;

        /** Monotonic time at which the provider takes the endpoint away, in milliseconds. */
        private long noticeEnd = Long.MAX_VALUE;

        EndpointState(long startedMilliseconds) {
            this.startedMilliseconds = startedMilliseconds;
        }
    }
}
