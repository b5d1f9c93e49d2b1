package io.rosemarybeam.testbed.capacity;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;

import io.rosemarybeam.common.wire.ControlReply.ApplyReply;
import io.rosemarybeam.common.wire.WireSettings;
import io.rosemarybeam.common.wire.WireTransport;
import io.rosemarybeam.testbed.Deployment;

/**
 * Measures the load that entry hosts and endpoints put on the control leader and on a follower. The control processes are
 * real; the entry hosts are simulated in this process. Confined to one thread, apart from the simulated entry hosts.
 */
final class LeaderBenchmark {
    private static final int[] ENTRY_COUNTS = {10, 50, 200, 400};

    /** Entry hosts of the target deployment; the fits are extrapolated to this size. */
    private static final int TARGET_ENTRIES = 380;

    /** Endpoints of the target deployment. */
    private static final int TARGET_REPLICAS = 850;

    private static final int CONTROL_HOSTS = 3;
    private static final int CONFIGURATION_CHANGES = 5;
    private static final long RENEWAL_MILLISECONDS = 1_000;

    /** Pause after a change of load, before the next measurement. */
    private static final long STABILIZATION_MILLISECONDS = 8_000;

    private static final long MEASURED_MILLISECONDS = 10_000;
    private static final double BYTES_PER_MEBIBYTE = 1_048_576.0;
    private static final double MILLISECONDS_PER_SECOND = 1_000.0;

    private final LinearFit leaderProcessor =
            new LinearFit("leader, processor time with leases only", "% core", "entry");
    private final LinearFit followerProcessor = new LinearFit("follower, processor time", "% core", "entry");
    private final LinearFit leaderMemory = new LinearFit("leader, resident memory", "MiB", "entry");
    private final LinearFit leaderBytesReceived = new LinearFit("leader, bytes in (payload and frame)", "B/s", "entry");
    private final LinearFit leaderBytesSent = new LinearFit("leader, bytes out (payload and frame)", "B/s", "entry");
    private final LinearFit activationTime =
            new LinearFit("slowest of 5 changes until in force everywhere", "ms", "entry");
    private final LinearFit announcementTime =
            new LinearFit("all endpoints announced at once until agreed", "ms", "entry");

    List<String> measure() throws IOException {
        for (int count : ENTRY_COUNTS) {
            measure(count);
        }
        List<String> lines = new ArrayList<>();
        for (LinearFit fit : List.of(
                leaderProcessor,
                followerProcessor,
                leaderMemory,
                leaderBytesReceived,
                leaderBytesSent,
                activationTime,
                announcementTime)) {
            lines.add(fit.render(TARGET_ENTRIES));
        }
        return lines;
    }

    private void measure(int entryCount) throws IOException {
        Path folder = Files.createTempDirectory("capacity");
        ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
        try (Deployment deployment = new Deployment(folder, CONTROL_HOSTS)) {
            deployment.apply(deployment.configurationText(1, 256), Duration.ofSeconds(10));
            String leader = deployment.leader();
            LongAdder toLeader = new LongAdder();
            LongAdder fromLeader = new LongAdder();
            List<EntryStandIn> entries = connect(deployment, leader, entryCount, toLeader, fromLeader);
            for (int index = 0; index < entryCount; index++) {
                long offset = index * RENEWAL_MILLISECONDS / entryCount;
                timer.scheduleAtFixedRate(
                        entries.get(index)::renew, offset, RENEWAL_MILLISECONDS, TimeUnit.MILLISECONDS);
            }
            pause(STABILIZATION_MILLISECONDS);
            announcementTime.add(entryCount, announceAllMilliseconds(entries));
            pause(STABILIZATION_MILLISECONDS);
            measureSteadyState(deployment, leader, entryCount, toLeader, fromLeader);
            activationTime.add(entryCount, slowestActivationMilliseconds(deployment));
        } finally {
            timer.shutdownNow();
            Deployment.deleteFolder(folder);
        }
    }

    private static List<EntryStandIn> connect(
            Deployment deployment, String leader, int entryCount, LongAdder toLeader, LongAdder fromLeader) {
        WireTransport transport = WireTransport.of(deployment.eventLoops(), WireSettings.standard());
        String address = deployment.controlAddresses().get(leader.charAt(leader.length() - 1) - '0');
        List<EntryStandIn> entries = new ArrayList<>();
        for (int index = 0; index < entryCount; index++) {
            List<Integer> endpoints = new ArrayList<>();
            for (int endpoint = index; endpoint < replicas(entryCount); endpoint += entryCount) {
                endpoints.add(endpoint);
            }
            var record = BenchmarkData.entryHost(index);
            EntryStandIn entry = new EntryStandIn(record, endpoints, toLeader, fromLeader);
            var credentials = deployment.entryCredentials(record.name().value(), record.incarnation());
            entry.setConnection(transport.connect(address, credentials, entry).join());
            entries.add(entry);
        }
        return entries;
    }

    /** Returns the number of endpoints that has the same ratio to the entry hosts as in the target deployment. */
    private static int replicas(int entryCount) {
        return entryCount * TARGET_REPLICAS / TARGET_ENTRIES;
    }

    private static double announceAllMilliseconds(List<EntryStandIn> entries) {
        long start = System.nanoTime();
        List<CompletableFuture<?>> answers = new ArrayList<>();
        for (int endpoint = 0; endpoint < replicas(entries.size()); endpoint++) {
            answers.add(entries.get(endpoint % entries.size()).announce(endpoint));
        }
        answers.forEach(CompletableFuture::join);
        return (System.nanoTime() - start) / 1e6;
    }

    private void measureSteadyState(
            Deployment deployment, String leader, int entryCount, LongAdder toLeader, LongAdder fromLeader) {
        String follower = leader.equals("control-0") ? "control-1" : "control-0";
        double leaderBefore = deployment.processorSeconds(leader);
        double followerBefore = deployment.processorSeconds(follower);
        toLeader.reset();
        fromLeader.reset();
        long start = System.nanoTime();
        pause(MEASURED_MILLISECONDS);
        double seconds = (System.nanoTime() - start) / 1e9;
        leaderProcessor.add(entryCount, percent(deployment.processorSeconds(leader) - leaderBefore, seconds));
        followerProcessor.add(entryCount, percent(deployment.processorSeconds(follower) - followerBefore, seconds));
        leaderBytesReceived.add(entryCount, toLeader.sum() / seconds);
        leaderBytesSent.add(entryCount, fromLeader.sum() / seconds);
        leaderMemory.add(entryCount, deployment.residentBytes(leader) / BYTES_PER_MEBIBYTE);
    }

    private static double percent(double used, double seconds) {
        return 100 * used / seconds;
    }

    private static double slowestActivationMilliseconds(Deployment deployment) {
        double slowest = 0;
        for (int number = 2; number < 2 + CONFIGURATION_CHANGES; number++) {
            long start = System.nanoTime();
            ApplyReply reply =
                    deployment.apply(deployment.configurationText(number, 256 + number), Duration.ofSeconds(10));
            if (!reply.inForce()) {
                throw new IllegalStateException(
                        "configuration " + number + " is not active on entries " + reply.pendingEntries());
            }
            slowest = Math.max(slowest, (System.nanoTime() - start) / 1e9 * MILLISECONDS_PER_SECOND);
        }
        return slowest;
    }

    private static void pause(long milliseconds) {
        try {
            Thread.sleep(milliseconds);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
