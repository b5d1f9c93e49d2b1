package io.rosemarybeam.control;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Predicate;

import io.rosemarybeam.common.id.HostName;

/**
 * Finds out when a configuration is in force: when every entry with a live lease acts on it or a later one.
 *
 * <p>Confined to the control executor.
 */
final class InForceTracker {
    private final TreeMap<EntryId, Long> appliedByEntry = new TreeMap<>();
    private final List<Waiter> waiters = new ArrayList<>();

    void awaitReport(EntryId entry) {
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

    /** Returns the entries that may still act on an older configuration. */
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

    /** Calls back with the pending entries, once there are none or when the deadline passes. */
    void whenInForce(long number, long deadline, Consumer<List<HostName>> callback) {
        waiters.add(new Waiter(number, deadline, callback));
    }

    void completeWaiters(long now) {
        List<Waiter> done = new ArrayList<>();
        Predicate<Waiter> isDone = waiter -> now >= waiter.deadline || !isPending(waiter.number);
        waiters.removeIf(waiter -> isDone.test(waiter) && done.add(waiter));
        done.forEach(waiter -> waiter.callback.accept(pending(waiter.number)));
    }

    /** Answers every waiter with what is known, because this host stops leading. */
    void stop() {
        List<Waiter> remaining = List.copyOf(waiters);
        waiters.clear();
        remaining.forEach(waiter -> waiter.callback.accept(pending(waiter.number)));
    }

    /** Someone who waits for a configuration. Immutable. */
    private record Waiter(long number, long deadline, Consumer<List<HostName>> callback) {}
}
