package io.rosemarybeam.common.metric;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.function.DoubleSupplier;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/**
 * The metrics of one process.
 *
 * <p>Invariant: every name starts with {@value #PREFIX} and is registered once. Safe for use by several threads.
 */
public final class Metrics {
    /** Prefix of every metric name. */
    public static final String PREFIX = "rosemarybeam_";

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final PrometheusTextFormatWriter writer = PrometheusTextFormatWriter.builder()
            .setIncludeCreatedTimestamps(false)
            .build();

    private Metrics() {}

    /** Creates the metrics of a process, with resident memory, processor time and uptime already registered. */
    public static Metrics ofProcess() {
        Metrics metrics = new Metrics();
        ProcessMetrics.register(metrics);
        return metrics;
    }

    /**
     * Registers a counter.
     *
     * @param name name without prefix and without {@code _total}
     * @param help what it counts, in one sentence
     * @param labels names of its labels
     * @return the counter
     * @throws IllegalArgumentException if the name is registered already
     */
    public Counter counter(String name, String help, String... labels) {
        return Counter.builder()
                .name(PREFIX + name)
                .help(help)
                .labelNames(labels)
                .register(registry);
    }

    /**
     * Registers a gauge.
     *
     * @param name name without prefix, with its unit at the end
     * @param help what it shows, in one sentence
     * @param labels names of its labels
     * @return the gauge
     * @throws IllegalArgumentException if the name is registered already
     */
    public Gauge gauge(String name, String help, String... labels) {
        return Gauge.builder().name(PREFIX + name).help(help).labelNames(labels).register(registry);
    }

    /**
     * Registers a histogram with fixed buckets.
     *
     * @param name name without prefix, with its unit at the end
     * @param help what it measures, in one sentence
     * @param upperBounds upper bounds of its buckets, in ascending order
     * @param labels names of its labels
     * @return the histogram
     * @throws IllegalArgumentException if the name is registered already
     */
    public Histogram histogram(String name, String help, double[] upperBounds, String... labels) {
        return Histogram.builder()
                .name(PREFIX + name)
                .help(help)
                .classicOnly()
                .classicUpperBounds(upperBounds)
                .labelNames(labels)
                .register(registry);
    }

    /**
     * Registers a gauge whose value is computed on each scrape.
     *
     * @param name name without prefix, with its unit at the end
     * @param help what it shows, in one sentence
     * @param value called by the thread that reads the metrics
     * @throws IllegalArgumentException if the name is registered already
     */
    public void computedGauge(String name, String help, DoubleSupplier value) {
        GaugeWithCallback.builder()
                .name(PREFIX + name)
                .help(help)
                .callback(callback -> callback.call(value.getAsDouble()))
                .register(registry);
    }

    /**
     * Registers a counter whose value is computed on each scrape.
     *
     * @param name name without prefix and without {@code _total}
     * @param help what it counts, in one sentence
     * @param value called by the thread that reads the metrics; must never decrease
     * @throws IllegalArgumentException if the name is registered already
     */
    public void computedCounter(String name, String help, DoubleSupplier value) {
        CounterWithCallback.builder()
                .name(PREFIX + name)
                .help(help)
                .callback(callback -> callback.call(value.getAsDouble()))
                .register(registry);
    }

    /** Returns all metrics in the Prometheus text format, as UTF-8. */
    public byte[] text() {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        try {
            writer.write(text, registry.scrape());
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
        return text.toByteArray();
    }

    /** Returns the media type of {@link #text()}, for the Content-Type header. */
    public String mediaType() {
        return writer.getContentType();
    }
}
