package io.rosemarybeam.control;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Lends the limits of the services to the entries.
 *
 * <p>Invariant: for every service, the shares that entries may be using, including shares in answers that may be lost,
 * never exceed the limit, unless the limit itself was lowered below what is lent. A share shrinks before another grows:
 * an entry gives a share back by reporting a smaller one, or by losing its lease. Confined to the control executor.
 *
 * @param <K> an entry
 */
final class LimitLender<K extends Comparable<K>> {
    /**
     * Targets are computed anew this many times while every entry renews once. Computing them for each renewal of 400
     * entries took most of the processor time of the leader.
     */
    private static final int TARGETS_PER_ROUND = 16;

    private final Map<String, Integer> limits = new TreeMap<>();
    private final Map<K, Borrower> borrowers = new TreeMap<>();
    private final Map<String, Long> possibleTotals = new HashMap<>();
    private int unknownBorrowers;
    private int renewalsSinceTargets;
    private boolean targetsAreStale = true;

    void setLimits(Map<String, Integer> newLimits) {
        limits.clear();
        limits.putAll(newLimits);
        targetsAreStale = true;
    }

    /** Assumes that an entry uses an unknown share, as a new leader must until the entry reports. */
    void expect(K entry) {
        Borrower borrower = borrower(entry);
        if (!borrower.unknown) {
            borrower.unknown = true;
            unknownBorrowers++;
        }
    }

    /** Takes a report of an entry and returns the shares to answer with. */
    Map<String, Integer> renew(K entry, Map<String, Integer> held, Map<String, Integer> demand) {
        Borrower borrower = borrower(entry);
        forgetPossible(borrower);
        held.forEach((service, share) -> setPossible(borrower, service, share));
        borrower.demand = demand;
        refreshTargets();
        Map<String, Integer> granted = new HashMap<>();
        limits.forEach((service, limit) -> {
            int share = share(borrower, service, limit);
            granted.put(service, share);
            setPossible(borrower, service, Math.max(share, borrower.possible(service)));
        });
        return granted;
    }

    /** Forgets an entry whose lease lapsed. */
    void lapsed(K entry) {
        Borrower borrower = borrowers.remove(entry);
        if (borrower != null) {
            forgetPossible(borrower);
            targetsAreStale = true;
        }
    }

    /** Returns what all entries together may be using, for status and tests. */
    Map<String, Integer> lent() {
        Map<String, Integer> sums = new TreeMap<>();
        possibleTotals.forEach((service, total) -> sums.put(service, total.intValue()));
        return sums;
    }

    // Shares that may be in use

    private Borrower borrower(K entry) {
        return borrowers.computeIfAbsent(entry, ignored -> {
            targetsAreStale = true;
            return new Borrower();
        });
    }

    /** Removes what an entry may be using from the totals; from now on nothing about it is unknown. */
    private void forgetPossible(Borrower borrower) {
        if (borrower.unknown) {
            borrower.unknown = false;
            unknownBorrowers--;
        }
        borrower.possible.forEach((service, share) -> possibleTotals.merge(service, (long) -share, Long::sum));
        borrower.possible.clear();
    }

    private void setPossible(Borrower borrower, String service, int share) {
        Integer former = borrower.possible.put(service, share);
        long added = share - (long) (former == null ? 0 : former);
        possibleTotals.merge(service, added, Long::sum);
    }

    private int share(Borrower borrower, String service, int limit) {
        int target = borrower.targets.getOrDefault(service, 0);
        int held = borrower.possible(service);
        if (target <= held) {
            return target;
        }
        if (unknownBorrowers > 0) {
            return Math.min(held, limit);
        }
        long others = possibleTotals.getOrDefault(service, 0L) - held;
        return (int) Math.max(0, Math.min(target, limit - others));
    }

    // Targets

    private void refreshTargets() {
        renewalsSinceTargets++;
        boolean isDue = renewalsSinceTargets * TARGETS_PER_ROUND >= borrowers.size();
        if (targetsAreStale || isDue) {
            limits.forEach(this::computeTargets);
            targetsAreStale = false;
            renewalsSinceTargets = 0;
        }
    }

    /** Half of the limit is spread evenly, the other half by demand; remainders go to the first entries in order. */
    private void computeTargets(String service, int limit) {
        int even = limit / 2;
        int byDemand = limit - even;
        long totalDemand = borrowers.values().stream()
                .mapToLong(borrower -> borrower.demand(service))
                .sum();
        int rank = 0;
        long before = 0;
        for (Borrower borrower : borrowers.values()) {
            int share = split(even, borrowers.size(), rank);
            if (totalDemand == 0) {
                share += split(byDemand, borrowers.size(), rank);
            } else {
                long upTo = before + borrower.demand(service);
                share += (int) (byDemand * upTo / totalDemand - byDemand * before / totalDemand);
                before = upTo;
            }
            borrower.targets.put(service, share);
            rank++;
        }
    }

    private static int split(int amount, int parts, int rank) {
        return amount / parts + (rank < amount % parts ? 1 : 0);
    }

    /** What the leader knows of one entry. Confined to the control executor. */
    private static final class Borrower {
        private final Map<String, Integer> possible = new HashMap<>();
        private final Map<String, Integer> targets = new HashMap<>();
        private Map<String, Integer> demand = Map.of();
        private boolean unknown;

        int possible(String service) {
            return possible.getOrDefault(service, 0);
        }

        int demand(String service) {
            return Math.max(0, demand.getOrDefault(service, 0));
        }
    }
}
