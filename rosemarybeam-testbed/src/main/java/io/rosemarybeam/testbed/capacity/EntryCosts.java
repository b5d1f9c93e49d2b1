package io.rosemarybeam.testbed.capacity;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.testbed.Announcer;
import io.rosemarybeam.testbed.Deployment;
import io.rosemarybeam.testbed.EngineSettings;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Dsl;

/**
 * Measures what control costs an entry process that serves no request: leases, membership and load reports. Confined to one
 * thread apart from the reports.
 */
final class EntryCosts {
    /** Reports per second; 54 is the share of an entry at target size with 24 reporting entries for each endpoint. */
    private static final int[] REPORT_RATES = {0, 20, 54, 120};

    private static final int TARGET_RATE = 54;
    private static final int WARM_UP_RATE = 120;
    private static final long SETTLE_MILLISECONDS = 5_000;
    private static final long MEASURED_MILLISECONDS = 8_000;
    private static final double BYTES_PER_MEBIBYTE = 1_048_576.0;

    List<String> measure() throws IOException {
        Slope processor = new Slope("entry, processor time", "% core", "report/s");
        Slope memory = new Slope("entry, resident memory", "MiB", "report/s");
        Path folder = Files.createTempDirectory("capacity");
        try (Deployment deployment = new Deployment(folder, 1);
                AsyncHttpClient client = Dsl.asyncHttpClient()) {
            deployment.startEntry(0);
            deployment.apply(deployment.text(1, 256), Duration.ofSeconds(10));
            pause(SETTLE_MILLISECONDS);
            // The first reports pay for the compilation of the code that handles them.
            measure(deployment, client, WARM_UP_RATE, unused(), unused());
            for (int rate : REPORT_RATES) {
                measure(deployment, client, rate, processor, memory);
            }
        } finally {
            Deployment.delete(folder);
        }
        return List.of(
                processor.render(TARGET_RATE),
                memory.render(TARGET_RATE),
                "load report, HTTP body: "
                        + announcer(null, 1, List.of("127.0.0.1:1")).bodyBytes() + " B");
    }

    private static void measure(
            Deployment deployment, AsyncHttpClient client, int rate, Slope processor, Slope memory) {
        ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
        List<Announcer> announcers = new ArrayList<>();
        for (int index = 0; index < rate; index++) {
            Announcer announcer = announcer(client, index, deployment.entryAddresses());
            announcer.start(timer);
            announcers.add(announcer);
        }
        pause(SETTLE_MILLISECONDS);
        double before = deployment.processorSeconds("entry-0");
        long start = System.nanoTime();
        pause(MEASURED_MILLISECONDS);
        double seconds = (System.nanoTime() - start) / 1e9;
        processor.add(rate, 100 * (deployment.processorSeconds("entry-0") - before) / seconds);
        memory.add(rate, deployment.residentBytes("entry-0") / BYTES_PER_MEBIBYTE);
        announcers.forEach(Announcer::stop);
        timer.shutdownNow();
    }

    private static Slope unused() {
        return new Slope("warm-up", "", "");
    }

    private static Announcer announcer(AsyncHttpClient client, int index, List<String> entries) {
        EngineSettings settings = new EngineSettings(
                EndpointId.of("replica-" + index),
                ServiceName.of("brailler-lm"),
                Samples.failureDomain(index),
                16,
                1,
                1,
                true);
        Announcer.Report report = new Announcer.Report(7L, 3, 0, List.of());
        return new Announcer(client, settings, "http://127.0.0.1:9", 1, true, () -> report, entries);
    }

    private static void pause(long milliseconds) {
        try {
            Thread.sleep(milliseconds);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
