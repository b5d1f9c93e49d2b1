package io.rosemarybeam.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.wire.EndpointAnnouncement;
import io.rosemarybeam.decision.routing.EndpointDirectory;
import io.rosemarybeam.decision.routing.EndpointReach;
import io.rosemarybeam.platform.EndpointClient;
import io.rosemarybeam.platform.EndpointClient.Reachability;

/**
 * Verifies whether this process reaches the endpoints of a service, and repeats it while it does not.
 *
 * <p>Invariant: nothing is sent while all attempts are answered. Confined to the event loop of the forwarder.
 */
public final class ServiceReach {
    private static final EventLog LOG = EventLog.of(ServiceReach.class);

    private final EventLoop loop;
    private final EndpointClient client;
    private final EndpointDirectory directory;
    private final EndpointReach reach = new EndpointReach();

    /** Actions to run once the verification of a service is decided. */
    private final Map<ServiceName, List<Runnable>> waiting = new HashMap<>();

    /** Services that were cut off when this was last logged, with the time since when. */
    private final Map<ServiceName, Long> cutOffSince = new HashMap<>();

    /**
     * Creates a verifier.
     *
     * @param loop the event loop to which all state is confined
     * @param client opens connections to endpoints
     * @param directory the known endpoints
     */
    public ServiceReach(EventLoop loop, EndpointClient client, EndpointDirectory directory) {
        this.loop = loop;
        this.client = client;
        this.directory = directory;
    }

    /**
     * Returns whether no endpoint of a service can be reached from here.
     *
     * @param service the service
     * @return false also while that is not known
     */
    public boolean isCutOff(ServiceName service) {
        return reach.isCutOff(service);
    }

    /**
     * Returns the services that cannot be reached from here.
     *
     * @return the services
     */
    public Set<ServiceName> cutOffServices() {
        return reach.cutOffServices();
    }

    boolean isVerifying(ServiceName service) {
        return reach.isVerifying(service);
    }

    /**
     * Starts a verification unless one is in progress or has just succeeded.
     *
     * @param service the service
     */
    public void verify(ServiceName service) {
        List<EndpointAnnouncement> endpoints = reach.begin(service, directory.ready(service), Forwarder.now());
        if (endpoints.isEmpty()) {
            return;
        }
        int round = reach.round(service);
        endpoints.forEach(
                endpoint -> client.check(endpoint.address(), result -> onResult(service, round, endpoint, result)));
        loop.schedule(
                () -> {
                    reach.recordTimeout(service, round);
                    decided(service, "no endpoint accepted a connection in time");
                },
                EndpointReach.VERIFICATION_MILLISECONDS,
                TimeUnit.MILLISECONDS);
    }

    /** Runs an action when the verification in progress is decided, or at once if there is none. */
    void whenDecided(ServiceName service, Runnable action) {
        if (reach.isVerifying(service)) {
            waiting.computeIfAbsent(service, ignored -> new ArrayList<>()).add(action);
        } else {
            action.run();
        }
    }

    private void onResult(ServiceName service, int round, EndpointAnnouncement endpoint, Reachability result) {
        if (result == Reachability.REACHABLE) {
            reach.recordReached(service, Forwarder.now());
        } else {
            reach.recordFailed(service, round);
        }
        decided(service, endpoint.id() + " " + result);
    }

    private void decided(ServiceName service, String reason) {
        if (reach.isVerifying(service)) {
            return;
        }
        logChange(service, reason);
        List<Runnable> actions = waiting.remove(service);
        if (actions != null) {
            actions.forEach(Runnable::run);
        }
    }

    private void logChange(ServiceName service, String reason) {
        long now = Forwarder.now();
        if (reach.isCutOff(service) && cutOffSince.putIfAbsent(service, now) == null) {
            LOG.log(Event.SERVICE_CUT_OFF, "service", service, "reason", reason);
        } else if (!reach.isCutOff(service) && cutOffSince.containsKey(service)) {
            long duration = now - cutOffSince.remove(service);
            LOG.log(Event.SERVICE_REACHED, "service", service, "reason", reason, "milliseconds", duration);
        }
    }

    /** Verifies the services that are cut off, to find out when they no longer are; to be called periodically. */
    public void tick() {
        reach.cutOffServices().forEach(this::verify);
    }
}
