package io.rosemarybeam.decision.request;

import java.util.Set;

import io.rosemarybeam.common.id.Fingerprint;

/**
 * A crash of an endpoint whose report is deferred until it is known whether it is part of an infrastructure failure.
 *
 * <p>Confined to the thread of the core.
 */
final class CrashReport {
    final EndpointRow endpoint;
    final long crashedAt;

    /** The requests that were running on the endpoint. */
    final Set<Fingerprint> batchFingerprints;

    /** The requests whose crash count this crash increased. */
    final Set<Fingerprint> countedFingerprints;

    CrashReport(
            EndpointRow endpoint,
            long crashedAt,
            Set<Fingerprint> batchFingerprints,
            Set<Fingerprint> countedFingerprints) {
        this.endpoint = endpoint;
        this.crashedAt = crashedAt;
        this.batchFingerprints = batchFingerprints;
        this.countedFingerprints = countedFingerprints;
    }
}
