package io.rosemarybeam.forward;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;
import io.rosemarybeam.common.wire.EndpointAnnouncement;
import io.rosemarybeam.common.wire.SuspectedRestart;
import io.rosemarybeam.decision.routing.RestartTable;

/**
 * The endpoints that may have restarted with other software since their last announcement, and the exchange of this knowledge
 * with other processes.
 *
 * <p>Invariant: what this process observes itself is published at once, because a caller may resume its stream at any other
 * host. Confined to one event loop.
 */
public final class RestartRegistry {
    private static final EventLog LOG = EventLog.of(RestartRegistry.class);

    private final RestartTable table = new RestartTable();
    private final Consumer<List<SuspectedRestart>> publisher;

    /**
     * Creates an empty registry.
     *
     * @param publisher sends what this process has observed to other processes
     */
    public RestartRegistry(Consumer<List<SuspectedRestart>> publisher) {
        this.publisher = publisher;
    }

    /** Returns whether the process that an announcement describes still answers at its address, as far as is known here. */
    boolean isConfirmed(EndpointAnnouncement announcement) {
        return table.isConfirmed(announcement, Forwarder.now());
    }

    /**
     * Records that no process listened at the address of an endpoint.
     *
     * @param cutOff whether no endpoint of the service can be reached from here
     */
    void suspect(EndpointAnnouncement endpoint, boolean cutOff) {
        List<SuspectedRestart> changes =
                merge(List.of(new SuspectedRestart(endpoint.id(), endpoint.startedMilliseconds(), 0, cutOff, false)));
        if (!changes.isEmpty()) {
            publisher.accept(changes);
        }
    }

    /**
     * Records a heartbeat that this process received from its endpoint.
     *
     * @param heartbeat its content, which is newer than all others known here
     */
    public void recordHeartbeat(EndpointAnnouncement heartbeat) {
        Optional<SuspectedRestart> disproof = table.disprove(heartbeat, Forwarder.now());
        disproof.ifPresent(RestartRegistry::log);
        disproof.map(List::of).ifPresent(publisher);
    }

    /**
     * Merges what another process has observed.
     *
     * @param suspicions suspicions and disproofs
     * @return those that were new
     */
    public List<SuspectedRestart> merge(List<SuspectedRestart> suspicions) {
        List<SuspectedRestart> changes = suspicions.stream()
                .filter(suspicion -> table.merge(suspicion, Forwarder.now()))
                .toList();
        changes.forEach(RestartRegistry::log);
        return changes;
    }

    private static void log(SuspectedRestart change) {
        LOG.log(
                change.disproved() ? Event.RESTART_DISPROVED : Event.RESTART_SUSPECTED,
                "endpoint",
                change.endpoint(),
                "started",
                change.startedMilliseconds(),
                "age",
                change.ageMilliseconds(),
                "cutOff",
                change.cutOff());
    }

    /**
     * Returns all suspicions, for a process that connects.
     *
     * @return the suspicions; empty if there are none
     */
    public List<SuspectedRestart> all() {
        return table.all(Forwarder.now());
    }

    /** Removes suspicions that are long past; to be called periodically. */
    public void tick() {
        table.expire(Forwarder.now());
    }
}
