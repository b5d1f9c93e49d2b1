package io.rosemarybeam.control.state;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.rosemarybeam.common.error.ControlException;
import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.Fingerprint;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.wire.ControlReply.QuarantineState;
import io.rosemarybeam.common.wire.EntryRequest.ReportCrash;

/**
 * The crashed endpoints with the requests that they were running, and the quarantined requests, which must not run
 * again.
 *
 * <p>A fingerprint is quarantined when it was in the batches of two crashed endpoints and was either alone in one of
 * them or the only one common to both. All other fingerprints of a batch are quarantine candidates. Reports of several
 * entries about the same incarnation of an endpoint count as one crash. Confined to the thread of the state machine.
 */
public final class QuarantineTable {
    /** Maximum number of fingerprints stored in crashes and quarantine together. */
    public static final int MAXIMUM_FINGERPRINTS = 10_000;

    /** Time for which a crash or a quarantined fingerprint is stored after its last report, in milliseconds. */
    public static final long RETENTION_MILLISECONDS = 60L * 60 * 1_000;

    private final Map<CrashKey, Crash> crashes = new LinkedHashMap<>();
    private final Map<FingerprintKey, Quarantined> quarantined = new LinkedHashMap<>();
    private int fingerprints;

    /** Records a crash and returns which fingerprints of its batch are quarantined and which are candidates. */
    QuarantineState report(ReportCrash report, long now, long version) {
        CrashKey key = new CrashKey(report.service(), report.endpoint(), report.incarnation());
        Crash before = crashes.getOrDefault(key, new Crash(List.of(), now));
        Set<Fingerprint> batch = new LinkedHashSet<>(before.batch);
        batch.addAll(report.batch());
        int added = batch.size() - before.batch.size();
        if (fingerprints + added > MAXIMUM_FINGERPRINTS) {
            throw new ControlException(
                    ErrorCode.TABLE_FULL, MAXIMUM_FINGERPRINTS + " fingerprints are stored, which is the maximum");
        }
        fingerprints += added;
        crashes.put(key, new Crash(List.copyOf(batch), now));
        for (Fingerprint fingerprint : batch) {
            FingerprintKey fingerprintKey = new FingerprintKey(report.service(), fingerprint);
            Quarantined current = quarantined.get(fingerprintKey);
            if (current != null) {
                quarantined.put(fingerprintKey, new Quarantined(current.version, now));
            }
        }
        crashes.forEach((otherKey, other) -> {
            if (!otherKey.equals(key) && otherKey.service.equals(key.service)) {
                compare(key.service, batch, new LinkedHashSet<>(other.batch), now, version);
            }
        });
        return stateOf(report.service(), report.batch());
    }

    private void compare(ServiceName service, Set<Fingerprint> first, Set<Fingerprint> second, long now, long version) {
        Set<Fingerprint> common = new LinkedHashSet<>(first);
        common.retainAll(second);
        if (common.size() != 1) {
            // A fingerprint that was alone in one batch is the only common one too, so this check covers both rules.
            return;
        }
        FingerprintKey key = new FingerprintKey(service, common.iterator().next());
        if (!quarantined.containsKey(key)) {
            quarantined.put(key, new Quarantined(version, now));
            fingerprints++;
        }
    }

    private QuarantineState stateOf(ServiceName service, List<Fingerprint> batch) {
        List<Fingerprint> refused = new ArrayList<>();
        List<Fingerprint> candidates = new ArrayList<>();
        for (Fingerprint fingerprint : batch) {
            boolean isQuarantined = quarantined.containsKey(new FingerprintKey(service, fingerprint));
            (isQuarantined ? refused : candidates).add(fingerprint);
        }
        return new QuarantineState(refused, candidates);
    }

    void expire(long now) {
        long oldest = now - RETENTION_MILLISECONDS;
        crashes.values().removeIf(crash -> {
            boolean expired = crash.lastSeen <= oldest;
            fingerprints -= expired ? crash.batch.size() : 0;
            return expired;
        });
        quarantined.values().removeIf(request -> {
            boolean expired = request.lastSeen <= oldest;
            fingerprints -= expired ? 1 : 0;
            return expired;
        });
    }

    /**
     * Returns when the next crash or quarantined fingerprint expires.
     *
     * @return the leader time, in milliseconds, or {@link Long#MAX_VALUE} if the table is empty
     */
    public long nextExpiry() {
        long next = Long.MAX_VALUE;
        for (Crash crash : crashes.values()) {
            next = Math.min(next, crash.lastSeen + RETENTION_MILLISECONDS);
        }
        for (Quarantined request : quarantined.values()) {
            next = Math.min(next, request.lastSeen + RETENTION_MILLISECONDS);
        }
        return next;
    }

    /**
     * Returns the fingerprints that were quarantined after a version.
     *
     * @param version version of the quarantine that the requester has; zero for all
     * @return the fingerprints as {@code service/fingerprint}
     */
    public List<String> quarantinedSince(long version) {
        return quarantined.entrySet().stream()
                .filter(entry -> entry.getValue().version > version)
                .map(entry -> entry.getKey().service + "/" + entry.getKey().fingerprint)
                .toList();
    }

    SnapshotData snapshotData() {
        List<CrashRow> crashRows = crashes.entrySet().stream()
                .map(entry -> new CrashRow(entry.getKey(), entry.getValue()))
                .toList();
        List<QuarantineRow> quarantineRows = quarantined.entrySet().stream()
                .map(entry -> new QuarantineRow(entry.getKey(), entry.getValue()))
                .toList();
        return new SnapshotData(crashRows, quarantineRows);
    }

    void restore(SnapshotData data) {
        crashes.clear();
        quarantined.clear();
        fingerprints = data.quarantined.size();
        for (CrashRow row : data.crashes) {
            crashes.put(row.key, row.crash);
            fingerprints += row.crash.batch.size();
        }
        data.quarantined.forEach(row -> quarantined.put(row.key, row.quarantined));
    }

    /** Identifies a crash. Immutable. */
    record CrashKey(ServiceName service, EndpointId endpoint, long incarnation) {}

    /** Requests that a crashed endpoint was running, with the leader time of the last report. Immutable. */
    record Crash(List<Fingerprint> batch, long lastSeen) {}

    /** Identifies a request of a service. Immutable. */
    record FingerprintKey(ServiceName service, Fingerprint fingerprint) {}

    /** A quarantined request: version of the quarantine that added it, leader time of its last report. Immutable. */
    record Quarantined(long version, long lastSeen) {}

    /** A crash in a snapshot. Immutable. */
    record CrashRow(CrashKey key, Crash crash) {}

    /** A quarantined request in a snapshot. Immutable. */
    record QuarantineRow(FingerprintKey key, Quarantined quarantined) {}

    /** The contents of the table in a snapshot. Immutable. */
    record SnapshotData(List<CrashRow> crashes, List<QuarantineRow> quarantined) {}
}
