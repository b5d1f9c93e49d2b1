package io.rosemarybeam.entry;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.decision.request.RequestInput.AttemptFailure;

/** Counts what the entry does. Safe for use by several threads. */
final class EntryMetrics {
    private static final double MILLISECONDS_PER_SECOND = 1_000.0;
    private static final double[] SECONDS = {0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30, 60};

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Counter requests = Counter.builder()
            .name("rosemarybeam_entry_requests_total")
            .help("Requests by service and result.")
            .labelNames("service", "result")
            .register(registry);
    private final Counter attempts = Counter.builder()
            .name("rosemarybeam_entry_attempts_total")
            .help("Attempts by service and result.")
            .labelNames("service", "result")
            .register(registry);
    private final Counter refusals = Counter.builder()
            .name("rosemarybeam_entry_refusals_total")
            .help("Refusals by code.")
            .labelNames("code")
            .register(registry);
    private final Counter mismatches = Counter.builder()
            .name("rosemarybeam_entry_mismatched_chunks_total")
            .help("Chunks and answers that carried the id of another attempt and were dropped.")
            .register(registry);
    private final Histogram duration = Histogram.builder()
            .name("rosemarybeam_entry_request_seconds")
            .help("Time from arrival to the end of the answer.")
            .labelNames("service")
            .classicOnly()
            .classicUpperBounds(SECONDS)
            .register(registry);
    private final Gauge leaseSeconds = Gauge.builder()
            .name("rosemarybeam_entry_lease_remaining_seconds")
            .help("Remaining time of the configuration lease; negative once it has lapsed.")
            .register(registry);
    private final Gauge revision = Gauge.builder()
            .name("rosemarybeam_entry_configuration_number")
            .help("Number of the configuration in force here.")
            .register(registry);

    PrometheusRegistry registry() {
        return registry;
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

    long mismatchCount() {
        return (long) mismatches.get();
    }

    void leaseRemaining(long milliseconds) {
        leaseSeconds.set(milliseconds / MILLISECONDS_PER_SECOND);
    }

    void configurationNumber(long number) {
        revision.set(number);
    }
}
