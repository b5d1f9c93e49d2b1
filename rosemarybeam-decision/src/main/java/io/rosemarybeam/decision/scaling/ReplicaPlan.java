package io.rosemarybeam.decision.scaling;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.FailureDomain;
import io.rosemarybeam.decision.scaling.AnnouncedReplica.Condition;

/**
 * Decides how many replicas of one service are ordered in each failure domain.
 *
 * <p>Load pattern: trainers send a burst of items every few seconds, so that the demand of a moment says little; the provider
 * takes away all preemptible replicas of a failure domain at short notice, two domains one after the other, while for some
 * seconds no replacement is to be had; orders are refused, lost, or carried out late and after newer ones.
 *
 * <p>A larger number is ordered at once. A smaller number lets the provider drain replicas, and is ordered only while all
 * replicas are as they were ordered, after the demand has been lower for {@link #PERIOD_MILLISECONDS}.
 *
 * <p>Invariants: no order exceeds the limits of a failure domain; none makes a failure domain hold more than half of the
 * target while two others can be had; no order leaves fewer slots than items run. Clocks are passed in. Confined to one thread.
 */
public final class ReplicaPlan {
    /** Period over which the largest demand counts, in milliseconds: more than a full step of a trainer. */
    static final long PERIOD_MILLISECONDS = 30_000;

    /** Share of the slots that the demand may use; above it bursts wait noticeably longer. */
    private static final double UTILIZATION = 0.8;

    /** Largest rounding error of a number of replicas. */
    private static final double ROUNDING_ERROR = 1e-9;

    /**
     * Time before the first order, in milliseconds. A store process that has just started knows a part of the endpoints, and an
     * order that is computed from a part would take the others away.
     */
    private static final long COLLECTION_MILLISECONDS = 5_000;

    /** Time beyond the boot time after which an order without effect counts as lost, in milliseconds. */
    private static final long EFFECT_MARGIN_MILLISECONDS = 3_000;

    /** Time for which a replica without heartbeats counts as present, in milliseconds; hosts are cut off for some seconds. */
    private static final long SILENCE_MILLISECONDS = 30_000;

    /** Time after a notice in which further ones are likely and nothing is taken away, in milliseconds. */
    private static final long RECLAIM_MILLISECONDS = 60_000;

    private final SlidingMaximum demand = new SlidingMaximum(PERIOD_MILLISECONDS);
    private final SlidingMean meanRunning = new SlidingMean(PERIOD_MILLISECONDS);
    private final Map<ReplicaGroup, GroupState> groups = new HashMap<>();
    private final Map<EndpointId, Seen> seen = new HashMap<>();
    private final Set<EndpointId> reclaimed = new HashSet<>();
    private Optional<Long> startedAt = Optional.empty();
    private Optional<Long> demandSince = Optional.empty();
    private Optional<Long> surplusSince = Optional.empty();
    private Optional<Long> reclaimedAt = Optional.empty();
    private int firstSeen;
    private double slotsPerReplica = 1;

    /** The group and the last monotonic time in milliseconds at which a replica was ready. Immutable. */
    private record Seen(ReplicaGroup group, long readyAt) {}

    /**
     * Decides on orders. Called about once a second.
     *
     * @param input announcements, demand and last orders
     * @return at most one order for each failure domain
     */
    public List<ReplicaOrder> decide(PlanInput input) {
        long now = input.now();
        long start = startedAt.orElse(now);
        startedAt = Optional.of(start);
        observe(input);
        if (!isDemandObserved(input)) {
            // Endpoints go on to announce themselves after the collection time, and count as seen first as well.
            firstSeen = Math.max(firstSeen, presentAndReclaimed(input));
        }
        if (now - start < COLLECTION_MILLISECONDS) {
            return List.of();
        }
        Round round = new Round(input.policy(), now);
        int target = target(input, round);
        Map<FailureDomain, ReplicaOrder> orders = new TreeMap<>(Comparator.comparing(FailureDomain::value));
        round.grow(target).forEach(order -> orders.put(order.group().failureDomain(), order));
        round.repeat(input.demand().runningItems())
                .forEach(order -> orders.putIfAbsent(order.group().failureDomain(), order));
        if (!orders.isEmpty() || !hasSurplus(round, target, now)) {
            return List.copyOf(orders.values());
        }
        List<ReplicaOrder> shrinking = round.shrink(target, input.demand().runningItems());
        if (!shrinking.isEmpty()) {
            surplusSince = Optional.of(now);
        }
        return shrinking;
    }

