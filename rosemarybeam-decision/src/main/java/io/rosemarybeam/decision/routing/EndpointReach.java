package io.rosemarybeam.decision.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.wire.EndpointAnnouncement;

/**
 * Whether this process reaches the endpoints of each service, found out by opening connections to a few of them.
 *
 * <p>Load pattern: a process loses its links to all endpoints of a service, or to all endpoints, while other processes keep
 * theirs. Its connections hang, or are refused. A service is cut off once no endpoint of a verification has accepted a connection
 * in time, and reached again as soon as one does; that one process or all processes lost them looks the same here.
 *
 * <p>Invariant: a verification ends with exactly one decision, and a connection that is accepted counts also after it. Times are
 * monotonic times in milliseconds. Confined to one thread.
 */
public final class EndpointReach {
    /** Time in which an endpoint must accept a connection; several round trips to the farthest failure domain. */
    public static final long VERIFICATION_MILLISECONDS = 60;

    /** Endpoints to which a verification connects; one may be down for another reason. */
    private static final int ENDPOINTS_PER_VERIFICATION = 2;

    /** A verification that an endpoint answered holds this long, so that slow services are not verified over and over. */
    private static final long VALIDITY_MILLISECONDS = 500;

    private final Map<ServiceName, State> services = new HashMap<>();

    /** State of one service. */
    private static final class State {
        private boolean cutOff;
        private long reachedAt = Long.MIN_VALUE / 2;

        /** Number of the current verification. */
        private int round;

        /** Endpoints of the current verification whose result is missing; 0 once it is decided. */
        private int pending;
    }

    private State state(ServiceName service) {
        return services.computeIfAbsent(service, ignored -> new State());
    }

    /**
     * Begins a verification.
     *
     * @param service the service
     * @param ready its ready endpoints
     * @param now monotonic time, in milliseconds
     * @return the endpoints to connect to; empty if a verification is in progress, a recent one succeeded or none is ready
     */
    public List<EndpointAnnouncement> begin(ServiceName service, List<EndpointAnnouncement> ready, long now) {
        State state = state(service);
        boolean isRecent = now - state.reachedAt < VALIDITY_MILLISECONDS;
        if (ready.isEmpty() || state.pending > 0 || isRecent) {
            return List.of();
        }
        state.round++;
        List<EndpointAnnouncement> ordered = ready.stream()
                .sorted(Comparator.comparing(EndpointAnnouncement::id))
                .toList();
        List<EndpointAnnouncement> chosen = new ArrayList<>();
        for (int index = 0; index < Math.min(ENDPOINTS_PER_VERIFICATION, ordered.size()); index++) {
            int position = state.round * ENDPOINTS_PER_VERIFICATION + index;
            chosen.add(ordered.get(Math.floorMod(position, ordered.size())));
        }
        state.pending = chosen.size();
        return chosen;
    }

    /** Returns the number of the latest verification of a service, to be passed on with its results. */
    public int round(ServiceName service) {
        return state(service).round;
    }

    /**
     * Records that an endpoint accepted a connection.
     *
     * @param service its service
     * @param now monotonic time, in milliseconds
     */
    public void recordReached(ServiceName service, long now) {
        State state = state(service);
        state.cutOff = false;
        state.pending = 0;
        state.reachedAt = now;
    }

    /**
     * Records that an endpoint of a verification did not accept a connection.
     *
     * @param service its service
     * @param round number of the verification
     */
    public void recordFailed(ServiceName service, int round) {
        State state = state(service);
        if (state.round == round && state.pending > 0) {
            state.pending--;
            state.cutOff = state.cutOff || state.pending == 0;
        }
    }

    /**
     * Records that the time of a verification is over; without an accepted connection the service is cut off.
     *
     * @param service the service
     * @param round number of the verification
     */
    public void recordTimeout(ServiceName service, int round) {
        State state = state(service);
        if (state.round == round && state.pending > 0) {
            state.pending = 0;
            state.cutOff = true;
        }
    }

    /**
     * Returns whether no endpoint of a service can be reached from here.
     *
     * @param service the service
     * @return false also while that is not known
     */
    public boolean isCutOff(ServiceName service) {
        return services.containsKey(service) && services.get(service).cutOff;
    }

    /**
     * Returns whether a verification is in progress.
     *
     * @param service the service
     * @return true until its decision
     */
    public boolean isVerifying(ServiceName service) {
        return services.containsKey(service) && services.get(service).pending > 0;
    }

    /**
     * Returns the services that cannot be reached from here.
     *
     * @return the services
     */
    public Set<ServiceName> cutOffServices() {
        return services.entrySet().stream()
                .filter(entry -> entry.getValue().cutOff)
                .map(Map.Entry::getKey)
                .collect(Collectors.toUnmodifiableSet());
    }
}
