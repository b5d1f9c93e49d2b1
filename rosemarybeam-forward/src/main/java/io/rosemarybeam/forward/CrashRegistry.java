package io.rosemarybeam.forward;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;
import io.rosemarybeam.common.id.Fingerprint;
import io.rosemarybeam.common.wire.EndpointAnnouncement;
import io.rosemarybeam.common.wire.EndpointCrash;
import io.rosemarybeam.common.wire.StoreMessage.CrashNews;
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
    private final Consumer<CrashNews> publisher;

    /**
     * Creates an empty registry.
     *
     * @param publisher sends what this process has observed to other processes
     */
    public CrashRegistry(Consumer<CrashNews> publisher) {
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
        EndpointCrash crash = new EndpointCrash(fingerprint, endpoint.id(), endpoint.startedMilliseconds(), 0);
        publish(merge(new CrashNews(List.of(crash), List.of())));
    }

    /** Records that a request was answered in full, so that its earlier crashes had another cause. */
    void recordAnswer(Fingerprint fingerprint) {
        publish(merge(new CrashNews(List.of(), List.of(fingerprint))));
    }

    private void publish(Optional<CrashNews> changes) {
        changes.ifPresent(publisher);
    }

    /**
     * Merges crashes and answers that another process has observed.
     *
     * @param news the crashes and answers
     * @return those that were not known yet; empty if there are none
     */
    public Optional<CrashNews> merge(CrashNews news) {
        List<EndpointCrash> added = news.crashes().stream().filter(this::add).toList();
        List<Fingerprint> cleared = news.answered().stream().filter(this::clear).toList();
        return added.isEmpty() && cleared.isEmpty() ? Optional.empty() : Optional.of(new CrashNews(added, cleared));
    }

    private boolean add(EndpointCrash crash) {
        long now = Forwarder.now();
        if (!table.add(crash, now)) {
            return false;
        }
        int crashes = table.crashes(crash.fingerprint());
        if (crashes >= CrashTable.CRASHES_BEFORE_QUARANTINE) {
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
        return true;
    }

    private boolean clear(Fingerprint fingerprint) {
        int crashes = table.crashes(fingerprint);
        if (!table.clear(fingerprint)) {
            return false;
        }
        LOG.log(Event.CRASHES_CLEARED, "fingerprint", fingerprint, "crashes", crashes);
        return true;
    }

    /**
     * Returns all known crashes, for a process that connects.
     *
     * @return the crashes; empty if there are none
     */
    public Optional<CrashNews> all() {
        return table.isEmpty() ? Optional.empty() : Optional.of(new CrashNews(table.all(Forwarder.now()), List.of()));
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