    /** Returns whether this host has seen all of the demand for a full period. */
    private boolean isDemandObserved(PlanInput input) {
        return input.demand().slots().isPresent()
                && demandSince
                        .filter(since -> input.now() - since >= PERIOD_MILLISECONDS)
                        .isPresent();
    }

    private int presentAndReclaimed(PlanInput input) {
        long leaving = input.replicas().stream()
                .filter(replica -> replica.condition() == Condition.RECLAIMED)
                .count();
        return (int) leaving
                + groups.values().stream().mapToInt(GroupState::present).sum();
    }

    private void observe(PlanInput input) {
        long now = input.now();
        observeReplicas(input, now);
        Set<ReplicaGroup> known = new HashSet<>(groups.keySet());
        input.replicas().forEach(replica -> known.add(replica.group()));
        known.addAll(input.lastOrders().keySet());
        for (FailureDomain domain : input.policy().prices().keySet()) {
            known.add(new ReplicaGroup(domain, false));
        }
        for (ReplicaGroup group : known) {
            int ready = (int) input.replicas().stream()
                    .filter(replica -> replica.group().equals(group) && replica.condition() == Condition.READY)
                    .count();
            int present = (int) seen.values().stream()
                    .filter(replica -> replica.group().equals(group))
                    .count();
            groups.computeIfAbsent(group, ignored -> new GroupState())
                    .update(
                            ready,
                            present - ready,
                            Optional.ofNullable(input.lastOrders().get(group)),
                            now);
        }
        observeNotices(input, now);
        groups.keySet().removeIf(group -> isForgotten(group, input));
        input.replicas().stream()
                .filter(replica -> replica.condition() == Condition.READY)
                .mapToInt(AnnouncedReplica::slots)
                .average()
                .ifPresent(average -> slotsPerReplica = Math.max(1, average));
        meanRunning.add(input.demand().runningItems(), now);
        input.demand().slots().ifPresent(slots -> {
            demand.add(slots, now);
            if (demandSince.isEmpty() && slots > 0) {
                demandSince = Optional.of(now);
            }
        });
    }

    private boolean isForgotten(ReplicaGroup group, PlanInput input) {
        return groups.get(group).present() == 0
                && !input.policy().prices().containsKey(group.failureDomain())
                && !input.lastOrders().containsKey(group)
                && input.replicas().stream()
                        .noneMatch(replica -> replica.group().equals(group));
    }

    /** Updates which replicas count as present: ready ones, and those that were ready a short time ago. */
    private void observeReplicas(PlanInput input, long now) {
        Set<EndpointId> silent = new HashSet<>();
        for (AnnouncedReplica replica : input.replicas()) {
            switch (replica.condition()) {
                case READY -> {
                    seen.put(replica.id(), new Seen(replica.group(), now));
                    reclaimed.remove(replica.id());
                }
                case SILENT -> {
                    silent.add(replica.id());
                    seen.putIfAbsent(replica.id(), new Seen(replica.group(), now));
                }
                case RECLAIMED -> seen.remove(replica.id());
                case DRAINING -> {}
                default -> throw new IllegalStateException("unexpected condition " + replica.condition());
            }
        }
        long effect = effectMilliseconds(input.policy());
        seen.entrySet()
                .removeIf(entry -> now - entry.getValue().readyAt()
                        > (silent.contains(entry.getKey()) ? SILENCE_MILLISECONDS : effect));
    }

    /** A notice also excludes the other kind of the same failure domain for a moment, where it is unlikely to be had. */
    private void observeNotices(PlanInput input, long now) {
        reclaimed.retainAll(input.replicas().stream().map(AnnouncedReplica::id).toList());
        Set<ReplicaGroup> taken = new HashSet<>();
        for (AnnouncedReplica replica : input.replicas()) {
            if (replica.condition() == Condition.RECLAIMED && reclaimed.add(replica.id())) {
                taken.add(replica.group());
            }
        }
        for (ReplicaGroup group : taken) {
            reclaimedAt = Optional.of(now);
            groups.get(group).reclaim(now);
            Optional.ofNullable(groups.get(new ReplicaGroup(group.failureDomain(), !group.preemptible())))
                    .ifPresent(other -> other.exclude(now, GroupState.FIRST_EXCLUSION_MILLISECONDS));
        }
    }

    private static long effectMilliseconds(ScalingPolicy policy) {
        return policy.bootTime()
                .plus(Duration.ofMillis(EFFECT_MARGIN_MILLISECONDS))
                .toMillis();
    }

