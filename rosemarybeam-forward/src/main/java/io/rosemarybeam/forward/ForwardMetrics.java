package io.rosemarybeam.forward;

import java.util.function.LongSupplier;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.rosemarybeam.common.metric.Metrics;
import io.rosemarybeam.common.wire.OutputBacklog;
import io.rosemarybeam.decision.routing.EndpointDirectory;
import io.rosemarybeam.platform.EndpointClient;

/** Metrics of forwarded requests and of their attempts. Safe for use by several threads. */
public final class ForwardMetrics {
    /**
     * Upper bounds of the buckets, in seconds; the routes have target latencies of 0.2 to 0.85 and timeouts of 0.8 to 12.
     */
    private static final double[] LATENCY_BOUNDS = {0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.5, 3, 12};

    private final Counter outcomes;
    private final Counter attempts;
    private final Counter endpointChecks;
    private final Counter probes;
    private final Histogram latency;

    private ForwardMetrics(Metrics metrics) {
        outcomes = metrics.counter(
                "forwarded_requests", "Forwarded requests by kind of route and outcome.", "kind", "outcome");
        attempts = metrics.counter("attempts", "Attempts at endpoints by outcome.", "outcome");
        endpointChecks = metrics.counter(
                "endpoint_checks", "Connections opened to check an endpoint after an attempt broke.", "result");
        probes = metrics.counter(
                "endpoint_probes", "Requests for the load of an endpoint before a request, by outcome.", "outcome");
        latency = metrics.histogram(
                "forward_latency_seconds", "Time from a request to its final answer.", LATENCY_BOUNDS, "kind");
    }

    /**
     * Registers the metrics of forwarded requests.
     *
     * @param metrics registry of the process
     * @return the registered metrics
     */
    public static ForwardMetrics of(Metrics metrics) {
        return new ForwardMetrics(metrics);
    }

    /**
     * Registers metrics that are computed from the state of a forwarding process when they are read. They are read on the
     * event loop, because the admin server runs there too.
     *
     * @param metrics registry of the process
     * @param directory the known endpoints
     * @param client client that connects to the endpoints
     * @param configurationVersion supplies the version of the configuration in use; -1 without one
     */
    public static void registerComputedMetrics(
            Metrics metrics, EndpointDirectory directory, EndpointClient client, LongSupplier configurationVersion) {
        metrics.computedGauge(
                "configuration_version",
                "Version of the configuration in use; -1 without one.",
                configurationVersion::getAsLong);
        metrics.computedGauge(
                "known_endpoints",
                "Endpoints that were announced.",
                () -> directory.all().size());
        metrics.computedGauge(
                "output_backlog_bytes",
                "Bytes that wait until the sockets of this process take them.",
                OutputBacklog.ofProcess()::bytes);
        metrics.computedCounter("endpoint_connections", "Connections opened to endpoints.", client::connectionsOpened);
    }

    void requestFinished(String kind, String outcome, long milliseconds) {
        outcomes.labelValues(kind, outcome).inc();
        latency.labelValues(kind).observe(milliseconds / 1_000.0);
    }

    void endpointChecked(String result) {
        endpointChecks.labelValues(result).inc();
    }

    void probeFinished(String outcome) {
        probes.labelValues(outcome).inc();
    }

    void attemptFinished(String outcome) {
        attempts.labelValues(outcome).inc();
    }
}
