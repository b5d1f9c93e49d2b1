package io.rosemarybeam.testbed;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/**
 * Runs the edge and store programs under the load for which their class-data archives are made, and stops them, on which the
 * runtime writes the archives. Exits with 0 if both archives were written, with 1 otherwise, and with 2 if the command line is
 * invalid.
 *
 * <p>A class that no training run has used is loaded, verified and linked when the first request needs it, which stalls a
 * restarted process for up to a second under load. So the run takes the whole path: handshakes, leadership and its loss,
 * plain requests, orders, streams, failures, submissions with scores, weight orders, configurations and metrics.
 */
public final class ArchiveTrainingTool {
    private static final int STORES = 3;
    private static final int EDGES = 2;
    private static final int DESKS = 3;
    private static final int ENGINES = 2;

    /** The processes that write archives; the others are their peers. */
    private static final String STORE = SoakDeployment.store(0);

    private static final String EDGE = SoakDeployment.edge(0);

    /** Duration of the traffic in each role of the store, in milliseconds; a step of the trainer takes about two seconds. */
    private static final long TRAFFIC_MILLISECONDS = 5_000;

    /** Longer than an election timeout, so that a leader that is paused for it loses the leadership. */
    private static final long PAUSE_MILLISECONDS = 3_000;

    /** Number of elections that are forced at most until the store has led and followed. */
    private static final int MAXIMUM_ELECTIONS = 8;

    private static final long HEARTBEAT_MILLISECONDS = 400;

    /** Time for writing an archive, which takes some seconds on a slow machine. */
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(60);

    private static final List<String> FLAGS = List.of(
            "--sun-misc-unsafe-memory-access=allow",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-Xss512k",
            "-Dlog4j.shutdownHookEnabled=false",
            "-Dlog4j2.disableJmx=true",
            "-Djava.net.preferIPv4Stack=true",
            "-Drosemarybeam.log.target=SYSTEM_OUT");

    @Option(name = "--java", required = true, usage = "the command of the runtime for which the archives are made")
    private String java = "";

    @Option(name = "--class-path", required = true, usage = "the class path, as the programs are started with it")
    private String classPath = "";

    @Option(name = "--store-archive", required = true, usage = "receives the archive of the store program")
    private String storeArchive = "";

    @Option(name = "--edge-archive", required = true, usage = "receives the archive of the edge program")
    private String edgeArchive = "";

    @Option(name = "--folder", required = true, usage = "folder for settings, logs and data")
    private String folder = "";

    @Option(name = "--help", help = true, usage = "print this help")
    private boolean help;

    private final SoakReport report = new SoakReport();
    private volatile boolean running = true;

    private ArchiveTrainingTool() {}

    /**
     * Makes the archives.
     *
     * @param arguments command line; {@code --help} prints the options
     * @throws IOException if the folder cannot be created
     * @throws InterruptedException if the main thread is interrupted
     */
    public static void main(String[] arguments) throws IOException, InterruptedException {
        ArchiveTrainingTool tool = new ArchiveTrainingTool();
        CmdLineParser parser = ToolArguments.parse(tool, arguments);
        if (tool.help) {
            parser.printUsage(System.out);
            return;
        }
        Path files = Files.createDirectories(Path.of(tool.folder));
        tool.run(files, new ProcessGroup(files, tool.java, tool.classPath));
        boolean areWritten = Files.exists(Path.of(tool.storeArchive)) && Files.exists(Path.of(tool.edgeArchive));
        System.out.print(tool.report.render());
        System.exit(areWritten ? 0 : 1);
    }

    /** Runs the load with the programs on the class path of this process and writes no archives, for the tests. */
    static SoakReport exerciseOnly(Path files) throws InterruptedException {
        ArchiveTrainingTool tool = new ArchiveTrainingTool();
        tool.run(files, new ProcessGroup(files));
        return tool.report;
    }

