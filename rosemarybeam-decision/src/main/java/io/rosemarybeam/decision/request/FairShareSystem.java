package io.rosemarybeam.decision.request;

import java.util.Comparator;
import java.util.List;
import java.util.Map;

import io.rosemarybeam.common.id.TrainerName;
import io.rosemarybeam.decision.fairness.AttainedService;

/**
 * Shares the endpoints of a service between trainers by weight.
 *
 * <p>Invariant: a trainer gets no credit for the time in which it was idle. Confined to the thread of the core.
 */
final class FairShareSystem {
    /** Number of trainers of a service from which idle ones are removed; bounds the memory. */
    private static final int RETAINED_TRAINERS = 64;

    private static final Comparator<TrainerQueue> LEAST_SERVED =
            Comparator.comparing(queue -> queue.served, AttainedService.LEAST);
    private static final Comparator<TrainerQueue> FIRST_DEADLINE =
            Comparator.comparing(queue -> queue.rows.first(), RequestQueue.EARLIEST_DEADLINE);

    private final Tables tables;

    FairShareSystem(Tables tables) {
        this.tables = tables;
    }

    /** Returns the trainers with queued requests in the order in which they are served. */
    List<TrainerQueue> trainersInServiceOrder(ServiceRow service) {
        return service.queue.trainers.values().stream()
                .filter(queue -> !queue.rows.isEmpty())
                .sorted(tables.uses(RequestPolicy.FAIR_SHARING) ? LEAST_SERVED : FIRST_DEADLINE)
                .toList();
    }

    /**
     * Queues a request; a trainer that becomes active starts with at least the served work of the least served active
     * one.
     */
    void queue(RequestRow row) {
        if (row.isTraining()) {
            if (row.service.queue.trainers.size() >= RETAINED_TRAINERS) {
                row.service.queue.trainers.values().removeIf(queue -> !queue.isActive());
            }
            TrainerQueue queue = row.service.queue.trainer(row);
            if (!queue.isActive()) {
                row.service.queue.trainers.values().stream()
                        .filter(TrainerQueue::isActive)
                        .min(LEAST_SERVED)
                        .ifPresent(least -> queue.served.raiseTo(least.served));
            }
        }
        row.service.queue.add(row);
    }

    void handleStarted(AttemptRow attempt) {
        TrainerQueue queue = attempt.request.service.queue.trainer(attempt.request);
        queue.open++;
        queue.served.charge(remaining(attempt, attempt.resumeOffset) / weight(attempt.request));
    }

    /** Refunds the charge for the tokens that were not produced, unless the attempt completed. */
    void handleEnded(AttemptRow attempt, boolean completed) {
        TrainerQueue queue = attempt.request.service.queue.trainer(attempt.request);
        queue.open--;
        if (!completed) {
            queue.served.charge(-remaining(attempt, attempt.tokens) / weight(attempt.request));
        }
    }

    private static double remaining(AttemptRow attempt, int offset) {
        return Math.max(1, attempt.request.expectedTokens() - offset);
    }

    private static double weight(RequestRow row) {
        Map<TrainerName, Integer> shares = row.configuration
                .training()
                .map(training -> training.trainerShares())
                .orElse(Map.of());
        return row.arrival
                .trainer()
                .map(trainer -> shares.getOrDefault(trainer, 1))
                .orElse(1);
    }
}
