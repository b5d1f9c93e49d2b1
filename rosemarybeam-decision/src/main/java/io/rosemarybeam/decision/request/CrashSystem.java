package io.rosemarybeam.decision.request;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.id.Fingerprint;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.decision.request.RequestInput.AttemptFailure;

/**
 * Recognises crashed endpoints, counts the requests that crash them and keeps suspects apart.
 *
 * <p>An endpoint has crashed if all its open attempts break within a short time. When several endpoints go at once
 * without a common request, a rack or a link has failed, and no request is suspected. Invariant: a request that was
 * answered in full is no suspect. Confined to the thread of the core.
 */
final class CrashSystem {
    /** Time in which the connections to a crashed endpoint break. */
    private static final long BATCH_WINDOW_MILLISECONDS = 500;

    /** Events of one endpoint arrive over several threads; an answer so soon after a break may be older than it. */
    private static final long REORDERING_MILLISECONDS = 50;

    /** Crashes within this time may have one cause; reports are held back for as long. */
    private static final long SAME_FAILURE_MILLISECONDS = 200;

    private static final int INFRASTRUCTURE_FAILURE_ENDPOINTS = 3;
    private static final int QUARANTINE_CRASHES = 2;

    /**
     * How long a request waits until its quarantine is agreed. Refused earlier, its caller could send it to an entry that
     * does not know of the quarantine yet and crash further endpoints.
     */
    private static final long AGREEMENT_MILLISECONDS = 500;

    private static final long REMEMBERED_MILLISECONDS = 3_600_000;
    private static final int REMEMBERED_FINGERPRINTS = 10_000;

    private record Key(ServiceName service, Fingerprint fingerprint) {}

    private final Tables tables;
    private final CompletionSystem completion;
    /** What the control process names: quarantined requests, and suspects. */
    private Map<ServiceName, Set<Fingerprint>> named = Map.of();

