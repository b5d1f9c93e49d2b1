package io.rosemarybeam.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.BooleanSupplier;

import io.rosemarybeam.common.collection.LeastRecentlyUsedMap;
import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;
import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.Fingerprint;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.wire.EndpointAnnouncement;
import io.rosemarybeam.platform.EndpointClient;
import io.rosemarybeam.platform.EndpointClient.Reachability;

/**
 * Finds out whether an endpoint crashed when an attempt ended without an answer, and records its crash.
 *
 * <p>An endpoint that refuses the next connection has crashed, unless no endpoint of its service can be reached from here. One
 * that accepts it may have been replaced at its address, and one that does not answer may be unreachable, so these are
 * suspected until a store host receives a heartbeat of the endpoint.
 *
 * <p>Invariant: at most one check of an endpoint is in progress; attempts that break meanwhile share its result. Confined to
 * the event loop of the forwarder.
 */
final class CrashMonitor {
    private static final EventLog LOG = EventLog.of(CrashMonitor.class);

    /** Maximum number of services whose last answers are retained, which bounds the memory. */
    private static final int MAXIMUM_SERVICES = 1_024;

    /** Time without any answer after which an endpoint is checked when an attempt ends with its caller's deadline. */
    private static final long SILENCE_MILLISECONDS = 300;

    /** Maximum number of endpoints whose last answers are retained, which bounds the memory. */
    private static final int MAXIMUM_ENDPOINTS = 4_096;

    private final EndpointClient client;
    private final ForwardMetrics metrics;
    private final CrashRegistry registry;
    private final ServiceReach reach;

    /** Number of attempts in progress of suspects, by endpoint. */
    private final Map<EndpointId, Integer> suspectAttempts = new HashMap<>();

    private final Map<String, List<BrokenAttempt>> checksByAddress = new HashMap<>();

    /** Monotonic times at which endpoints last sent a part of an answer, in milliseconds. */
    private final Map<ServiceName, Long> lastServiceAnswers = new LeastRecentlyUsedMap<>(MAXIMUM_SERVICES);

    private final Map<EndpointId, Long> lastAnswers = new LeastRecentlyUsedMap<>(MAXIMUM_ENDPOINTS);

    CrashMonitor(EndpointClient client, ForwardMetrics metrics, CrashRegistry registry, ServiceReach reach) {
        this.client = client;
        this.metrics = metrics;
        this.registry = registry;
        this.reach = reach;
    }

    /**
     * A request whose attempt ended without a complete answer.
     *
     * @param request id of the caller's attempt
     * @param fingerprint fingerprint of the request
     * @param end how the attempt ended
     * @param isCounted whether a crash counts for the request, asked when the result is known
     * @param onChecked called once the result of the check is known and recorded
     */
    record BrokenAttempt(
            String request, Fingerprint fingerprint, End end, BooleanSupplier isCounted, Runnable onChecked) {}

    /** How an attempt ended without a complete answer. */
    enum End {
        /** Its connection broke. */
        BROKEN,
        /** Its caller left or its deadline passed while the endpoint was silent. */
        UNANSWERED
    }

    /** Records that an endpoint has sent a part of an answer. */
    void endpointAnswered(EndpointAnnouncement endpoint) {
        lastAnswers.put(endpoint.id(), Forwarder.now());
        lastServiceAnswers.put(endpoint.service(), Forwarder.now());
    }

    /** Returns whether any endpoint of a service has sent a part of an answer since a time. */
    boolean hasAnsweredSince(ServiceName service, long since) {
        return lastServiceAnswers.getOrDefault(service, Long.MIN_VALUE) > since;
    }

    /** Returns whether an endpoint has answered nothing for some time since an attempt was sent to it. */
    boolean isSilentSince(EndpointId endpoint, long sentAt) {
        long heardAt = Math.max(sentAt, lastAnswers.getOrDefault(endpoint, sentAt));
        return Forwarder.now() - heardAt >= SILENCE_MILLISECONDS;
    }

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

    /**
     * Checks the endpoint of an attempt that ended without a complete answer. An endpoint that was silent is suspected before
     * the result is known, because a check of a silent host takes long and the caller may return sooner.
     */
    void attemptEnded(EndpointAnnouncement endpoint, BrokenAttempt attempt) {
        if (attempt.end() == End.UNANSWERED && attempt.isCounted().getAsBoolean()) {
            registry.recordSuspicion(attempt.fingerprint(), endpoint);
        }
        List<BrokenAttempt> sharing = checksByAddress.get(endpoint.address());
        if (sharing != null) {
            sharing.add(attempt);
            return;
        }
        List<BrokenAttempt> attempts = new ArrayList<>(List.of(attempt));
        checksByAddress.put(endpoint.address(), attempts);
        client.check(endpoint.address(), result -> {
            checksByAddress.remove(endpoint.address());
            if (result == Reachability.REFUSED) {
                reach.verify(endpoint.service());
                reach.whenDecided(endpoint.service(), () -> checked(endpoint, attempts, result));
            } else {
                checked(endpoint, attempts, result);
            }
        });
    }

    private void checked(EndpointAnnouncement endpoint, List<BrokenAttempt> attempts, Reachability result) {
        metrics.endpointChecked(result.name().toLowerCase(Locale.ROOT));
        for (BrokenAttempt attempt : attempts) {
            boolean isCounted = attempt.isCounted().getAsBoolean();
            if (isCounted && result == Reachability.REFUSED && !reach.isCutOff(endpoint.service())) {
                registry.recordCrash(attempt.fingerprint(), endpoint);
            } else if (isCounted) {
                registry.recordSuspicion(attempt.fingerprint(), endpoint);
            }
            logResult(endpoint, attempt, result, isCounted);
        }
        attempts.forEach(attempt -> attempt.onChecked().run());
    }

    private void logResult(
            EndpointAnnouncement endpoint, BrokenAttempt attempt, Reachability result, boolean isCounted) {
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
                "end",
                attempt.end(),
                "result",
                result,
                "counted",
                isCounted,
                "crashes",
                registry.crashes(attempt.fingerprint()));
    }
}
