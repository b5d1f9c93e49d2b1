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
 * Detects crashed endpoints, counts the crashes of each request and quarantines requests that crash endpoints.
 *
 * <p>An endpoint has crashed if all its open attempts, the batch, break within a short time. The requests of the batch
 * become quarantine candidates, of which an endpoint runs at most one at a time. When several endpoints crash at once
 * without a common request, the infrastructure has failed, such as a rack or a link, and no request becomes a
 * candidate. Invariant: a request that was answered in full is no candidate, unless it is quarantined already. Confined
 * to the thread of the core.
 */
final class CrashSystem {
    /** Window within which all connections to a crashed endpoint break. */
    private static final long BATCH_WINDOW_MILLISECONDS = 500;

    /** Events of one endpoint arrive over several threads; an answer this soon after a break may precede it. */
    private static final long REORDERING_WINDOW_MILLISECONDS = 50;

    /** Crashes within this window may have a common cause; reports are deferred for as long. */
    private static final long COMMON_CAUSE_WINDOW_MILLISECONDS = 200;

    /** Number of crashes within that window, without a common request, that indicates a failure of the infrastructure. */
    private static final int INFRASTRUCTURE_FAILURE_CRASHES = 3;

    /** Crashes after which this entry quarantines a request. */
    private static final int CRASHES_BEFORE_QUARANTINE = 2;

    /**
     * Maximum time for which the refusal of a quarantined request is delayed until the control process publishes the
     * quarantine. If it were refused earlier, its caller could send it to an entry that does not know of the
     * quarantine and crash further endpoints.
     */
    private static final long AGREEMENT_TIMEOUT_MILLISECONDS = 500;

    /**
     * How long a candidate is retained after its last crash. Refusals do not extend it, so that a request which was
     * quarantined by mistake is released although its caller returns.
     */
    private static final long CANDIDATE_RETENTION_MILLISECONDS = 3_600_000;

    /** Bounds the memory; the least recently used candidate is evicted first. */
    private static final int MAXIMUM_CANDIDATES = 10_000;

    private record Key(ServiceName service, Fingerprint fingerprint) {}

    private final Tables tables;
    private final CompletionSystem completion;

    /** Quarantined requests by service, as last published by the control process. */
    private Map<ServiceName, Set<Fingerprint>> publishedQuarantine = Map.of();

    /** Quarantine candidates, as last published by the control process. */
    private Set<Fingerprint> publishedCandidates = Set.of();

