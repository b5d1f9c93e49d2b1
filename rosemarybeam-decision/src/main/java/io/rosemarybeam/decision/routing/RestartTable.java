package io.rosemarybeam.decision.routing;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.rosemarybeam.common.collection.LeastRecentlyUsedMap;
import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.wire.EndpointAnnouncement;
import io.rosemarybeam.common.wire.EndpointAnnouncement.State;
import io.rosemarybeam.common.wire.SuspectedRestart;

/**
 * The endpoints that may have restarted since their last announcement.
 *
 * <p>Load pattern: an endpoint crashes and starts again under its id with other software, and its first heartbeat arrives
 * seconds later. Until then its last announcement describes a process that has ended.
 *
 * <p>Invariant: a suspicion concerns one start of an endpoint, so an announcement of a later start is believed at once. Times are
 * monotonic times in milliseconds. Confined to one thread.
 */
public final class RestartTable {
    /** A heartbeat that arrives sooner after a suspicion may have been sent before it; heartbeats may be seconds late. */
    static final long HEARTBEAT_DELAY_MILLISECONDS = 3_000;

    /**
     * Minimum age of a suspicion that the disproof of another host ends. It is smaller than the delay of a heartbeat, because
     * the suspicion reaches hosts at different times, and larger than the time in which a newer one reaches that host.
     */
    static final long DISPROOF_DELAY_MILLISECONDS = HEARTBEAT_DELAY_MILLISECONDS / 2;

    /**
     * Time after which a ready endpoint is believed without a disproof, which hosts of earlier releases do not send. An
     * endpoint that sends no heartbeats is announced as silent after about 5 s.
     */
    static final long EXPIRY_MILLISECONDS = 10_000;

    /** Time for which a suspicion is retained while its endpoint is not ready; as long as its announcement. */
    static final long RETENTION_MILLISECONDS = EndpointDirectory.RETENTION_MILLISECONDS;

    /** A suspicion that is newer by less than this is the same one, as another host reports it. */
    static final long RENEWAL_MILLISECONDS = 1_000;

    /** Maximum number of endpoints, which bounds the memory. */
    private static final int MAXIMUM_ENDPOINTS = 4_096;

    private final Map<EndpointId, Entry> entries = new LeastRecentlyUsedMap<>(MAXIMUM_ENDPOINTS);

    /** The latest suspicion of an endpoint. Immutable. */
    private record Entry(long startedMilliseconds, long since, boolean cutOff) {}

    /**
     * Merges what this host or another one has found out.
     *
     * @param suspicion the suspicion or its disproof
     * @param now monotonic time
     * @return whether other hosts should know it, because it was not known here
     */
    public boolean merge(SuspectedRestart suspicion, long now) {
        Entry known = entries.get(suspicion.endpoint());
        if (suspicion.disproved()) {
            boolean isMeant = known != null
                    && known.startedMilliseconds <= suspicion.startedMilliseconds()
                    && now - known.since >= DISPROOF_DELAY_MILLISECONDS;
            if (isMeant) {
                entries.remove(suspicion.endpoint());
            }
            return isMeant;
        }
        long since = now - Math.max(0, suspicion.ageMilliseconds());
        boolean isSame = known != null && known.startedMilliseconds == suspicion.startedMilliseconds();
        if (known != null && known.startedMilliseconds > suspicion.startedMilliseconds()) {
            return false;
        }
        Entry merged = new Entry(
                suspicion.startedMilliseconds(),
                isSame ? Math.max(since, known.since) : since,
                suspicion.cutOff() && (!isSame || known.cutOff));
        entries.put(suspicion.endpoint(), merged);
        return !isSame || known.cutOff && !suspicion.cutOff() || since - known.since >= RENEWAL_MILLISECONDS;
    }

    /**
     * Returns whether an announcement describes the process that answers at its address, as far as this host knows.
     *
     * @param announcement the latest announcement of an endpoint
     * @param now monotonic time
     * @return false if the process may have ended since
     */
    public boolean isConfirmed(EndpointAnnouncement announcement, long now) {
        Entry known = entries.get(announcement.id());
        return known == null
                || announcement.startedMilliseconds() > known.startedMilliseconds
                || announcement.state() == State.READY && now - known.since >= EXPIRY_MILLISECONDS;
    }

    /**
     * Uses a heartbeat that this host received from its endpoint and that is the newest one.
     *
     * @param heartbeat its content
     * @param now monotonic time
     * @return the disproof for other hosts, if the heartbeat shows that a suspected process runs
     */
    public Optional<SuspectedRestart> disprove(EndpointAnnouncement heartbeat, long now) {
        Entry known = entries.get(heartbeat.id());
        boolean isDisproved = known != null
                && heartbeat.startedMilliseconds() >= known.startedMilliseconds
                && now - known.since >= HEARTBEAT_DELAY_MILLISECONDS;
        if (!isDisproved) {
            return Optional.empty();
        }
        entries.remove(heartbeat.id());
        return Optional.of(new SuspectedRestart(heartbeat.id(), heartbeat.startedMilliseconds(), 0, false, true));
    }

    /**
     * Returns the suspicions for a host that has just connected.
     *
     * @param now monotonic time
     * @return the suspicions that do not concern the connections of one host alone
     */
    public List<SuspectedRestart> all(long now) {
        return entries.entrySet().stream()
                .filter(entry -> !entry.getValue().cutOff)
                .map(entry -> new SuspectedRestart(
                        entry.getKey(),
                        entry.getValue().startedMilliseconds,
                        now - entry.getValue().since,
                        false,
                        false))
                .toList();
    }

    /**
     * Removes the suspicions that no longer matter; to be called periodically.
     *
     * @param now monotonic time
     */
    public void expire(long now) {
        entries.values().removeIf(entry -> now - entry.since >= RETENTION_MILLISECONDS);
    }
}
