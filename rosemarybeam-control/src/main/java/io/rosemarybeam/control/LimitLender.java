package io.rosemarybeam.control;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

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
    private final Map<String, Integer> limits = new TreeMap<>();
    private final Map<K, Borrower> borrowers = new TreeMap<>();

    void setLimits(Map<String, Integer> newLimits) {
        limits.clear();
        limits.putAll(newLimits);
    }

    /** Assumes that an entry uses an unknown share, as a new leader must until the entry reports. */
    void expect(K entry) {
        borrowers.computeIfAbsent(entry, ignored -> new Borrower()).unknown = true;
    }

    /** Takes a report of an entry and returns the shares to answer with. */
    Map<String, Integer> renew(K entry, Map<String, Integer> held, Map<String, Integer> demand) {
        Borrower borrower = borrowers.computeIfAbsent(entry, ignored -> new Borrower());
        borrower.unknown = false;
        borrower.possible.clear();
        borrower.possible.putAll(held);
        borrower.demand = demand;
        Map<String, Integer> granted = new HashMap<>();
        limits.forEach((service, limit) -> {
            int share = share(entry, service, limit);
            granted.put(service, share);
            borrower.possible.merge(service, share, Math::max);
        });
        return granted;
    }

    /** Forgets an entry whose lease lapsed. */
    void lapsed(K entry) {
        borrowers.remove(entry);
    }

    private int share(K entry, String service, int limit) {
        int target = target(entry, service, limit);
        int held = possible(borrowers.get(entry), service);
        if (target <= held) {
            return target;
        }
        boolean othersKnown = borrowers.values().stream().noneMatch(borrower -> borrower.unknown);
        if (!othersKnown) {
            return Math.min(held, limit);
        }
        long others = borrowers.entrySet().stream()
                .filter(other -> !other.getKey().equals(entry))
                .mapToLong(other -> possible(other.getValue(), service))
                .sum();
        return (int) Math.max(0, Math.min(target, limit - others));
    }

    private static int possible(Borrower borrower, String service) {
        return borrower.possible.getOrDefault(service, 0);
    }

    /** Half of the limit is spread evenly, the other half by demand; remainders go to the first entries in order. */
    private int target(K entry, String service, int limit) {
        List<K> entries = new ArrayList<>(borrowers.keySet());
        entries.sort(Comparator.naturalOrder());
        int even = limit / 2;
        int byDemand = limit - even;
        long totalDemand =
                entries.stream().mapToLong(each -> demand(each, service)).sum();
        int rank = entries.indexOf(entry);
        int evenShare = split(even, entries.size(), rank);
        if (totalDemand == 0) {
            return evenShare + split(byDemand, entries.size(), rank);
        }
        long before = 0;
        for (K each : entries.subList(0, rank)) {
            before += demand(each, service);
        }
        long upTo = before + demand(entry, service);
        return evenShare + (int) (byDemand * upTo / totalDemand - byDemand * before / totalDemand);
    }

    private static int split(int amount, int parts, int rank) {
        return amount / parts + (rank < amount % parts ? 1 : 0);
    }

    private int demand(K entry, String service) {
        return Math.max(0, borrowers.get(entry).demand.getOrDefault(service, 0));
    }

    /** Returns what all entries together may be using, for status and tests. */
    Map<String, Integer> lent() {
        Map<String, Integer> sums = new TreeMap<>();
        Predicate<Borrower> known = borrower -> !borrower.unknown;
        borrowers.values().stream()
                .filter(known)
                .forEach(borrower ->
                        borrower.possible.forEach((service, share) -> sums.merge(service, share, Integer::sum)));
        return sums;
    }

    /** What the leader knows of one entry. Confined to the control executor. */
    private static final class Borrower {
        private final Map<String, Integer> possible = new HashMap<>();
        private Map<String, Integer> demand = Map.of();
        private boolean unknown;
    }
}
