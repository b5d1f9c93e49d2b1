package io.rosemarybeam.testbed;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/**
 * Runs real edge and store processes under faults and checks the promises from what callers and endpoints see. Exits with 0
 * if all were kept, with 1 otherwise, and with 2 if the command line is invalid.
 */
public final class SoakTool {
    /** Time after the last fault until sound requests must succeed: a restart, an election and a retry of each. */
    private static final long SETTLE_MILLISECONDS = 4_000;

    /** Duration of the calm period in which every sound request must succeed. */
    private static final long CALM_MILLISECONDS = 3_000;

    /** Time after the last fault within which every item must be listed. */
    private static final long ITEMS_TIMEOUT_MILLISECONDS = 20_000;

    /** Time for which a crashed endpoint stays down. */
    private static final int MAXIMUM_DOWN_MILLISECONDS = 2_000;

    private static final long HEARTBEAT_MILLISECONDS = 400;

    @Option(name = "--seed", usage = "decides which faults come when")
    private long seed = 1;

    @Option(name = "--seconds", usage = "duration of the faults")
    private int seconds = 15;

    @Option(name = "--edges", usage = "edge processes")
    private int edges = 4;

    @Option(name = "--stores", usage = "store processes, at least three")
    private int stores = 3;

    @Option(name = "--callers", usage = "callers of sound requests")
    private int callers = 8;

    @Option(name = "--stream-callers", usage = "callers that read streams and resume them")
    private int streamCallers = 4;

    @Option(name = "--ending-trainers", usage = "trainers that end their submissions early")
    private int endingTrainers = 2;

    @Option(name = "--crashing", usage = "requests that crash endpoints")
    private int crashing = 3;

    @Option(name = "--folder", usage = "folder for settings, logs and data, which are kept; default a temporary one")
    private String folder = "";

    @Option(name = "--help", help = true, usage = "print this help")
    private boolean help;

    private final SoakReport report = new SoakReport();
    private volatile boolean running = true;

    private SoakTool() {}

    /**
     * Runs a soak and prints its report.
     *
     * @param arguments command line; {@code --help} prints the options
     * @throws IOException if the folder cannot be created
     * @throws InterruptedException if the main thread is interrupted
     */
    public static void main(String[] arguments) throws IOException, InterruptedException {
        SoakTool tool = new SoakTool();
        CmdLineParser parser = ToolArguments.parse(tool, arguments);
        if (tool.help) {
            parser.printUsage(System.out);
            return;
        }
        Path folder = tool.folder.isEmpty()
                ? Files.createTempDirectory("rosemarybeam-soak")
                : Files.createDirectories(Path.of(tool.folder));
        SoakReport report = tool.run(folder);
        System.out.print(report.render());
        boolean passed = report.violations().isEmpty();
        System.out.println((passed ? "PASSED" : "FAILED") + " seed " + tool.seed + ", files in " + folder);
        System.exit(passed ? 0 : 1);
    }

    /** Runs a soak with a few processes, for the tests. */
    static SoakReport run(Path folder, long seed, int seconds) throws InterruptedException {
        SoakTool tool = new SoakTool();
        tool.seed = seed;
        tool.seconds = seconds;
        return tool.run(folder);
    }

    private SoakReport run(Path folder) throws InterruptedException {
        report.stalls().start();
        try (SoakDeployment deployment = new SoakDeployment(folder, stores, edges)) {
            deployment.start(report, 6, 5);
            SoakTraffic traffic = new SoakTraffic(deployment, report, seed);
            Thread.ofVirtual().start(() -> announce(deployment));
            Thread.ofVirtual().start(() -> restartEndpoints(deployment));
            SoakTraffic.pause(2_000);
            SoakEndings endings = new SoakEndings(deployment, report, seed, traffic::mayStart);
            List<Thread> threads = startTraffic(deployment, traffic, endings);
            new SoakFaults(deployment, report, seed, endings).run(seconds * 1_000L);
            SoakTraffic.pause(SETTLE_MILLISECONDS);
            deployment.endpoints().forEach(SoakEndpoint::endFaults);
            traffic.setCalm();
            SoakTraffic.pause(CALM_MILLISECONDS);
            readRemaining(traffic);
            traffic.stop();
            for (Thread thread : threads) {
                thread.join();
            }
            running = false;
            checkProgress();
            return report;
        }
    }

    private List<Thread> startTraffic(SoakDeployment deployment, SoakTraffic traffic, SoakEndings endings) {
        List<Thread> threads = new ArrayList<>();
        for (int caller = 0; caller < callers; caller++) {
            int number = caller;
            threads.add(Thread.ofVirtual().start(() -> traffic.runCaller(number)));
        }
        for (int caller = 0; caller < crashing; caller++) {
            int number = caller;
            threads.add(Thread.ofVirtual().start(() -> traffic.runCrashingCaller(number)));
        }
        SoakStreams streams = new SoakStreams(deployment, report, seed, traffic::isRunning);
        for (int caller = 0; caller < streamCallers; caller++) {
            int number = caller;
            threads.add(Thread.ofVirtual().start(() -> streams.run(number)));
        }
        for (int trainer = 0; trainer < endingTrainers; trainer++) {
            int number = trainer;
            threads.add(Thread.ofVirtual().start(() -> endings.run(number)));
        }
        threads.add(Thread.ofVirtual().start(traffic::runTrainer));
        return threads;
    }

    private void announce(SoakDeployment deployment) {
        while (running) {
            deployment.announceEndpoints();
            SoakTraffic.pause(HEARTBEAT_MILLISECONDS);
        }
    }

    private void restartEndpoints(SoakDeployment deployment) {
        Random random = new Random(seed * 43);
        while (running) {
            for (SoakEndpoint endpoint : deployment.endpoints()) {
                if (!endpoint.isRunning()) {
                    int pause = random.nextInt(MAXIMUM_DOWN_MILLISECONDS);
                    boolean newId = random.nextInt(4) > 0;
                    Thread.ofVirtual().start(() -> {
                        SoakTraffic.pause(pause);
                        endpoint.start(newId);
                    });
                }
            }
            SoakTraffic.pause(MAXIMUM_DOWN_MILLISECONDS / 2);
        }
    }

    private void readRemaining(SoakTraffic traffic) {
        Random random = new Random(seed * 47);
        long end = SoakReport.now() + ITEMS_TIMEOUT_MILLISECONDS - SETTLE_MILLISECONDS - CALM_MILLISECONDS;
        while (!traffic.openSubmissions().isEmpty()
                && SoakReport.now() < end + report.stalls().stalledMilliseconds()) {
            traffic.openSubmissions().forEach(open -> traffic.read(open, random));
            SoakTraffic.pause(200);
        }
        traffic.openSubmissions().forEach(open -> report.violation(open + " is not listed completely"));
    }

    private void checkProgress() {
        if (report.countOf("lookups answered 200") == 0 || report.countOf("items completed") == 0) {
            report.violation("nothing was served");
        }
    }
}