    /**
     * Returns the number of replicas that the service needs in all. What running items use on average takes part, but adds
     * none: with enough replicas a burst is done before it is due, so that its due time alone asks for too few replicas for
     * the next bursts; with too few replicas all of them are in use all the time, whether or not the work is late. The
     * number first seen is the lower limit until the demand was observed for a full period, and for good if this host does
     * not see all of it.
     */
    private int target(PlanInput input, Round round) {
        int needed = replicasFor(demand.value());
        int lowest = Math.max(1, isDemandObserved(input) ? 0 : firstSeen);
        int used = Math.min(round.total(), replicasFor(meanRunning.value()));
        return Math.min(Math.max(Math.max(needed, used), lowest), round.maximum());
    }

    private int replicasFor(double slots) {
        return (int) Math.ceil(slots / UTILIZATION / slotsPerReplica - ROUNDING_ERROR);
    }

    /** Returns whether there have been more replicas than needed for a full period, all as they were ordered. */
    private boolean hasSurplus(Round round, int target, long now) {
        boolean isQuiet =
                reclaimedAt.filter(at -> now - at < RECLAIM_MILLISECONDS).isEmpty();
        if (!isQuiet || round.total() <= target || !round.isSettled()) {
            surplusSince = Optional.empty();
            return false;
        }
        surplusSince = Optional.of(surplusSince.orElse(now));
        return now - surplusSince.get() >= PERIOD_MILLISECONDS;
    }

    /** The distribution of replicas that one decision starts from and changes. Confined to one thread. */
    private final class Round {
        private final ScalingPolicy policy;
        private final long now;
        private final long effect;
        private final Map<ReplicaGroup, Integer> counts = new HashMap<>();
        private final Set<FailureDomain> domains = new TreeSet<>(Comparator.comparing(FailureDomain::value));

        Round(ScalingPolicy policy, long now) {
            this.policy = policy;
            this.now = now;
            this.effect = effectMilliseconds(policy);
            groups.forEach((group, state) -> {
                counts.put(group, state.supply(now, effect));
                domains.add(group.failureDomain());
            });
        }

        int maximum() {
            return (int) Math.min(Integer.MAX_VALUE, (long) policy.maximumReplicas() * Math.max(1, domains.size()));
        }

        int total() {
            return counts.values().stream().mapToInt(Integer::intValue).sum();
        }

        private int total(FailureDomain domain) {
            return count(domain, false) + count(domain, true);
        }

        private int count(FailureDomain domain, boolean preemptible) {
            return counts.getOrDefault(new ReplicaGroup(domain, preemptible), 0);
        }

        boolean isSettled() {
            return groups.values().stream().allMatch(state -> state.isSettled(now, effect));
        }

        private boolean isPending(FailureDomain domain) {
            return groups.entrySet().stream()
                    .filter(entry -> entry.getKey().failureDomain().equals(domain))
                    .anyMatch(entry -> entry.getValue().isPending());
        }

        /** Orders what is missing, the minimum of each failure domain first and then the cheapest that may be had. */
        List<ReplicaOrder> grow(int target) {
            Map<ReplicaGroup, Integer> before = Map.copyOf(counts);
            for (FailureDomain domain : domains) {
                ReplicaGroup group = kindToAdd(domain);
                while (total(domain) < policy.minimumReplicas() && mayAdd(group)) {
                    counts.merge(group, 1, Integer::sum);
                }
            }
            int limit = domainLimit(target);
            for (int missing = target - total(); missing > 0; missing--) {
                Optional<ReplicaGroup> cheapest = domains.stream()
                        .filter(domain -> total(domain) < limit)
                        .map(this::kindToAdd)
                        .filter(this::mayAdd)
                        .min(Comparator.comparingDouble(this::price)
                                .thenComparingInt(group -> total(group.failureDomain()))
                                .thenComparing(group -> group.failureDomain().value()));
                if (cheapest.isEmpty()) {
                    break;
                }
                counts.merge(cheapest.get(), 1, Integer::sum);
            }
            return changes(before).stream()
                    .<ReplicaOrder>map(group -> new ReplicaOrder.Grow(group, counts.get(group)))
                    .toList();
        }

        /** Returns the groups whose number changed, at most one for each failure domain, without those whose order is open. */
        private List<ReplicaGroup> changes(Map<ReplicaGroup, Integer> before) {
            Map<FailureDomain, ReplicaGroup> changed = new HashMap<>();
            counts.forEach((group, count) -> {
                if (count != before.getOrDefault(group, 0).intValue() && !isPending(group.failureDomain())) {
                    changed.putIfAbsent(group.failureDomain(), group);
                }
            });
            return List.copyOf(changed.values());
        }

