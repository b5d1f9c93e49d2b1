package io.rosemarybeam.control;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Predicate;

import io.rosemarybeam.common.id.HostName;

/**
 * Determines when a configuration is in force: when every entry with a live lease has applied it or a later one.
 *
 * <p>Confined to the control executor.
 */
final class InForceTracker {
    private final TreeMap<EntryId, Long> appliedByEntry = new TreeMap<>();
    private final List<Waiter> waiters = new ArrayList<>();

    /** Adds an entry that counts as pending for every configuration until it reports. */
    void addPending(EntryId entry) {
        appliedByEntry.putIfAbsent(entry, 0L);
    }

    void recordApplied(EntryId entry, long revision) {
        appliedByEntry.merge(entry, revision, Math::max);
    }

    long appliedBy(EntryId entry) {
        return appliedByEntry.getOrDefault(entry, 0L);
    }

    void remove(EntryId entry) {
        appliedByEntry.remove(entry);
    }

    /** Returns the entries that may still use a configuration older than the given one. */
    List<HostName> pending(long number) {
        return appliedByEntry.entrySet().stream()
                .filter(entry -> entry.getValue() < number)
                .map(entry -> entry.getKey().name())
                .distinct()
                .toList();
    }

    private boolean isPending(long number) {
        for (long applied : appliedByEntry.values()) {
            if (applied < number) {
                return true;
            }
        }
        return false;
    }

    /**
     * Calls back with the pending entries: with none as soon as the configuration is in force, else at the deadline.
     */
    void whenInForce(long number, long deadline, Consumer<List<HostName>> callback) {
        waiters.add(new Waiter(number, deadline, callback));
    }

    void completeWaiters(long now) {
        List<Waiter> done = new ArrayList<>();
        Predicate<Waiter> isDone = waiter -> now >= waiter.deadline || !isPending(waiter.number);
        waiters.removeIf(waiter -> isDone.test(waiter) && done.add(waiter));
        done.forEach(waiter -> waiter.callback.accept(pending(waiter.number)));
    }

    /** Calls back every waiter with the entries that are pending now, because this host stops leading. */
    void stop() {
        List<Waiter> remaining = List.copyOf(waiters);
        waiters.clear();
        remaining.forEach(waiter -> waiter.callback.accept(pending(waiter.number)));
    }

    /** A callback for a configuration, with a deadline in milliseconds of the monotonic clock. Immutable. */
    private record Waiter(long number, long deadline, Consumer<List<HostName>> callback) {}
}
