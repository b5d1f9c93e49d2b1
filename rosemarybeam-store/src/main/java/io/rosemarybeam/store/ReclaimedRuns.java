package io.rosemarybeam.store;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.decision.batch.GenerationEndpoint;

/**
 * Decides which runs at endpoints that the provider takes away go on elsewhere before their endpoint is gone.
 *
 * <p>A run that is expected to outlast the notice is moved at once if another endpoint has a free slot; without one it goes on
 * generating where it is until {@link #MARGIN_MILLISECONDS} before the end of the notice. A run that is expected to end in time
 * stays. Invariant: one turn moves at most as many runs as there are free slots, except at the end of the notice. Confined to
 * the thread of the log driver.
 */
final class ReclaimedRuns {
    /** Time before the end of a notice at which the remaining runs are moved, in milliseconds: three ticks of the leader. */
    static final long MARGIN_MILLISECONDS = 150;

    private final GenerationFleet fleet;
    private final Map<ServiceName, Integer> freeSlots = new HashMap<>();

    ReclaimedRuns(GenerationFleet fleet) {
        this.fleet = fleet;
    }

    /** Begins a turn of the event loop. */
    void beginTurn() {
        freeSlots.clear();
    }

    /**
     * Returns whether a run is to be moved now.
     *
     * @param run the run
     * @param remainingMilliseconds expected remaining run time
     * @param now monotonic time, in milliseconds
     * @return true if its endpoint is under notice and the run cannot stay
     */
    boolean mustMove(ItemTask.Run run, long remainingMilliseconds, long now) {
        OptionalLong notice = fleet.noticeMilliseconds(run.endpoint, now);
        if (notice.isEmpty() || remainingMilliseconds <= notice.getAsLong() - MARGIN_MILLISECONDS) {
            return false;
        }
        return notice.getAsLong() <= MARGIN_MILLISECONDS || takeFreeSlot(run.announcement.service());
    }

    private boolean takeFreeSlot(ServiceName service) {
        int free = freeSlots.computeIfAbsent(service, this::countFreeSlots);
        freeSlots.put(service, free - 1);
        return free > 0;
    }

    private int countFreeSlots(ServiceName service) {
        return fleet.endpoints(service).stream()
                .filter(GenerationEndpoint::hasRoom)
                .mapToInt(endpoint -> endpoint.capacity() - endpoint.running())
                .sum();
    }
}
