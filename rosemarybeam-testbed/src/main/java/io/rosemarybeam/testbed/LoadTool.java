package io.rosemarybeam.testbed;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import io.rosemarybeam.testbed.LoadReport.Outcome;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Dsl;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/**
 * Sends customer requests and training steps to a deployment and reports the outcomes. Exits with 0 if all guarantees were
 * met, with 1 otherwise, and with 2 if the command line is invalid. Confined to the main thread, apart from the load threads.
 */
public final class LoadTool {
    /** Time within which a step must receive all its samples. */
    private static final Duration STEP_DEADLINE = Duration.ofMinutes(9);

    @Option(name = "--entries", required = true, usage = "addresses of entry hosts, separated by commas")
    private String entries;

    @Option(name = "--domain", required = true, usage = "failure domain of the caller")
    private String domain;

    @Option(name = "--model-service", required = true, usage = "name of the model service")
    private String modelService;

    @Option(name = "--plain-service", required = true, usage = "name of the plain service")
    private String plainService;

    @Option(name = "--seconds", usage = "how long customers send requests")
    private int seconds = 10;

    @Option(name = "--callers", usage = "customers that send requests at once")
    private int callers = 8;

    @Option(name = "--steps", usage = "training steps")
    private int steps = 2;

    @Option(name = "--groups", usage = "groups per training step")
    private int groups = 16;

    @Option(name = "--samples", usage = "samples per group")
    private int samples = 4;

    @Option(name = "--staleness-bound", usage = "versions that a sample may lag behind")
    private int stalenessBound = 2;

    @Option(name = "--trainer", usage = "name of the trainer")
    private String trainer = "trainer-a";

    @Option(name = "--help", help = true, usage = "print this help")
    private boolean help;

    private final LoadReport report = new LoadReport();

    private LoadTool() {}

    /**
     * Runs the load and prints the report.
     *
     * @param arguments command line; {@code --help} prints the options
     * @throws IOException if the client cannot be closed
     * @throws InterruptedException if the main thread is interrupted
     */
    public static void main(String[] arguments) throws IOException, InterruptedException {
        LoadTool tool = new LoadTool();
        CmdLineParser parser = ToolArguments.parse(tool, arguments);
        if (tool.help) {
            parser.printUsage(System.out);
            return;
        }
        tool.run();
        System.out.print(tool.report.render());
        System.out.println(tool.report.passed() ? "PASSED" : "FAILED");
        System.exit(tool.report.passed() ? 0 : 1);
    }

    private void run() throws IOException, InterruptedException {
        try (AsyncHttpClient client = Dsl.asyncHttpClient(Dsl.config().setMaxRequestRetry(0))) {
            EntryDirectory directory = new EntryDirectory(client, List.of(entries.split(",")), domain);
            List<Thread> threads = new ArrayList<>();
            long end = ModelEngine.nowMilliseconds() + seconds * 1_000L;
            CallerLoad load = new CallerLoad(client, directory, report, modelService, plainService);
            for (int caller = 0; caller < callers; caller++) {
                threads.add(Thread.ofVirtual().start(() -> sendUntil(load, end)));
            }
            threads.add(Thread.ofVirtual().start(() -> runTraining(client, directory)));
            for (Thread thread : threads) {
                thread.join();
            }
            load.countRepeatedRuns();
            if (report.countOf(Outcome.STEP_WHOLE) == 0 && steps > 0) {
                report.count(Outcome.STEP_INCOMPLETE);
            }
        }
    }

    private static void sendUntil(CallerLoad load, long end) {
        while (ModelEngine.nowMilliseconds() < end) {
            load.sendCompletion();
            load.sendBooking();
        }
    }

    private void runTraining(AsyncHttpClient client, EntryDirectory directory) {
        TrainerLoad.Plan plan =
                new TrainerLoad.Plan(trainer, modelService, groups, samples, 64, stalenessBound, STEP_DEADLINE);
        TrainerLoad load = new TrainerLoad(client, directory, report, plan, 1);
        for (int step = 1; step <= steps; step++) {
            load.runStep("step-" + ProcessHandle.current().pid() + "-" + step);
        }
    }
}