    private final List<CrashReport> pendingReports = new ArrayList<>();
    private long infrastructureFailureUntil;
    private final Map<Key, QuarantineCandidate> candidates = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Key, QuarantineCandidate> eldest) {
            return size() > MAXIMUM_CANDIDATES
                    || eldest.getValue().lastSeen < tables.now - CANDIDATE_RETENTION_MILLISECONDS;
        }
    };

    CrashSystem(Tables tables, CompletionSystem completion) {
        this.tables = tables;
        this.completion = completion;
    }

    /**
     * Returns whether a request must not run. Samples and scores are never refused, because the system owes them to a
     * trainer: a quarantined one runs apart from all other candidates.
     */
    boolean mustRefuse(RequestInput.RequestArrived arrival) {
        return arrival.precedence() != RequestInput.Precedence.TRAINING
                && isQuarantined(arrival.service(), arrival.fingerprint());
    }

    private boolean isQuarantined(ServiceName service, Fingerprint fingerprint) {
        if (isPublishedAsQuarantined(service, fingerprint)) {
            return true;
        }
        QuarantineCandidate candidate = findCandidate(new Key(service, fingerprint));
        return candidate != null && candidate.quarantined;
    }

    /**
     * Removes a queued request from the queue if it has been quarantined in the meantime, and refuses it as in
     * {@link #refuseAfterAgreement}; returns whether it was removed.
     */
    boolean deferIfQuarantined(RequestRow row) {
        boolean refused = mustRefuse(row.arrival);
        if (refused) {
            row.service.queue.remove(row);
            refuseAfterAgreement(row);
        }
        return refused;
    }

    /** Refuses a quarantined request as soon as the quarantine is published or the wait for that has timed out. */
    void refuseAfterAgreement(RequestRow row) {
        row.state = RequestRow.State.WAITING_FOR_RETRY;
        QuarantineCandidate candidate = findCandidate(key(row));
        if (candidate == null
                || candidate.agreementWaitEnded
                || isPublishedAsQuarantined(row.service.name, row.arrival.fingerprint())) {
            refuse(row);
        }
    }

    private boolean isPublishedAsQuarantined(ServiceName service, Fingerprint fingerprint) {
        return publishedQuarantine.getOrDefault(service, Set.of()).contains(fingerprint);
    }

    /** Returns whether a request may run only on an endpoint that runs no other candidate. */
    boolean isQuarantineCandidate(RequestRow row) {
        boolean isKnown = !candidates.isEmpty() && findCandidate(key(row)) != null;
        return isKnown || isPublishedAsQuarantined(row.service.name, row.arrival.fingerprint());
    }

    boolean runsQuarantineCandidate(EndpointRow endpoint) {
        for (AttemptRow attempt : endpoint.open) {
            if (isQuarantineCandidate(attempt.request)) {
                return true;
            }
        }
        return false;
    }

    /** Handles the failure of an attempt that is still listed as open. */
    void handleFailed(AttemptRow attempt, AttemptFailure failure) {
        switch (failure) {
            case BROKEN -> handleBroken(attempt);
            case CONNECT_FAILED, SILENT -> handleInconclusiveEnd(attempt);
            case REFUSED_NOT_RUN, ERROR_ANSWER, MISMATCHED -> handleAnswered(attempt);
            default -> throw new IllegalStateException("unexpected failure " + failure);
        }
    }

    private void handleBroken(AttemptRow attempt) {
        EndpointRow endpoint = attempt.endpoint;
        if (endpoint.batch.isEmpty() || tables.now - endpoint.batchOpenedAt > BATCH_WINDOW_MILLISECONDS) {
            endpoint.batch.clear();
            endpoint.batchStillOpen.clear();
            for (AttemptRow open : endpoint.open) {
                if (open.sent || open == attempt) {
                    endpoint.batch.add(open);
                    endpoint.batchStillOpen.add(open);
                }
            }
            endpoint.batchOpenedAt = tables.now;
        }
        handleInconclusiveEnd(attempt);
    }

    /** Handles an attempt that ended in a way that does not show whether its endpoint is alive. */
    void handleInconclusiveEnd(AttemptRow attempt) {
        EndpointRow endpoint = attempt.endpoint;
        if (tables.now - endpoint.batchOpenedAt > BATCH_WINDOW_MILLISECONDS) {
            endpoint.batch.clear();
        }
        endpoint.batchStillOpen.remove(attempt);
        if (endpoint.batchStillOpen.isEmpty() && !endpoint.batch.isEmpty()) {
            List<AttemptRow> batch = List.copyOf(endpoint.batch);
            endpoint.batch.clear();
            handleCrash(endpoint, batch);
        }
    }

    /** Handles an answer of an endpoint; one that still answers some time after an attempt broke has not crashed. */
    private void handleAnswered(AttemptRow attempt) {
        EndpointRow endpoint = attempt.endpoint;
        if (tables.now - endpoint.batchOpenedAt > REORDERING_WINDOW_MILLISECONDS) {
            endpoint.batch.clear();
            endpoint.batchStillOpen.clear();
        } else {
            handleInconclusiveEnd(attempt);
        }
    }

    /** Handles a complete answer, after which the request is no longer a candidate unless it is quarantined. */
    void handleCompleted(AttemptRow attempt) {
        handleAnswered(attempt);
        if (!candidates.isEmpty()) {
            candidates.computeIfPresent(
                    key(attempt.request), (key, candidate) -> candidate.quarantined ? candidate : null);
        }
    }

    private void handleCrash(EndpointRow endpoint, List<AttemptRow> batch) {
        ServiceName service = endpoint.service.name;
        if (tables.now < infrastructureFailureUntil) {
            infrastructureFailureUntil = tables.now + COMMON_CAUSE_WINDOW_MILLISECONDS;
            return;
        }
        Set<Fingerprint> fingerprints = new LinkedHashSet<>();
        Set<Fingerprint> counted = new LinkedHashSet<>();
        for (AttemptRow attempt : batch) {
            Fingerprint fingerprint = attempt.request.arrival.fingerprint();
            fingerprints.add(fingerprint);
            if (findOrCreateCandidate(service, fingerprint).countCrash(attempt.startedAt, tables.now)) {
                counted.add(fingerprint);
            }
        }
        CrashReport report = new CrashReport(endpoint, tables.now, fingerprints, counted);
        pendingReports.add(report);
        if (isInfrastructureFailure()) {
            infrastructureFailureUntil = tables.now + COMMON_CAUSE_WINDOW_MILLISECONDS;
            pendingReports.forEach(this::undoCounting);
            pendingReports.clear();
            return;
        }
        tables.timers.schedule(tables.now + COMMON_CAUSE_WINDOW_MILLISECONDS, () -> emitReport(report));
        for (Fingerprint fingerprint : counted) {
            QuarantineCandidate candidate = findOrCreateCandidate(service, fingerprint);
            if (candidate.crashes >= CRASHES_BEFORE_QUARANTINE) {
                quarantine(service, fingerprint);
                emitReportsContaining(fingerprint);
            }
        }
    }

    /** Returns whether so many endpoints crashed at once without a common request that no request can be the cause. */
    private boolean isInfrastructureFailure() {
        if (pendingReports.size() < INFRASTRUCTURE_FAILURE_CRASHES) {
            return false;
        }
        Set<Fingerprint> common = new HashSet<>(pendingReports.getFirst().batchFingerprints);
        pendingReports.forEach(report -> common.retainAll(report.batchFingerprints));
        return common.isEmpty();
    }

    private void undoCounting(CrashReport report) {
        for (Fingerprint fingerprint : report.countedFingerprints) {
            Key key = new Key(report.endpoint.service.name, fingerprint);
            QuarantineCandidate candidate = candidates.get(key);
            if (candidate != null
                    && !candidate.quarantined
                    && --candidate.crashes <= 0
                    && !candidate.publishedByControl) {
                candidates.remove(key);
            }
        }
    }

    private void emitReportsContaining(Fingerprint fingerprint) {
        pendingReports.stream()
                .filter(report -> report.batchFingerprints.contains(fingerprint))
                .toList()
                .forEach(this::emitReport);
    }

    private void emitReport(CrashReport report) {
        if (pendingReports.remove(report) && !report.countedFingerprints.isEmpty()) {
            tables.counters.crashes++;
            tables.emit(new RequestCommand.ReportCrash(
                    report.endpoint.service.name,
                    report.endpoint.id,
                    report.endpoint.record.incarnation(),
                    List.copyOf(report.countedFingerprints)));
        }
    }

    void handleQuarantineChanged(RequestInput.QuarantineChanged input) {
        Map<ServiceName, Set<Fingerprint>> before = publishedQuarantine;
        publishedQuarantine = Map.copyOf(input.quarantined());
        publishedQuarantine.forEach((service, fingerprints) -> fingerprints.stream()
                .filter(fingerprint -> !before.getOrDefault(service, Set.of()).contains(fingerprint))
                .forEach(fingerprint -> refuseAll(service, fingerprint)));
        // A candidate that was answered in full since it was first published is not added again.
        for (Fingerprint fingerprint : input.candidates()) {
            if (!publishedCandidates.contains(fingerprint)) {
                tables.services
                        .keySet()
                        .forEach(service -> findOrCreateCandidate(service, fingerprint).publishedByControl = true);
            }
        }
        publishedCandidates = input.candidates();
    }

    private void quarantine(ServiceName service, Fingerprint fingerprint) {
        QuarantineCandidate candidate = findOrCreateCandidate(service, fingerprint);
        if (!candidate.quarantined) {
            candidate.quarantined = true;
            tables.timers.schedule(
                    tables.now + AGREEMENT_TIMEOUT_MILLISECONDS, () -> endAgreementWait(service, fingerprint));
        }
    }

    private void endAgreementWait(ServiceName service, Fingerprint fingerprint) {
        findOrCreateCandidate(service, fingerprint).agreementWaitEnded = true;
        refuseAll(service, fingerprint);
    }

    private void refuseAll(ServiceName service, Fingerprint fingerprint) {
        // Quarantine is rare, so scanning all requests is cheaper than maintaining an index.
        tables.requests.values().stream()
                .filter(row -> !row.isTraining()
                        && row.service.name.equals(service)
                        && row.arrival.fingerprint().equals(fingerprint))
                .toList()
                .forEach(this::refuse);
    }

    /**
     * Refuses a request without an open attempt. One with an open attempt is refused when the attempt ends, so that a
     * broken batch is evaluated completely.
     */
    private void refuse(RequestRow row) {
        if (row.attempt == null && row.state != RequestRow.State.CLAIMING) {
            completion.refuse(row, ErrorCode.REQUEST_QUARANTINED, 0);
        }
    }

    private QuarantineCandidate findOrCreateCandidate(ServiceName service, Fingerprint fingerprint) {
        QuarantineCandidate candidate =
                candidates.computeIfAbsent(new Key(service, fingerprint), key -> new QuarantineCandidate());
        candidate.lastSeen = tables.now;
        return candidate;
    }

    private QuarantineCandidate findCandidate(Key key) {
        QuarantineCandidate candidate = candidates.get(key);
        if (candidate != null && candidate.lastSeen < tables.now - CANDIDATE_RETENTION_MILLISECONDS) {
            candidates.remove(key);
            return null;
        }
        return candidate;
    }

    private static Key key(RequestRow row) {
        return new Key(row.service.name, row.arrival.fingerprint());
    }
}
