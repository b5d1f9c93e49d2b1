package io.rosemarybeam.decision.scaling;

import java.util.Optional;

import io.rosemarybeam.decision.scaling.LastOrder.Outcome;

/**
 * What a {@link ReplicaPlan} remembers of one replica group: the order that stands, refusals and repetitions.
 *
 * <p>Invariant: a refused order leaves the order that stood before. Confined to one thread.
 */
final class GroupState {
    /** Time for which a group is not ordered after a first refusal, in milliseconds; it doubles with each further one. */
    static final long FIRST_EXCLUSION_MILLISECONDS = 2_000;

    /** Maximum time for which a group is not ordered after a refusal, in milliseconds; a shortage lasts about as long. */
    private static final long MAXIMUM_EXCLUSION_MILLISECONDS = 9_000;

    /** Repetitions of an order without effect, after which only announced replicas count. */
    private static final int MAXIMUM_REPEATS = 2;

    /** Refusals in a row after which a group cannot be had: about one maximum exclusion in all. */
    private static final int REFUSALS_OF_ABSENT_GROUP = 3;

    /** Time after which an order that was not sent, or not answered, is sent again, in milliseconds. */
    private static final long RESEND_MILLISECONDS = 1_000;

    private Optional<LastOrder> last = Optional.empty();

    /** The order before the last one, which stands if the last one was refused. */
    private Optional<LastOrder> former = Optional.empty();

    private long lastSentAt = Long.MIN_VALUE;
    private int refusals;
    private long excludedUntil = Long.MIN_VALUE;
    private int repeats;
    private int ready;
    private int present;

    /**
     * Takes in the current number of replicas and the last order of the group.
     *
     * @param nextReady number of its ready replicas
     * @param missing number of replicas that were ready a short time ago, and have not departed at a notice
     * @param order its last order
     * @param now monotonic time, in milliseconds
     */
    void update(int nextReady, int missing, Optional<LastOrder> order, long now) {
        ready = nextReady;
        present = ready + missing;
        order.ifPresent(next -> useOrder(next, now));
        // What a former leader ordered is repeated, but takes no replicas away: the log may hold an order that was
        // refused.
        last = last.filter(inherited -> inherited.outcome() != Outcome.INHERITED || inherited.count() >= ready);
        if (standing().filter(stands -> stands.count() == ready).isPresent()) {
            repeats = 0;
        }
    }

    private void useOrder(LastOrder next, long now) {
        if (next.sentAt() != lastSentAt) {
            boolean isRepetition = last.filter(earlier -> earlier.count() == next.count())
                    .filter(earlier -> earlier.outcome() != Outcome.NOT_SENT)
                    .isPresent();
            repeats = isRepetition ? repeats + 1 : 0;
            lastSentAt = next.sentAt();
            former = standing();
            last = Optional.of(new LastOrder(next.count(), next.sentAt(), Outcome.PENDING));
        }
        if (last.isEmpty() || last.get().outcome() == next.outcome()) {
            return;
        }
        last = Optional.of(next);
        switch (next.outcome()) {
            case ACCEPTED -> refusals = 0;
            case REFUSED -> {
                long time = FIRST_EXCLUSION_MILLISECONDS << Math.min(refusals, REFUSALS_OF_ABSENT_GROUP);
                refusals++;
                exclude(now, Math.min(MAXIMUM_EXCLUSION_MILLISECONDS, time));
            }
            default -> {}
        }
    }

    /** Forgets the orders, because the provider takes the replicas away, and excludes the group for a moment. */
    void reclaim(long now) {
        last = Optional.empty();
        former = Optional.empty();
        present = ready;
        exclude(now, FIRST_EXCLUSION_MILLISECONDS);
    }

    /** Excludes the group from orders for some time. */
    void exclude(long now, long milliseconds) {
        excludedUntil = Math.max(excludedUntil, now + milliseconds);
    }

    boolean isExcluded(long now) {
        return now < excludedUntil;
    }

    /** Returns whether the group was refused so often that it counts as not to be had. */
    boolean isAbsent() {
        return refusals >= REFUSALS_OF_ABSENT_GROUP;
    }

    /** Returns whether the reply to the last order is not known yet. */
    boolean isPending() {
        return last.filter(order -> order.outcome() == Outcome.PENDING).isPresent();
    }

    int ready() {
        return ready;
    }

    int present() {
        return present;
    }

    /**
     * Returns the number of replicas that the group has, or will have without a further order.
     *
     * @param now monotonic time, in milliseconds
     * @param effectMilliseconds time within which an order has its effect
     */
    int supply(long now, long effectMilliseconds) {
        return standing()
                .filter(order -> order.count() == ready
                        || now - order.sentAt() < effectMilliseconds
                        || !isRefused() && repeats < MAXIMUM_REPEATS)
                .map(LastOrder::count)
                .orElse(present);
    }

    /** Returns whether the ready replicas are those that were ordered, or those that were there, and no order is under way. */
    boolean isSettled(long now, long effectMilliseconds) {
        return ready == present
                && ready == supply(now, effectMilliseconds)
                && !isPending()
                && standing()
                        .filter(order -> now - order.sentAt() < effectMilliseconds)
                        .isEmpty();
    }

    /** Returns the number to order again; empty if the order that stands has its effect or may still have it. */
    Optional<Integer> repetition(long now, long effectMilliseconds) {
        if (isPending() || isRefused() || isExcluded(now) || repeats >= MAXIMUM_REPEATS) {
            return Optional.empty();
        }
        return standing()
                .filter(order -> order.count() != ready)
                .filter(order -> now - order.sentAt() >= patience(order, effectMilliseconds))
                .map(LastOrder::count);
    }

    private Optional<LastOrder> standing() {
        return isRefused() ? former : last;
    }

    private boolean isRefused() {
        return last.filter(order -> order.outcome() == Outcome.REFUSED).isPresent();
    }

    private static long patience(LastOrder order, long effectMilliseconds) {
        return switch (order.outcome()) {
            case NOT_SENT, UNANSWERED -> RESEND_MILLISECONDS;
            case PENDING, ACCEPTED, REFUSED, INHERITED -> effectMilliseconds;
        };
    }
}
