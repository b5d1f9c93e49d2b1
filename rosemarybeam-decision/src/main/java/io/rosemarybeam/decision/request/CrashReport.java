package io.rosemarybeam.decision.request;

import java.util.Set;

import io.rosemarybeam.common.id.Fingerprint;

/** A crash that is held back until it is clear whether it is part of a larger failure. Confined to the thread of the core. */
final class CrashReport {
    final EndpointRow endpoint;
    final long crashedAt;

    /** All requests that were running. */
    final Set<Fingerprint> batchFingerprints;

    /** The requests for which this crash counts. */
    final Set<Fingerprint> countedFingerprints;

    CrashReport(EndpointRow endpoint, long crashedAt, Set<Fingerprint> batch, Set<Fingerprint> counted) {
        this.endpoint = endpoint;
        this.crashedAt = crashedAt;
        this.batchFingerprints = batch;
        this.countedFingerprints = counted;
    }
}
