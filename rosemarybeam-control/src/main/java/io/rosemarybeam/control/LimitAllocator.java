package io.rosemarybeam.control;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Allocates the concurrency limits of the services to the entries.
 *
 * <p>A share is outstanding while its entry may be using it; that includes shares in replies that may have been lost.
 * Invariant: for every service, the sum of outstanding shares never exceeds the limit, unless the limit itself was
 * lowered below the sum already allocated. A share shrinks before another grows: an entry returns a share by reporting
 * a smaller one or by losing its lease. Confined to the control executor.
 *
 * @param <K> identity of an entry
 */
final class LimitAllocator<K extends Comparable<K>> {
    /**
     * Number of times that targets are computed while every entry renews once. Computing them on each renewal of 400
     * entries took most of the processor time of the leader.
     */
    private static final int TARGET_COMPUTATIONS_PER_ROUND = 16;

    private final Map<String, Integer> limits = new TreeMap<>();
    private final Map<K, EntryShares> sharesByEntry = new TreeMap<>();
    private final Map<String, Long> outstandingTotals = new HashMap<>();
    private int entriesAwaitingReport;
    private int renewalsSinceTargets;
    private boolean targetsAreStale = true;

    void setLimits(Map<String, Integer> newLimits) {
        limits.clear();
        limits.putAll(newLimits);
        targetsAreStale = true;
    }

    /**
     * Assumes that an entry uses an unknown share until it reports, as a new leader must; until then no share grows.
     */
    void markAwaitingReport(K entry) {
        EntryShares entryShares = sharesOf(entry);
        if (!entryShares.awaitingReport) {
            entryShares.awaitingReport = true;
            entriesAwaitingReport++;
        }
    }

    /** Records the shares and demand that an entry reports, by service, and returns its new shares. */
    Map<String, Integer> renew(K entry, Map<String, Integer> held, Map<String, Integer> demand) {
        EntryShares entryShares = sharesOf(entry);
        removeOutstanding(entryShares);
        held.forEach((service, share) -> setOutstanding(entryShares, service, share));
        entryShares.demand = demand;
        refreshTargets();
        Map<String, Integer> granted = new HashMap<>();
        limits.forEach((service, limit) -> {
            int share = computeShare(entryShares, service, limit);
            granted.put(service, share);
            setOutstanding(entryShares, service, Math.max(share, entryShares.outstanding(service)));
        });
        return granted;
    }

    /** Removes an entry whose lease lapsed and returns its shares to the limits. */
    void release(K entry) {
        EntryShares entryShares = sharesByEntry.remove(entry);
        if (entryShares != null) {
            removeOutstanding(entryShares);
            targetsAreStale = true;
        }
    }

    /** Returns the sum of outstanding shares by service, for status and tests. */
    Map<String, Integer> allocated() {
        Map<String, Integer> sums = new TreeMap<>();
        outstandingTotals.forEach((service, total) -> sums.put(service, total.intValue()));
        return sums;
    }

    private EntryShares sharesOf(K entry) {
        return sharesByEntry.computeIfAbsent(entry, ignored -> {
            targetsAreStale = true;
            return new EntryShares();
        });
    }

    /** Subtracts the outstanding shares of an entry from the totals; the entry no longer awaits a report. */
    private void removeOutstanding(EntryShares entryShares) {
        if (entryShares.awaitingReport) {
            entryShares.awaitingReport = false;
            entriesAwaitingReport--;
        }
        entryShares.outstanding.forEach((service, share) -> outstandingTotals.merge(service, (long) -share, Long::sum));
        entryShares.outstanding.clear();
    }

    private void setOutstanding(EntryShares entryShares, String service, int share) {
        Integer former = entryShares.outstanding.put(service, share);
        long added = share - (long) (former == null ? 0 : former);
        outstandingTotals.merge(service, added, Long::sum);
    }

    private int computeShare(EntryShares entryShares, String service, int limit) {
        int target = entryShares.targets.getOrDefault(service, 0);
        int held = entryShares.outstanding(service);
        if (target <= held) {
            return target;
        }
        if (entriesAwaitingReport > 0) {
            return Math.min(held, limit);
        }
        long others = outstandingTotals.getOrDefault(service, 0L) - held;
        return (int) Math.max(0, Math.min(target, limit - others));
    }

    private void refreshTargets() {
        renewalsSinceTargets++;
        boolean isDue = renewalsSinceTargets * TARGET_COMPUTATIONS_PER_ROUND >= sharesByEntry.size();
        if (targetsAreStale || isDue) {
            limits.forEach(this::computeTargets);
            targetsAreStale = false;
            renewalsSinceTargets = 0;
        }
    }

    /** Divides half of the limit evenly and the other half by demand; remainders go to the first entries in order. */
    private void computeTargets(String service, int limit) {
        int even = limit / 2;
        int byDemand = limit - even;
        long totalDemand = sharesByEntry.values().stream()
                .mapToLong(entryShares -> entryShares.demand(service))
                .sum();
        int rank = 0;
        long before = 0;
        for (EntryShares entryShares : sharesByEntry.values()) {
            int share = evenPart(even, sharesByEntry.size(), rank);
            if (totalDemand == 0) {
                share += evenPart(byDemand, sharesByEntry.size(), rank);
            } else {
                long upTo = before + entryShares.demand(service);
                share += (int) (byDemand * upTo / totalDemand - byDemand * before / totalDemand);
                before = upTo;
            }
            entryShares.targets.put(service, share);
            rank++;
        }
    }

    private static int evenPart(int amount, int parts, int rank) {
        return amount / parts + (rank < amount % parts ? 1 : 0);
    }

    /** Shares and demand of one entry, by service. Confined to the control executor. */
    private static final class EntryShares {
        private final Map<String, Integer> outstanding = new HashMap<>();
        private final Map<String, Integer> targets = new HashMap<>();
        private Map<String, Integer> demand = Map.of();
        private boolean awaitingReport;

        int outstanding(String service) {
            return outstanding.getOrDefault(service, 0);
        }

        int demand(String service) {
            return Math.max(0, demand.getOrDefault(service, 0));
        }
    }
}
