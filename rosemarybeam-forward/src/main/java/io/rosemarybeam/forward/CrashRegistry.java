package io.rosemarybeam.forward;

import java.util.List;
import java.util.function.Consumer;

import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;
import io.rosemarybeam.common.id.Fingerprint;
import io.rosemarybeam.common.wire.EndpointAnnouncement;
import io.rosemarybeam.common.wire.EndpointCrash;
import io.rosemarybeam.common.wire.EndpointCrash.State;
import io.rosemarybeam.decision.routing.CrashTable;

/**
 * The crashes of endpoints that this process knows, by the requests that they ran, and their exchange with other processes.
 *
 * <p>Invariant: what this process observes itself is published at once, so that a request is counted across all edges to
 * which its caller sends it. Confined to one event loop.
 */
public final class CrashRegistry {
    private static final EventLog LOG = EventLog.of(CrashRegistry.class);

    private final CrashTable table = new CrashTable();
    private final Consumer<List<EndpointCrash>> publisher;

    /**
     * Creates an empty registry.
     *
     * @param publisher sends what this process has observed to other processes
     */
    public CrashRegistry(Consumer<List<EndpointCrash>> publisher) {
        this.publisher = publisher;
    }

    /** Returns whether no crash is known, so that no fingerprint is needed. */
    boolean isEmpty() {
        return table.isEmpty();
    }

    int crashes(Fingerprint fingerprint) {
        return table.crashes(fingerprint);
    }

    /** Returns for how long a request must not run, in milliseconds; 0 if it may run. */
    long remainingQuarantine(Fingerprint fingerprint) {
        return table.remainingQuarantine(fingerprint, Forwarder.now());
    }

    /** Records that an endpoint crashed while it ran a request. */
    void recordCrash(Fingerprint fingerprint, EndpointAnnouncement endpoint) {
        record(fingerprint, endpoint, State.CONFIRMED);
    }

    /** Records that an endpoint may have crashed while it ran a request. */
    void recordSuspicion(Fingerprint fingerprint, EndpointAnnouncement endpoint) {
        record(fingerprint, endpoint, State.SUSPECTED);
    }

    private void record(Fingerprint fingerprint, EndpointAnnouncement endpoint, State state) {
        mergeAndPublish(
                List.of(EndpointCrash.of(fingerprint, endpoint.id(), endpoint.startedMilliseconds(), 0, state)));
    }

    /**
     * Records that an endpoint has sent a heartbeat, which disproves that it crashed before.
     *
     * @param endpoint the content of the heartbeat
     */
    public void recordHeartbeat(EndpointAnnouncement endpoint) {
        mergeAndPublish(table.disproving(endpoint.id(), endpoint.startedMilliseconds(), Forwarder.now()));
    }

    /** Records that a request was answered in full, so that its earlier crashes had another cause. */
    void recordAnswer(Fingerprint fingerprint) {
        mergeAndPublish(table.clearing(fingerprint, Forwarder.now()));
    }

    private void mergeAndPublish(List<EndpointCrash> observed) {
        List<EndpointCrash> changes = merge(observed);
        if (!changes.isEmpty()) {
            publisher.accept(changes);
        }
    }

    /**
     * Merges crashes that another process has observed.
     *
     * @param crashes the crashes
     * @return those that were new
     */
    public List<EndpointCrash> merge(List<EndpointCrash> crashes) {
        return crashes.stream().filter(this::add).toList();
    }

    private boolean add(EndpointCrash crash) {
        long now = Forwarder.now();
        boolean isNew = table.add(crash, now);
        int crashes = table.crashes(crash.fingerprint());
        if (isNew && crash.cleared()) {
            LOG.log(
                    Event.CRASH_CLEARED,
                    "fingerprint",
                    crash.fingerprint(),
                    "endpoint",
                    crash.endpoint(),
                    "state",
                    crash.state(),
                    "crashes",
                    crashes);
        } else if (isNew && crashes >= CrashTable.CRASHES_BEFORE_QUARANTINE) {
            LOG.log(
                    Event.REQUEST_QUARANTINED,
                    "fingerprint",
                    crash.fingerprint(),
                    "endpoint",
                    crash.endpoint(),
                    "crashes",
                    crashes,
                    "remaining",
                    table.remainingQuarantine(crash.fingerprint(), now));
        }
        return isNew;
    }

    /**
     * Returns all known crashes, for a process that connects.
     *
     * @return the crashes; empty if there are none
     */
    public List<EndpointCrash> all() {
        return table.all(Forwarder.now());
    }

    /**
     * Returns the number of requests that must not run.
     *
     * @return the number of quarantined requests
     */
    public int quarantined() {
        return table.quarantined(Forwarder.now());
    }

    /** Removes crashes that are long past; to be called periodically. */
    public void tick() {
        table.expire(Forwarder.now());
    }
}