    private void run(Path files, ProcessGroup processes) throws InterruptedException {
        try (SoakDeployment deployment = new SoakDeployment(files, STORES, EDGES, processes, this::flags)) {
            deployment.start(report, DESKS, ENGINES);
            Thread.ofVirtual().start(() -> announce(deployment));
            SoakTraffic traffic = new SoakTraffic(deployment, report, 1);
            List<Thread> callers = startTraffic(deployment, traffic);
            exercise(deployment);
            exerciseOtherRole(deployment);
            traffic.stop();
            for (Thread caller : callers) {
                caller.join();
            }
            running = false;
            report.count(processes.stop(EDGE, STOP_TIMEOUT) ? "programs stopped" : "programs not stopped");
            report.count(processes.stop(STORE, STOP_TIMEOUT) ? "programs stopped" : "programs not stopped");
        }
    }

    private List<String> flags(String name) {
        List<String> flags = new ArrayList<>(FLAGS);
        if (name.equals(STORE) && !storeArchive.isEmpty()) {
            flags.add("-XX:ArchiveClassesAtExit=" + storeArchive);
        } else if (name.equals(EDGE) && !edgeArchive.isEmpty()) {
            flags.add("-XX:ArchiveClassesAtExit=" + edgeArchive);
        }
        return flags;
    }

    private void announce(SoakDeployment deployment) {
        while (running) {
            deployment.announceEndpoints();
            SoakTraffic.pause(HEARTBEAT_MILLISECONDS);
        }
    }

    private List<Thread> startTraffic(SoakDeployment deployment, SoakTraffic traffic) {
        SoakStreams streams = new SoakStreams(deployment, report, 1, traffic::isRunning);
        List<Thread> threads = new ArrayList<>();
        for (int caller = 0; caller < EDGES * 2; caller++) {
            int number = caller;
            threads.add(Thread.ofVirtual().start(() -> traffic.runCaller(number)));
            threads.add(Thread.ofVirtual().start(() -> streams.run(number)));
        }
        threads.add(Thread.ofVirtual().start(traffic::runTrainer));
        return threads;
    }

    /** Adds operators' calls, faults of endpoints and reads of the state to the traffic. */
    private void exercise(SoakDeployment deployment) {
        Random random = new Random(1);
        long end = SoakReport.now() + TRAFFIC_MILLISECONDS;
        for (int round = 1; SoakReport.now() < end; round++) {
            deployment.configure(1 + round, 800);
            deployment.nameVersion("model", 1 + round);
            SoakEndpoint endpoint = deployment
                    .endpoints()
                    .get(random.nextInt(deployment.endpoints().size()));
            endpoint.misbehaveOnce(SoakEndpoint.Fault.values()[random.nextInt(SoakEndpoint.Fault.values().length)]);
            deployment.metrics(STORE);
            deployment.metrics(EDGE);
            deployment.call(deployment.toReadyAddress(0, "/api/readyz"));
            SoakTraffic.pause(HEARTBEAT_MILLISECONDS);
        }
    }

    /** Pauses the leader until another host leads and the store has been leader and follower. */
    private void exerciseOtherRole(SoakDeployment deployment) {
        boolean hasFollowed = false;
        for (int election = 0; election < MAXIMUM_ELECTIONS; election++) {
            String leader = leader(deployment);
            if (leader.equals(STORE) && hasFollowed) {
                break;
            }
            deployment.processes().signal(leader, "STOP");
            SoakTraffic.pause(PAUSE_MILLISECONDS);
            deployment.processes().signal(leader, "CONT");
            hasFollowed |= !leader(deployment).equals(STORE);
        }
        report.count(hasFollowed && leader(deployment).equals(STORE) ? "both roles taken" : "one role taken");
        exercise(deployment);
    }

    /** Returns the name of the store process that was elected last. */
    private static String leader(SoakDeployment deployment) {
        String last = STORE;
        long lastTerm = -1;
        for (int index = 0; index < deployment.stores(); index++) {
            String name = SoakDeployment.store(index);
            for (String line : deployment.processes().readLog(name).split("\n")) {
                if (line.contains("\"LEADER_ELECTED\"")) {
                    long term = Long.parseLong(line.replaceAll(".*\"term\":\"(\\d+)\".*", "$1"));
                    last = term > lastTerm ? name : last;
                    lastTerm = Math.max(lastTerm, term);
                }
            }
        }
        return last;
    }
}
