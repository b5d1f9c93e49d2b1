package io.rosemarybeam.entry;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.metric.Metrics;
import io.rosemarybeam.decision.request.RequestInput.AttemptFailure;

/** The metrics of the entry. Safe for use by several threads. */
final class EntryMetrics {
    private static final double MILLISECONDS_PER_SECOND = 1_000.0;
    private static final double[] DURATION_BUCKETS_SECONDS = {
        0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30, 60
    };

    private final Metrics metrics = Metrics.ofProcess();
    private final Counter requests =
            metrics.counter("entry_requests", "Requests by service and result.", "service", "result");
    private final Counter attempts =
            metrics.counter("entry_attempts", "Attempts by service and result.", "service", "result");
    private final Counter refusals = metrics.counter("entry_refusals", "Refusals by code.", "code");
    private final Counter mismatches = metrics.counter(
            "entry_mismatched_chunks", "Chunks and answers that carried the id of another attempt and were dropped.");
    private final Histogram duration = metrics.histogram(
            "entry_request_seconds",
            "Time from arrival to the end of the answer.",
            DURATION_BUCKETS_SECONDS,
            "service");
    private final Gauge leaseSeconds = metrics.gauge(
            "entry_lease_remaining_seconds", "Remaining time of the configuration lease; negative once it has lapsed.");
    private final Gauge configurationNumber =
            metrics.gauge("entry_configuration_number", "Number of the configuration in force here.");

    Metrics metrics() {
        return metrics;
    }

    void countRequest(String service, String result, long milliseconds) {
        requests.labelValues(service, result).inc();
        duration.labelValues(service).observe(milliseconds / MILLISECONDS_PER_SECOND);
    }

    void countAttempt(String service, AttemptFailure failure) {
        attempts.labelValues(service, failure == null ? "COMPLETED" : failure.name())
                .inc();
    }

    void countRefusal(ErrorCode code) {
        refusals.labelValues(code.name()).inc();
    }

    void countMismatch() {
        mismatches.inc();
    }

    void leaseRemaining(long milliseconds) {
        leaseSeconds.set(milliseconds / MILLISECONDS_PER_SECOND);
    }

    void configurationNumber(long number) {
        configurationNumber.set(number);
    }
}
