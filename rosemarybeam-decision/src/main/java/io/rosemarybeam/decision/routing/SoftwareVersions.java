package io.rosemarybeam.decision.routing;

import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.wire.EndpointAnnouncement;
import io.rosemarybeam.common.wire.ServiceVersion;
import io.rosemarybeam.common.wire.VersionHistory;

/**
 * The software versions that served lately, including those that were heard of before this process started.
 *
 * <p>Load pattern: all processes are restarted during a rollout, and the endpoints of one version announce themselves seconds
 * later than those of another. The directory of endpoints then has one version, although streams of two are open.
 *
 * <p>Invariant: a version is forgotten only after no endpoint has run it for {@link EndpointDirectory#RETENTION_MILLISECONDS} of
 * the life of this process. The history is complete if it was restored or learned from a complete one, if the cluster began with
 * it, or if it covers that time. Confined to one thread.
 */
public final class SoftwareVersions {
    /** Maximum number of versions; without it, endpoints that announce a new version each time would fill the memory. */
    static final int MAXIMUM_VERSIONS = 1_000;

    private final Map<ServiceVersion, Long> lastHeard = new LinkedHashMap<>();

    /** Monotonic time from which on the history is complete, in milliseconds. */
    private long completeFrom;

    private SoftwareVersions(long completeFrom) {
        this.completeFrom = completeFrom;
    }

    /**
     * Creates a history.
     *
     * @param known what is known from before the start of this process
     * @param now monotonic time, in milliseconds
     * @return the history
     */
    public static SoftwareVersions of(VersionHistory known, long now) {
        SoftwareVersions created =
                new SoftwareVersions(known.isComplete() ? now : now + EndpointDirectory.RETENTION_MILLISECONDS);
        known.versions().forEach(version -> created.record(version, now));
        return created;
    }

    /**
     * Records that an endpoint runs a version.
     *
     * @param version the version
     * @param now monotonic time, in milliseconds
     * @return whether the version was not known
     */
    public boolean record(ServiceVersion version, long now) {
        boolean isNew = lastHeard.put(version, now) == null;
        if (lastHeard.size() > MAXIMUM_VERSIONS) {
            Iterator<ServiceVersion> oldest = lastHeard.keySet().iterator();
            oldest.next();
            oldest.remove();
            completeFrom = now + EndpointDirectory.RETENTION_MILLISECONDS;
        }
        return isNew;
    }

    /**
     * Adds what another host knows. A complete history makes this one complete.
     *
     * @param other the history of the other host
     * @param now monotonic time, in milliseconds
     * @return whether this history has changed
     */
    public boolean merge(VersionHistory other, long now) {
        boolean wasComplete = isComplete(now);
        boolean isChanged = false;
        for (ServiceVersion version : other.versions()) {
            isChanged |= lastHeard.putIfAbsent(version, now) == null;
        }
        if (other.isComplete()) {
            completeFrom = Math.min(completeFrom, now);
        }
        return isChanged || wasComplete != isComplete(now);
    }

    /**
     * Forgets the versions that no endpoint has run for the retention period.
     *
     * @param endpoints the endpoints that are known now
     * @param now monotonic time, in milliseconds
     * @return whether a version was forgotten
     */
    public boolean retain(Collection<EndpointAnnouncement> endpoints, long now) {
        endpoints.forEach(endpoint -> lastHeard.replace(ServiceVersion.of(endpoint), now));
        return lastHeard.values().removeIf(heard -> now - heard > EndpointDirectory.RETENTION_MILLISECONDS);
    }

    private boolean isComplete(long now) {
        return now >= completeFrom;
    }

    /**
     * Returns the versions of a service that served lately.
     *
     * @param service the service
     * @param now monotonic time, in milliseconds
     * @return the versions; empty if there may be others
     */
    public Optional<List<String>> of(ServiceName service, long now) {
        if (!isComplete(now)) {
            return Optional.empty();
        }
        return Optional.of(lastHeard.keySet().stream()
                .filter(version -> version.service().equals(service))
                .map(ServiceVersion::softwareVersion)
                .toList());
    }

    /**
     * Returns what this host knows, to be stored or sent to another host.
     *
     * @param now monotonic time, in milliseconds
     * @return the history
     */
    public VersionHistory history(long now) {
        return new VersionHistory(List.copyOf(lastHeard.keySet()), isComplete(now));
    }
}
