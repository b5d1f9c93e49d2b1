package io.rosemarybeam.testbed;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Checks that endpoints get no more requests than the rate limits that they name. Safe for use by several threads.
 */
final class SoakLimits {
    /** A limit holds from this time after it was first named; the platform's ContactMs. */
    private static final long GRACE_MILLISECONDS = 3_000;

    private static final long WINDOW_MILLISECONDS = 4_000;

    /** The users allow one and a half times the limit and 5 requests more in any window. */
    private static final double ALLOWED_FACTOR = 1.5;

    private static final int ALLOWED_EXCESS = 5;

    private final Map<String, List<Phase>> phases = new ConcurrentHashMap<>();

    /** The time for which an endpoint names one limit, and the requests that it gets. */
    private static final class Phase {
        private final double limit;

        /** Monotonic time of the first answer that named the limit, in milliseconds. */
        private long firstAnswer = Long.MAX_VALUE - GRACE_MILLISECONDS;

        private final List<Long> arrivals = new ArrayList<>();

        Phase(double limit) {
            this.limit = limit;
        }

        private long mostInOneWindow() {
            List<Long> counted = arrivals.stream()
                    .filter(arrival -> arrival >= firstAnswer + GRACE_MILLISECONDS)
                    .toList();
            return counted.stream()
                    .mapToLong(start -> counted.stream()
                            .filter(arrival -> arrival >= start && arrival < start + WINDOW_MILLISECONDS)
                            .count())
                    .max()
                    .orElse(0);
        }
    }

    /** Starts or ends a phase. */
    synchronized void named(String endpoint, OptionalDouble limit) {
        phases.computeIfAbsent(endpoint, ignored -> new ArrayList<>())
                .add(new Phase(limit.orElse(Double.POSITIVE_INFINITY)));
    }

    synchronized void requestArrived(String endpoint) {
        List<Phase> ofEndpoint = phases.getOrDefault(endpoint, List.of());
        if (!ofEndpoint.isEmpty()) {
            ofEndpoint.getLast().arrivals.add(SoakReport.now());
        }
    }

    /** Records that an endpoint sends an answer that names its limit. */
    synchronized void answered(String endpoint) {
        List<Phase> ofEndpoint = phases.getOrDefault(endpoint, List.of());
        if (!ofEndpoint.isEmpty()) {
            Phase current = ofEndpoint.getLast();
            current.firstAnswer = Math.min(current.firstAnswer, SoakReport.now());
        }
    }

    /** Returns a line for each phase in which the limit was exceeded. */
    synchronized List<String> violations() {
        List<String> violations = new ArrayList<>();
        phases.forEach((endpoint, all) -> all.forEach(phase -> {
            double allowed = ALLOWED_FACTOR * phase.limit * WINDOW_MILLISECONDS / 1_000 + ALLOWED_EXCESS;
            long most = phase.mostInOneWindow();
            if (most > allowed) {
                violations.add(endpoint + " with a limit of " + phase.limit + " a second got " + most
                        + " requests in 4 s, allowed " + allowed);
            }
        }));
        return violations;
    }
}
