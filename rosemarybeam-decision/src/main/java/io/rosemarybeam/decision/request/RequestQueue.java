package io.rosemarybeam.decision.request;

import java.util.Collections;
import java.util.Comparator;
import java.util.SortedSet;
import java.util.TreeSet;

/** The requests of a service that wait for an endpoint, earliest deadline first. Confined to the thread of the core. */
final class RequestQueue {
    static final Comparator<RequestRow> EARLIEST_DEADLINE =
            Comparator.comparingLong(RequestRow::deadline).thenComparingLong(row -> row.sequence);

    private final TreeSet<RequestRow> customers = new TreeSet<>(EARLIEST_DEADLINE);
    private final TreeSet<RequestRow> training = new TreeSet<>(EARLIEST_DEADLINE);

    int size() {
        return customers.size() + training.size();
    }

    void add(RequestRow row) {
        (row.isTraining() ? training : customers).add(row);
    }

    void remove(RequestRow row) {
        (row.isTraining() ? training : customers).remove(row);
    }

    SortedSet<RequestRow> customers() {
        return Collections.unmodifiableSortedSet(customers);
    }

    SortedSet<RequestRow> training() {
        return Collections.unmodifiableSortedSet(training);
    }
}
