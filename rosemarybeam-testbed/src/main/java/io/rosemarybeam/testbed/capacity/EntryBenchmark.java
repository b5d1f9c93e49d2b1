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
import io.rosemarybeam.testbed.EndpointSettings;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Dsl;

/**
 * Measures the processor time and memory that an entry process uses for leases, membership and load reports while it serves
 * no request. Confined to one thread, apart from the announcers that send the reports.
 */
final class EntryBenchmark {
    /** Includes 54, the rate at one entry host of the target deployment if each endpoint reports to 24 entry hosts. */
    private static final int[] REPORTS_PER_SECOND = {0, 20, 54, 120};

    private static final int TARGET_REPORTS_PER_SECOND = 54;
    private static final int WARM_UP_REPORTS_PER_SECOND = 120;

    /** Pause after a change of load, before the next measurement. */
    private static final long STABILIZATION_MILLISECONDS = 5_000;

    private static final long MEASURED_MILLISECONDS = 8_000;
    private static final double BYTES_PER_MEBIBYTE = 1_048_576.0;

    List<String> measure() throws IOException {
        LinearFit processor = new LinearFit("entry, processor time", "% core", "report/s");
        LinearFit memory = new LinearFit("entry, resident memory", "MiB", "report/s");
        Path folder = Files.createTempDirectory("capacity");
        try (Deployment deployment = new Deployment(folder, 1);
                AsyncHttpClient client = Dsl.asyncHttpClient()) {
            deployment.startEntry(0);
            deployment.apply(deployment.configurationText(1, 256), Duration.ofSeconds(10));
            pause(STABILIZATION_MILLISECONDS);
            // Discards a first measurement, in which the JVM compiles the code that handles the reports.
            measure(deployment, client, WARM_UP_REPORTS_PER_SECOND, discardedFit(), discardedFit());
            for (int rate : REPORTS_PER_SECOND) {
                measure(deployment, client, rate, processor, memory);
            }
        } finally {
            Deployment.deleteFolder(folder);
        }
        return List.of(
                processor.render(TARGET_REPORTS_PER_SECOND),
                memory.render(TARGET_REPORTS_PER_SECOND),
                "load report, HTTP body: "
                        + announcer(null, 1, List.of("127.0.0.1:1")).bodyBytes() + " B");
    }

    private static void measure(
            Deployment deployment, AsyncHttpClient client, int rate, LinearFit processor, LinearFit memory) {
        ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
        List<Announcer> announcers = new ArrayList<>();
        for (int index = 0; index < rate; index++) {
            Announcer announcer = announcer(client, index, deployment.entryAddresses());
            announcer.start(timer);
            announcers.add(announcer);
        }
        pause(STABILIZATION_MILLISECONDS);
        double before = deployment.processorSeconds("entry-0");
        long start = System.nanoTime();
        pause(MEASURED_MILLISECONDS);
        double seconds = (System.nanoTime() - start) / 1e9;
        processor.add(rate, 100 * (deployment.processorSeconds("entry-0") - before) / seconds);
        memory.add(rate, deployment.residentBytes("entry-0") / BYTES_PER_MEBIBYTE);
        announcers.forEach(Announcer::stop);
        timer.shutdownNow();
    }

    private static LinearFit discardedFit() {
        return new LinearFit("warm-up", "", "");
    }

    private static Announcer announcer(AsyncHttpClient client, int index, List<String> entries) {
        EndpointSettings settings = new EndpointSettings(
                EndpointId.of("replica-" + index),
                ServiceName.of("brailler-lm"),
                BenchmarkData.failureDomain(index),
                16,
                1,
                1,
                true);
        Announcer.EndpointStatus report = new Announcer.EndpointStatus(7L, 3, 0, List.of());
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
