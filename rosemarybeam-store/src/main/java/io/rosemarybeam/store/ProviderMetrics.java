package io.rosemarybeam.store;

import io.prometheus.metrics.core.metrics.Counter;
import io.rosemarybeam.common.metric.Metrics;

/** Metrics of the calls to the provider. Safe for use by several threads. */
final class ProviderMetrics {
    private final Counter calls;
    private final Counter reports;
    private final Counter lateRecords;

    private ProviderMetrics(Counter calls, Counter reports, Counter lateRecords) {
        this.calls = calls;
        this.reports = reports;
        this.lateRecords = lateRecords;
    }

    static ProviderMetrics of(Metrics metrics) {
        return new ProviderMetrics(
                metrics.counter("provider_calls", "Calls to the provider by their outcome.", "outcome"),
                metrics.counter("usage_reports", "Finished reports of use by their outcome.", "outcome"),
                metrics.counter("usage_late_records", "Records of requests that came after their window was closed."));
    }

    void callEnded(String outcome) {
        calls.labelValues(outcome).inc();
    }

    void reportFinished(String outcome) {
        reports.labelValues(outcome).inc();
    }

    void recordsLate(long count) {
        lateRecords.inc(count);
    }
}
