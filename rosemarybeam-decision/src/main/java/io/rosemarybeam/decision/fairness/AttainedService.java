package io.rosemarybeam.decision.fairness;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;

/**
 * The service that one of several parties has attained, in any unit that is the same for all of them. The party with the least
 * attained service is served first.
 *
 * <p>Load pattern: one party sends many times its share, and the others must still be served. Service counts for good, or for
 * the length of a sliding window, so that a party is not held back for what it got when there was room for all. Times are
 * monotonic times in milliseconds. Confined to one thread.
 */
public final class AttainedService {
    /** Orders parties whose service counts for good; the least served one is first. */
    public static final Comparator<AttainedService> LEAST = Comparator.comparingDouble(AttainedService::total);

    /** Number of parts into which a window is divided; bounds the memory. */
    private static final int WINDOW_PARTS = 100;

    private final long window;
    private final Deque<Charge> charges = new ArrayDeque<>();
    private double total;

    /** Service within a part of the window. Immutable. */
    private record Charge(long part, double amount) {}

    private AttainedService(long window) {
        this.window = window;
    }

    /** Returns an instance whose service counts for good. */
    public static AttainedService unbounded() {
        return new AttainedService(0);
    }

    /**
     * Returns an instance whose service counts for a limited time.
     *
     * @param milliseconds the length of the window, at least 100
     * @return an instance without service
     */
    public static AttainedService ofWindow(long milliseconds) {
        return new AttainedService(milliseconds);
    }

    /**
     * Adds service that counts for good.
     *
     * @param amount the service; negative to refund what was charged before and not used
     */
    public void charge(double amount) {
        total += amount;
    }

    /**
     * Adds service that counts until it leaves the window.
     *
     * @param amount the service
     * @param now current time
     */
    public void charge(double amount, long now) {
        long part = now / partLength();
        Charge last = charges.peekLast();
        if (last != null && last.part() == part) {
            charges.removeLast();
            charges.addLast(new Charge(part, last.amount() + amount));
        } else {
            charges.addLast(new Charge(part, amount));
        }
        total += amount;
    }

    /**
     * Raises the service of a party that becomes active, so that it gets no credit for the time in which it was idle.
     *
     * @param minimum the least service of the active parties
     */
    public void raiseTo(AttainedService minimum) {
        total = Math.max(total, minimum.total);
    }

    /** Returns the service that counts for good. */
    public double total() {
        return total;
    }

    /**
     * Returns the service within the window.
     *
     * @param now current time
     * @return the service; 0 if there was none
     */
    public double total(long now) {
        while (!charges.isEmpty() && (charges.peekFirst().part() + 1) * partLength() <= now - window) {
            total -= charges.removeFirst().amount();
        }
        if (charges.isEmpty()) {
            total = 0;
        }
        return total;
    }

    private long partLength() {
        return window / WINDOW_PARTS;
    }
}
