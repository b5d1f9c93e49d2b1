package io.rosemarybeam.decision.request;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeSet;

/**
 * The requests of a service that wait for an endpoint, earliest deadline first, with one queue for customers and one
 * per trainer.
 *
 * <p>Confined to the thread of the core.
 */
final class RequestQueue {
    static final Comparator<RequestRow> EARLIEST_DEADLINE =
            Comparator.comparingLong(RequestRow::deadline).thenComparingLong(row -> row.sequence);

    final TreeSet<RequestRow> customers = new TreeSet<>(EARLIEST_DEADLINE);
    final Map<String, TrainerQueue> trainers = new LinkedHashMap<>();
    private int trainingSize;

    int size() {
        return customers.size() + trainingSize;
    }

    int trainingSize() {
        return trainingSize;
    }

    TrainerQueue trainer(RequestRow row) {
        return trainers.computeIfAbsent(row.trainerName(), name -> new TrainerQueue());
    }

    void add(RequestRow row) {
        if (!row.isTraining()) {
            customers.add(row);
        } else if (trainer(row).rows.add(row)) {
            trainingSize++;
        }
    }

    void remove(RequestRow row) {
        if (!row.isTraining()) {
            customers.remove(row);
        } else if (trainer(row).rows.remove(row)) {
            trainingSize--;
        }
    }

    /** Estimates the number of queued customers with an earlier deadline, as if deadlines were evenly spread. */
    int customersBefore(long deadline) {
        if (customers.isEmpty() || deadline < customers.first().deadline()) {
            return 0;
        }
        long first = customers.first().deadline();
        long last = customers.last().deadline();
        if (deadline >= last) {
            return customers.size();
        }
        return (int) (customers.size() * ((double) (deadline - first) / (last - first)));
    }

    /**
     * Returns the training request to shed first: the latest deadline of the longest queue, or null if there is none.
     */
    RequestRow trainingToShed() {
        return trainers.values().stream()
                .filter(queue -> !queue.rows.isEmpty())
                .max(Comparator.comparingInt(queue -> queue.rows.size()))
                .map(queue -> queue.rows.last())
                .orElse(null);
    }
}
