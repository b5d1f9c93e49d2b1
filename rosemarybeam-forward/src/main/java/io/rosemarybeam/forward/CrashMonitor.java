package io.rosemarybeam.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;
import io.rosemarybeam.common.id.Fingerprint;
import io.rosemarybeam.common.wire.EndpointAnnouncement;
import io.rosemarybeam.platform.EndpointClient;
import io.rosemarybeam.platform.EndpointClient.Reachability;

/**
 * Finds out whether an endpoint crashed when the connection of an attempt broke: a crashed endpoint refuses the next
 * connection, after any other failure it accepts one.
 *
 * <p>Invariant: at most one check of an endpoint is in progress; attempts that break meanwhile share its result. Confined to
 * the event loop of the forwarder.
 */
final class CrashMonitor {
    private static final EventLog LOG = EventLog.of(CrashMonitor.class);

    private final EndpointClient client;
    private final ForwardMetrics metrics;
    private final Map<String, List<BrokenAttempt>> checksByAddress = new HashMap<>();

    CrashMonitor(EndpointClient client, ForwardMetrics metrics) {
        this.client = client;
        this.metrics = metrics;
    }

    /**
     * A request whose attempt broke.
     *
     * @param request id of the caller's attempt
     * @param fingerprint fingerprint of the request
     */
    record BrokenAttempt(String request, Fingerprint fingerprint) {}

    /** Checks the endpoint of an attempt whose connection broke. */
    void attemptBroke(EndpointAnnouncement endpoint, BrokenAttempt attempt) {
        List<BrokenAttempt> sharing = checksByAddress.get(endpoint.address());
        if (sharing != null) {
            sharing.add(attempt);
            return;
        }
        List<BrokenAttempt> attempts = new ArrayList<>(List.of(attempt));
        checksByAddress.put(endpoint.address(), attempts);
        client.check(endpoint.address(), result -> {
            checksByAddress.remove(endpoint.address());
            checked(endpoint, attempts, result);
        });
    }

    private void checked(EndpointAnnouncement endpoint, List<BrokenAttempt> attempts, Reachability result) {
        metrics.endpointChecked(result.name().toLowerCase(Locale.ROOT));
        attempts.forEach(attempt -> logResult(endpoint, attempt, result));
    }

    private static void logResult(EndpointAnnouncement endpoint, BrokenAttempt attempt, Reachability result) {
        LOG.log(
                Event.ENDPOINT_CHECKED,
                "request",
                attempt.request(),
                "fingerprint",
                attempt.fingerprint(),
                "endpoint",
                endpoint.id(),
                "address",
                endpoint.address(),
                "announced",
                endpoint.sequence(),
                "result",
                result);
    }
}
