package io.rosemarybeam.decision.request;

import java.util.TreeSet;

import io.rosemarybeam.decision.fairness.AttainedService;

/**
 * The queued training requests of one trainer and the work that it has received.
 *
 * <p>Invariant: {@code served} is work in tokens divided by the weight of the trainer, and so comparable between
 * trainers. Confined to the thread of the core.
 */
final class TrainerQueue {
    final TreeSet<RequestRow> rows = new TreeSet<>(RequestQueue.EARLIEST_DEADLINE);
    final AttainedService served = AttainedService.unbounded();
    int open;

    boolean isActive() {
        return open > 0 || !rows.isEmpty();
    }
}
