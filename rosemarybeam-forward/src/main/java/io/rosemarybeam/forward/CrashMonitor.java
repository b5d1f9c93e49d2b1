package io.rosemarybeam.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.BooleanSupplier;

import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;
import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.Fingerprint;
import io.rosemarybeam.common.wire.EndpointAnnouncement;
import io.rosemarybeam.platform.EndpointClient;
import io.rosemarybeam.platform.EndpointClient.Reachability;

/**
 * Finds out whether an endpoint crashed when the connection of an attempt broke, and records its crash: a crashed endpoint
 * refuses the next connection, after any other failure it accepts one.
 *
 * <p>Invariant: at most one check of an endpoint is in progress; attempts that break meanwhile share its result. Confined to
 * the event loop of the forwarder.
 */
final class CrashMonitor {
    private static final EventLog LOG = EventLog.of(CrashMonitor.class);

    private final EndpointClient client;
    private final ForwardMetrics metrics;
    private final CrashRegistry registry;

    /** Number of attempts in progress of suspects, by endpoint. */
    private final Map<EndpointId, Integer> suspectAttempts = new HashMap<>();

    private final Map<String, List<BrokenAttempt>> checksByAddress = new HashMap<>();

    CrashMonitor(EndpointClient client, ForwardMetrics metrics, CrashRegistry registry) {
        this.client = client;
        this.metrics = metrics;
        this.registry = registry;
    }

    /**
     * A request whose attempt broke.
     *
     * @param request id of the caller's attempt
     * @param fingerprint fingerprint of the request
     * @param isCounted whether a crash counts for the request, asked when the result is known
     * @param onChecked called once the result of the check is known and recorded
     */
    record BrokenAttempt(String request, Fingerprint fingerprint, BooleanSupplier isCounted, Runnable onChecked) {}

    /**
     * Records the start of an attempt of a suspect, which is a request that was running when an endpoint crashed. While it
     * runs, other requests prefer other endpoints.
     */
    void suspectStarted(EndpointId endpoint) {
        suspectAttempts.merge(endpoint, 1, Integer::sum);
    }

    void suspectEnded(EndpointId endpoint) {
        suspectAttempts.computeIfPresent(endpoint, (id, count) -> count > 1 ? count - 1 : null);
    }

    boolean runsSuspect(EndpointId endpoint) {
        return suspectAttempts.containsKey(endpoint);
    }

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
        for (BrokenAttempt attempt : attempts) {
            if (result == Reachability.REFUSED && attempt.isCounted().getAsBoolean()) {
                registry.recordCrash(attempt.fingerprint(), endpoint);
            }
            logResult(endpoint, attempt, result);
        }
        attempts.forEach(attempt -> attempt.onChecked().run());
    }

    private void logResult(EndpointAnnouncement endpoint, BrokenAttempt attempt, Reachability result) {
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
                result,
                "crashes",
                registry.crashes(attempt.fingerprint()));
    }
}