    private Set<Fingerprint> namedSuspects = Set.of();
    private final List<CrashReport> heldBack = new ArrayList<>();
    private long infrastructureFailureUntil;
    private final Map<Key, Suspicion> suspicions = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Key, Suspicion> eldest) {
            return size() > REMEMBERED_FINGERPRINTS
                    || eldest.getValue().lastSeen < tables.now - REMEMBERED_MILLISECONDS;
        }
    };

    CrashSystem(Tables tables, CompletionSystem completion) {
        this.tables = tables;
        this.completion = completion;
    }

    boolean isQuarantined(ServiceName service, Fingerprint fingerprint) {
        if (isNamed(service, fingerprint)) {
            return true;
        }
        Suspicion suspicion = find(new Key(service, fingerprint));
        if (suspicion == null || !suspicion.quarantined) {
            return false;
        }
        suspicion.lastSeen = tables.now;
        return true;
    }

    /** Stops a request that was quarantined while it ran or was claimed from running again; returns whether it did. */
    boolean holdIfQuarantined(RequestRow row) {
        boolean held = isQuarantined(row.service.name, row.arrival.fingerprint());
        if (held) {
            row.service.queue.remove(row);
            refuseWhenAgreed(row);
        }
        return held;
    }

    /** Refuses a quarantined request as soon as every entry knows of the quarantine. */
    void refuseWhenAgreed(RequestRow row) {
        row.state = RequestRow.State.WAITING_FOR_RETRY;
        Suspicion suspicion = find(key(row));
        if (suspicion == null || suspicion.agreed || isNamed(row.service.name, row.arrival.fingerprint())) {
            refuse(row);
        }
    }

    private boolean isNamed(ServiceName service, Fingerprint fingerprint) {
        return named.getOrDefault(service, Set.of()).contains(fingerprint);
    }

    /** Returns whether a request may only run where no other suspect runs. */
    boolean isSuspect(RequestRow row) {
        return !suspicions.isEmpty() && find(key(row)) != null;
    }

    /** Returns whether an endpoint runs a suspect. */
    boolean runsSuspect(EndpointRow endpoint) {
        for (AttemptRow attempt : endpoint.open) {
            if (isSuspect(attempt.request)) {
                return true;
            }
        }
        return false;
    }

    // ---- Crashes ----

    /** Notes the end of an attempt that is still listed as open. */
    void failed(AttemptRow attempt, AttemptFailure failure) {
        switch (failure) {
            case BROKEN -> broken(attempt);
            case CONNECT_FAILED, SILENT -> cancelled(attempt);
            case REFUSED_NOT_RUN, ERROR_ANSWER, MISMATCHED -> answered(attempt);
            default -> throw new IllegalStateException("failure " + failure);
        }
    }

    private void broken(AttemptRow attempt) {
        EndpointRow endpoint = attempt.endpoint;
        if (endpoint.batch.isEmpty() || tables.now - endpoint.batchOpenedAt > BATCH_WINDOW_MILLISECONDS) {
            endpoint.batch.clear();
            endpoint.batchPending.clear();
            for (AttemptRow open : endpoint.open) {
                if (open.sent || open == attempt) {
                    endpoint.batch.add(open);
                    endpoint.batchPending.add(open);
                }
            }
            endpoint.batchOpenedAt = tables.now;
        }
        cancelled(attempt);
    }

    /** Notes that an attempt ended in a way that does not tell whether its endpoint is alive. */
    void cancelled(AttemptRow attempt) {
        EndpointRow endpoint = attempt.endpoint;
        if (tables.now - endpoint.batchOpenedAt > BATCH_WINDOW_MILLISECONDS) {
            endpoint.batch.clear();
        }
        endpoint.batchPending.remove(attempt);
        if (endpoint.batchPending.isEmpty() && !endpoint.batch.isEmpty()) {
            List<AttemptRow> batch = List.copyOf(endpoint.batch);
            endpoint.batch.clear();
            crashed(endpoint, batch);
        }
    }

    /** An endpoint that still answers a while after an attempt broke has not crashed. */
    private void answered(AttemptRow attempt) {
        EndpointRow endpoint = attempt.endpoint;
        if (tables.now - endpoint.batchOpenedAt > REORDERING_MILLISECONDS) {
            endpoint.batch.clear();
            endpoint.batchPending.clear();
        } else {
            cancelled(attempt);
        }
    }

    /** Clears a request that was answered in full. */
    void completed(AttemptRow attempt) {
        answered(attempt);
        if (!suspicions.isEmpty()) {
            suspicions.computeIfPresent(key(attempt.request), (key, known) -> known.quarantined ? known : null);
        }
    }

    private void crashed(EndpointRow endpoint, List<AttemptRow> batch) {
        ServiceName service = endpoint.service.name;
        if (tables.now < infrastructureFailureUntil) {
            infrastructureFailureUntil = tables.now + SAME_FAILURE_MILLISECONDS;
            return;
        }
        Set<Fingerprint> fingerprints = new LinkedHashSet<>();
        Set<Fingerprint> counted = new LinkedHashSet<>();
        for (AttemptRow attempt : batch) {
            Fingerprint fingerprint = attempt.request.arrival.fingerprint();
            fingerprints.add(fingerprint);
            if (suspect(service, fingerprint).count(attempt.startedAt, tables.now)) {
                counted.add(fingerprint);
            }
        }
        CrashReport report = new CrashReport(endpoint, tables.now, fingerprints, counted);
        heldBack.add(report);
        if (isInfrastructureFailure()) {
            infrastructureFailureUntil = tables.now + SAME_FAILURE_MILLISECONDS;
            heldBack.forEach(this::withdraw);
            heldBack.clear();
            return;
        }
        tables.timers.at(tables.now + SAME_FAILURE_MILLISECONDS, () -> send(report));
        for (Fingerprint fingerprint : counted) {
            Suspicion suspicion = suspect(service, fingerprint);
            if (suspicion.crashes >= QUARANTINE_CRASHES) {
                quarantine(service, fingerprint);
                sendAll(fingerprint);
            }
        }
    }

    /** Several endpoints that go at once without a common request were not brought down by a request. */
    private boolean isInfrastructureFailure() {
        if (heldBack.size() < INFRASTRUCTURE_FAILURE_ENDPOINTS) {
            return false;
        }
        Set<Fingerprint> common = new HashSet<>(heldBack.getFirst().batch);
        heldBack.forEach(report -> common.retainAll(report.batch));
        return common.isEmpty();
    }

    private void withdraw(CrashReport report) {
        for (Fingerprint fingerprint : report.counted) {
            Key key = new Key(report.endpoint.service.name, fingerprint);
            Suspicion suspicion = suspicions.get(key);
            if (suspicion != null && !suspicion.quarantined && --suspicion.crashes <= 0 && !suspicion.named) {
                suspicions.remove(key);
            }
        }
    }

    private void sendAll(Fingerprint fingerprint) {
        heldBack.stream()
                .filter(report -> report.batch.contains(fingerprint))
                .toList()
                .forEach(this::send);
    }

    private void send(CrashReport report) {
        if (heldBack.remove(report) && !report.counted.isEmpty()) {
            tables.counters.crashes++;
            tables.emit(new RequestCommand.ReportCrash(
                    report.endpoint.service.name,
                    report.endpoint.id,
                    report.endpoint.record.incarnation(),
                    List.copyOf(report.counted)));
        }
    }

    // ---- State from the control process ----

    void changed(RequestInput.QuarantineChanged input) {
        Map<ServiceName, Set<Fingerprint>> before = named;
        named = Map.copyOf(input.quarantined());
        named.forEach((service, fingerprints) -> fingerprints.stream()
                .filter(fingerprint -> !before.getOrDefault(service, Set.of()).contains(fingerprint))
                .forEach(fingerprint -> refuseAll(service, fingerprint)));
        // A suspect that was answered since it was first named is cleared and not named again.
        for (Fingerprint fingerprint : input.suspects()) {
            if (!namedSuspects.contains(fingerprint)) {
                tables.services.keySet().forEach(service -> suspect(service, fingerprint).named = true);
            }
        }
        namedSuspects = input.suspects();
    }

    private void quarantine(ServiceName service, Fingerprint fingerprint) {
        Suspicion suspicion = suspect(service, fingerprint);
        if (!suspicion.quarantined) {
            suspicion.quarantined = true;
            tables.timers.at(tables.now + AGREEMENT_MILLISECONDS, () -> agree(service, fingerprint));
        }
    }

    private void agree(ServiceName service, Fingerprint fingerprint) {
        suspect(service, fingerprint).agreed = true;
        refuseAll(service, fingerprint);
    }

    private void refuseAll(ServiceName service, Fingerprint fingerprint) {
        // Quarantine is rare, so a search through all requests is cheaper than an index.
        tables.requests.values().stream()
                .filter(row -> row.service.name.equals(service)
                        && row.arrival.fingerprint().equals(fingerprint))
                .toList()
                .forEach(this::refuse);
    }

    /** Requests with an open attempt are refused when it ends, so that a broken batch is seen whole. */
    private void refuse(RequestRow row) {
        if (row.attempt == null && row.state != RequestRow.State.CLAIMING) {
            completion.refuse(row, ErrorCode.REQUEST_QUARANTINED, 0);
        }
    }

    private Suspicion suspect(ServiceName service, Fingerprint fingerprint) {
        Suspicion suspicion = suspicions.computeIfAbsent(new Key(service, fingerprint), key -> new Suspicion());
        suspicion.lastSeen = tables.now;
        return suspicion;
    }

    private Suspicion find(Key key) {
        Suspicion suspicion = suspicions.get(key);
        if (suspicion != null && suspicion.lastSeen < tables.now - REMEMBERED_MILLISECONDS) {
            suspicions.remove(key);
            return null;
        }
        return suspicion;
    }

    private static Key key(RequestRow row) {
        return new Key(row.service.name, row.arrival.fingerprint());
    }
}
