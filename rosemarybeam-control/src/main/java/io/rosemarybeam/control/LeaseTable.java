package io.rosemarybeam.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Leases by holder, held in memory by the leader only.
 *
 * <p>Invariant: a lease counts as live until its duration and a margin have passed since the renewal was received. The
 * holder counts from sending, so it stops earlier. Times are milliseconds of the monotonic clock. Confined to the
 * control executor.
 *
 * @param <K> holder of a lease
 */
final class LeaseTable<K> {
    private final long duration;
    private final long margin;
    private final Map<K, Long> renewals = new HashMap<>();

    LeaseTable(long duration, long margin) {
        this.duration = duration;
        this.margin = margin;
    }

    long duration() {
        return duration;
    }

    void renew(K holder, long now) {
        renewals.merge(holder, now, Math::max);
    }

    boolean isLive(K holder, long now) {
        Long renewed = renewals.get(holder);
        return renewed != null && now < renewed + duration + margin;
    }

    /** Returns the holders whose lease lapsed at least the given number of milliseconds ago. */
    List<K> lapsedFor(long now, long milliseconds) {
        List<K> lapsed = new ArrayList<>();
        renewals.forEach((holder, renewed) -> {
            if (now >= renewed + duration + margin + milliseconds) {
                lapsed.add(holder);
            }
        });
        return lapsed;
    }

    void remove(K holder) {
        renewals.remove(holder);
    }
}