        /** Half of the target, unless fewer than two failure domains can be had: then all of it. */
        private int domainLimit(int target) {
            long usable = domains.stream().filter(domain -> !isGone(domain)).count();
            return usable < 2 ? target : (target + 1) / 2;
        }

        private boolean isGone(FailureDomain domain) {
            GroupState state = groups.get(new ReplicaGroup(domain, false));
            boolean isRefused = state != null && state.isAbsent();
            return total(domain) == 0 && (isRefused || !isPriced(domain));
        }

        /** Nothing is ordered in failure domains that only heartbeats name, unless the policy names none. */
        private boolean isPriced(FailureDomain domain) {
            return policy.prices().isEmpty() || policy.prices().containsKey(domain);
        }

        /**
         * Returns the kind that a failure domain gets more of: the one that it mainly has. Preemptible replicas are added only
         * while the other failure domains could replace them, and not in place of reclaimed ones.
         */
        private ReplicaGroup kindToAdd(FailureDomain domain) {
            int preemptible = count(domain, true);
            boolean isUsual = preemptible > count(domain, false);
            boolean isQuiet =
                    reclaimedAt.filter(at -> now - at < RECLAIM_MILLISECONDS).isEmpty();
            int replaceable = domains.stream()
                    .filter(other -> !other.equals(domain))
                    .mapToInt(other -> Math.max(0, policy.maximumReplicas() - total(other)))
                    .sum();
            return new ReplicaGroup(domain, isUsual && isQuiet && preemptible < replaceable);
        }

        private boolean mayAdd(ReplicaGroup group) {
            GroupState state = groups.get(group);
            boolean isExcluded = state != null && state.isExcluded(now);
            return !isExcluded
                    && isPriced(group.failureDomain())
                    && total(group.failureDomain()) < policy.maximumReplicas();
        }

        private double price(ReplicaGroup group) {
            double price = policy.prices().getOrDefault(group.failureDomain(), 1.0);
            return group.preemptible() ? price * policy.preemptiblePrice() : price;
        }

        /** Orders again what has no effect. A smaller number only if the items that run now keep their slots. */
        List<ReplicaOrder> repeat(int runningItems) {
            List<ReplicaOrder> orders = new ArrayList<>();
            int ready = ready();
            groups.forEach((group, state) -> state.repetition(now, effect).ifPresent(count -> {
                boolean isSafe = count >= state.ready() || hasSlots(ready - state.ready() + count, runningItems);
                if (isSafe && !isPending(group.failureDomain())) {
                    orders.add(new ReplicaOrder.Repeat(group, count));
                }
            }));
            return orders;
        }

        private int ready() {
            return groups.values().stream().mapToInt(GroupState::ready).sum();
        }

        private boolean hasSlots(int replicas, int runningItems) {
            return replicas * slotsPerReplica >= runningItems;
        }

        /** Takes at most one replica from each failure domain, the most expensive first. */
        List<ReplicaOrder> shrink(int target, int runningItems) {
            Map<ReplicaGroup, Integer> before = Map.copyOf(counts);
            Set<FailureDomain> left = new HashSet<>(domains);
            while (total() > target && hasSlots(total() - 1, runningItems)) {
                Optional<ReplicaGroup> next = mostExpensive(left);
                if (next.isEmpty()) {
                    break;
                }
                left.remove(next.get().failureDomain());
                counts.merge(next.get(), -1, Integer::sum);
            }
            return changes(before).stream()
                    .<ReplicaOrder>map(group -> new ReplicaOrder.Shrink(group, counts.get(group)))
                    .toList();
        }

        /** The largest failure domain comes first if it would hold more than half of what remains. */
        private Optional<ReplicaGroup> mostExpensive(Collection<FailureDomain> left) {
            int half = total() / 2;
            return counts.keySet().stream()
                    .filter(group -> counts.get(group) > 0)
                    .filter(group -> left.contains(group.failureDomain()))
                    .filter(group -> total(group.failureDomain()) > policy.minimumReplicas())
                    .max(Comparator.<ReplicaGroup>comparingInt(
                                    group -> Math.max(0, total(group.failureDomain()) - half))
                            .thenComparingDouble(this::price)
                            .thenComparing(group -> group.failureDomain().value()));
        }
    }
}
