package io.rosemarybeam.store;

import java.util.concurrent.atomic.AtomicLong;

import io.rosemarybeam.common.metric.Metrics;

/**
 * Limits the memory of the replicated state by refusing new submissions, because a leader that accepts more than its heap holds
 * ends for lack of memory, and its successors with the same state do so too.
 *
 * <p>Invariant: only new submissions are refused. Ends, results, texts and all other changes are never refused, so a state that
 * exceeds the budget, as after a restart with a smaller heap, shrinks again. Each leader decides by its own heap. Safe for use
 * by several threads.
 */
final class StateBudget {
    /**
     * Divisor of the maximum heap. When a host starts, the file of the snapshot, its record and the encoded state are in memory
     * together, each at most a quarter of the heap; the last quarter is left to the log and to the program. While a host serves,
     * the state and one encoded snapshot that is taken or received are in memory.
     */
    private static final int HEAP_DIVISOR = 4;

    private final long maximumBytes;
    private final AtomicLong refused = new AtomicLong();

    private StateBudget(long maximumBytes) {
        this.maximumBytes = maximumBytes;
    }

    /**
     * Creates a budget.
     *
     * @param maximumBytes size of the state beyond which submissions are refused, in bytes
     * @return the budget
     * @throws IllegalArgumentException if the size is not positive
     */
    static StateBudget of(long maximumBytes) {
        if (maximumBytes <= 0) {
            throw new IllegalArgumentException("maximum of " + maximumBytes + " bytes is not positive");
        }
        return new StateBudget(maximumBytes);
    }

    /** Creates a budget that follows the maximum heap of this process. */
    static StateBudget ofProcess() {
        return of(Runtime.getRuntime().maxMemory() / HEAP_DIVISOR);
    }

    void register(Metrics metrics) {
        metrics.computedGauge(
                "store_state_budget_bytes",
                "Size of the state beyond which this host, as leader, refuses submissions.",
                () -> maximumBytes);
        metrics.computedCounter(
                "store_refused_submissions",
                "Submissions that were refused because the state had no room for them.",
                refused::get);
    }

    long maximumBytes() {
        return maximumBytes;
    }

    /**
     * Returns whether a submission may be stored.
     *
     * @param expectedBytes size that the state reaches with the submission, in bytes
     */
    boolean hasRoom(long expectedBytes) {
        return expectedBytes <= maximumBytes;
    }

    /** Counts a submission that was refused. */
    void countRefusal() {
        refused.incrementAndGet();
    }

    long refusedSubmissions() {
        return refused.get();
    }
}
