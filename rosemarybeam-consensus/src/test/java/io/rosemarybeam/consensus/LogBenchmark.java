package io.rosemarybeam.consensus;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.rosemarybeam.consensus.LogMessage.Envelope;
import io.rosemarybeam.consensus.storage.FileSystem;
import io.rosemarybeam.consensus.storage.LogStorage;

/**
 * Measures entries per second and syncs per entry of three members in one process that store their logs on disk, with and
 * without group commit. Run manually; the argument is a folder on the disk to measure.
 */
final class LogBenchmark {
    private static final int COMMAND_BYTES = 200;
    private static final long WARM_UP_MILLISECONDS = 1_000;
    private static final long MEASURED_MILLISECONDS = 3_000;

    private final Map<MemberId, Host> hosts = new ConcurrentHashMap<>();
    private final int maximumOutstanding;

    private LogBenchmark(Path folder, int maximumOutstanding, int entriesPerSync) throws Exception {
        this.maximumOutstanding = maximumOutstanding;
        List<Member> voters = new ArrayList<>();
        for (int number = 1; number <= 3; number++) {
            voters.add(LogCluster.member("m" + number, 1));
        }
        LogSnapshot initialSnapshot = new LogSnapshot(1, 1, new Membership(voters, List.of()), new byte[0]);
        for (Member voter : voters) {
            hosts.put(voter.id(), new Host(voter.id(), folder, initialSnapshot, entriesPerSync));
        }
        hosts.values().forEach(Host::start);
    }

    public static void main(String[] arguments) throws Exception {
        for (int maximumOutstanding : new int[] {1, 16, 256}) {
            for (int entriesPerSync : new int[] {1, Integer.MAX_VALUE}) {
                Path folder = Files.createTempDirectory(Path.of(arguments[0]), "log-benchmark");
                new LogBenchmark(folder, maximumOutstanding, entriesPerSync).measure(entriesPerSync > 1);
            }
        }
    }

    private void measure(boolean groupCommit) throws Exception {
        while (leader().isEmpty()) {
            Thread.sleep(WARM_UP_MILLISECONDS);
        }
        Thread.sleep(WARM_UP_MILLISECONDS);
        Host leader = leader().orElseThrow();
        long entries = leader.applied.get();
        long syncs = leader.storage.syncs();
        Thread.sleep(MEASURED_MILLISECONDS);
        long measuredEntries = leader.applied.get() - entries;
        long measuredSyncs = leader.storage.syncs() - syncs;
        System.out.printf(
                "group commit %-5s outstanding %3d: %6d entries/s, %.3f syncs per entry on the leader%n",
                groupCommit,
                maximumOutstanding,
                measuredEntries * 1_000 / MEASURED_MILLISECONDS,
                (double) measuredSyncs / Math.max(1, measuredEntries));
        hosts.values().forEach(Host::stop);
    }

    private Optional<Host> leader() {
        return hosts.values().stream()
                .filter(host -> host.log.role() == ReplicatedLog.Role.LEADER)
                .findFirst();
    }

    /** A member with its threads. The log is confined to the loop thread. */
    private final class Host {
        private final ExecutorService loop = Executors.newSingleThreadExecutor();
        private final ExecutorService disk = Executors.newSingleThreadExecutor();
        private final LogStorage storage;
        private final ReplicatedLog log;
        private final AtomicLong applied = new AtomicLong(1);
        private volatile boolean stopped;

        Host(MemberId id, Path folder, LogSnapshot initialSnapshot, int entriesPerSync) {
            storage = LogStorage.open(FileSystem.of(folder.resolve(id.name())));
            storage.persist(Optional.of(new HardState(1, Optional.empty())), Optional.of(initialSnapshot), List.of());
            LogOptions options = LogOptions.standard(1).withMaximumEntriesPerSync(entriesPerSync);
            log = new ReplicatedLog(options, id, storage.load());
        }

        void start() {
            Thread.ofPlatform().daemon().start(() -> {
                while (!stopped) {
                    execute(log::tick);
                    sleep();
                }
            });
        }

        private static void sleep() {
            try {
                Thread.sleep(50);
            } catch (InterruptedException interrupted) {
                throw new IllegalStateException(interrupted);
            }
        }

        void stop() {
            stopped = true;
            loop.shutdown();
            try {
                loop.awaitTermination(5, TimeUnit.SECONDS);
                disk.shutdown();
                disk.awaitTermination(5, TimeUnit.SECONDS);
            } catch (InterruptedException interrupted) {
                throw new IllegalStateException(interrupted);
            }
            storage.close();
        }

        void execute(Runnable input) {
            if (!loop.isShutdown()) {
                loop.execute(() -> {
                    input.run();
                    process();
                });
            }
        }

        private void process() {
            if (log.role() == ReplicatedLog.Role.LEADER) {
                while (log.lastIndex() - applied.get() < maximumOutstanding) {
                    log.propose(new byte[COMMAND_BYTES]);
                }
            }
            while (log.hasReady()) {
                Ready ready = log.ready();
                ready.messages().forEach(this::send);
                if (ready.needsPersisting()) {
                    disk.execute(() -> {
                        storage.persist(ready.hardState(), ready.snapshot(), ready.entries());
                        execute(() -> log.persisted(0, 0));
                    });
                }
                applied.addAndGet(ready.committed().size());
            }
        }

        private void send(Envelope envelope) {
            byte[] bytes = LogMessageCodec.encode(envelope);
            Host target = hosts.get(envelope.to());
            target.execute(() -> target.log.receive(LogMessageCodec.decode(bytes)));
        }
    }
}
