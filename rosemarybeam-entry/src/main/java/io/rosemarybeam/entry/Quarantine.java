package io.rosemarybeam.entry;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.rosemarybeam.common.collection.LeastRecentlyUsedMap;
import io.rosemarybeam.common.id.Fingerprint;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.decision.request.RequestInput;

/**
 * Fingerprints of quarantined requests, which must not run, and of quarantine candidates.
 *
 * <p>Invariant: a fingerprint is retained for one hour after it was last listed, and at most
 * {@value #MAXIMUM_FINGERPRINTS} of each kind are retained. Confined to the decision thread.
 */
final class Quarantine {
    private static final int MAXIMUM_FINGERPRINTS = 10_000;
    private static final long RETENTION_MILLISECONDS = 3_600_000;

    private final Map<Key, Long> quarantined = new LeastRecentlyUsedMap<>(MAXIMUM_FINGERPRINTS);
    private final Map<Key, Long> candidates = new LeastRecentlyUsedMap<>(MAXIMUM_FINGERPRINTS);

    /**
     * Identifies the requests of a service that share a fingerprint.
     *
     * @param service the service
     * @param fingerprint fingerprint of the requests
     */
    private record Key(ServiceName service, Fingerprint fingerprint) {}

    /**
     * Adds the fingerprints in the answer to a crash report.
     *
     * @param service the service
     * @param newQuarantined fingerprints that must not run
     * @param newCandidates fingerprints that may run, but never two on one endpoint
     * @param nowMilliseconds current time of the monotonic clock
     */
    void add(
            ServiceName service,
            Collection<Fingerprint> newQuarantined,
            Collection<Fingerprint> newCandidates,
            long nowMilliseconds) {
        newCandidates.forEach(fingerprint -> candidates.put(new Key(service, fingerprint), nowMilliseconds));
        newQuarantined.forEach(fingerprint -> {
            Key key = new Key(service, fingerprint);
            quarantined.put(key, nowMilliseconds);
            candidates.remove(key);
        });
    }

    /**
     * Adds the quarantined fingerprints that the control process lists.
     *
     * @param listed fingerprints as {@code service/fingerprint}
     * @param nowMilliseconds current time of the monotonic clock
     * @return whether any was not quarantined before
     */
    boolean addListed(List<String> listed, long nowMilliseconds) {
        boolean changed = false;
        for (String text : listed) {
            int slash = text.lastIndexOf('/');
            Key key = new Key(ServiceName.of(text.substring(0, slash)), Fingerprint.of(text.substring(slash + 1)));
            changed |= quarantined.put(key, nowMilliseconds) == null;
            candidates.remove(key);
        }
        return changed;
    }

    /**
     * Removes fingerprints whose retention period has passed.
     *
     * @param nowMilliseconds current time of the monotonic clock
     * @return whether any was removed
     */
    boolean expire(long nowMilliseconds) {
        boolean dropped = quarantined.values().removeIf(at -> nowMilliseconds - at > RETENTION_MILLISECONDS);
        return candidates.values().removeIf(at -> nowMilliseconds - at > RETENTION_MILLISECONDS) || dropped;
    }

    RequestInput asInput() {
        Map<ServiceName, Set<Fingerprint>> byService = new HashMap<>();
        quarantined
                .keySet()
                .forEach(key -> byService
                        .computeIfAbsent(key.service(), service -> new HashSet<>())
                        .add(key.fingerprint()));
        Set<Fingerprint> candidateFingerprints = new HashSet<>();
        candidates.keySet().forEach(key -> candidateFingerprints.add(key.fingerprint()));
        return new RequestInput.QuarantineChanged(byService, candidateFingerprints);
    }
}
