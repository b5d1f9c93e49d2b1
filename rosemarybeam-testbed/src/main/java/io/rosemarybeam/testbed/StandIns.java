package io.rosemarybeam.testbed;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.channel.nio.NioEventLoopGroup;
import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;
import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.FailureDomain;
import io.rosemarybeam.common.id.ServiceName;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Dsl;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/**
 * Runs all endpoints of a deployment in one process: model engines, plain services and a scoring service.
 *
 * <p>Runs until it receives a signal; on SIGTERM every endpoint announces its departure. Confined to the main thread, apart
 * from the servers and announcers that it starts.
 */
public final class StandIns {
    private static final EventLog LOG = EventLog.of(StandIns.class);
    private static final int EVENT_LOOPS = 2;
    private static final int MODEL_CAPACITY = 8;

    /** Time per token of a model engine that runs a single request. */
    private static final int TOKEN_MILLISECONDS = 4;

    private static final int PLAIN_CAPACITY = 32;

    /** Service time of a request to a plain or scoring endpoint. */
    private static final int PLAIN_MILLISECONDS = 5;

    /** Time that a model engine takes to load new weights. */
    private static final int SWAP_MILLISECONDS = 400;

    @Option(name = "--entries", required = true, usage = "addresses of entry hosts, separated by commas")
    private String entries;

    @Option(name = "--domains", required = true, usage = "failure domains, separated by commas")
    private String domains;

    @Option(name = "--model-service", required = true, usage = "name of the model service")
    private String modelService;

    @Option(name = "--model-replicas", usage = "replicas of the model service")
    private int modelReplicas = 6;

    @Option(name = "--plain-service", required = true, usage = "name of the plain service")
    private String plainService;

    @Option(name = "--plain-replicas", usage = "replicas of the plain service")
    private int plainReplicas = 4;

    @Option(name = "--scoring-service", usage = "name of the scoring service; none if empty")
    private String scoringService = "";

    @Option(name = "--help", help = true, usage = "print this help")
    private boolean help;

    private final NioEventLoopGroup eventLoops = new NioEventLoopGroup(EVENT_LOOPS);
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final List<Announcer> announcers = new ArrayList<>();
    private final Map<String, AtomicInteger> runsByOrder = PlainEndpoint.newRunCounts();

    private StandIns() {}

    /**
     * Starts the endpoints and waits for a signal.
     *
     * @param arguments command line; {@code --help} prints the options
     * @throws InterruptedException if the main thread is interrupted
     */
    public static void main(String[] arguments) throws InterruptedException {
        StandIns standIns = new StandIns();
        CmdLineParser parser = ToolArguments.parse(standIns, arguments);
        if (standIns.help) {
            parser.printUsage(System.out);
            return;
        }
        standIns.run();
    }

    private void run() throws InterruptedException {
        try (AsyncHttpClient client = Dsl.asyncHttpClient()) {
            startModelEngines(client);
            startPlainEndpoints(client, plainService, plainReplicas);
            if (!scoringService.isEmpty()) {
                startPlainEndpoints(client, scoringService, 2);
            }
            CountDownLatch stopped = new CountDownLatch(1);
            Runtime.getRuntime().addShutdownHook(new Thread(() -> {
                announcers.forEach(Announcer::announceDeparture);
                stopped.countDown();
            }));
            stopped.await();
        } catch (java.io.IOException failure) {
            LOG.log(Event.PROCESS_FAILED, failure);
        }
    }

    private EndpointSettings settings(String service, int index, int capacity, int tokenMilliseconds) {
        String[] names = domains.split(",");
        return new EndpointSettings(
                EndpointId.of(service + "-" + (index + 1)),
                ServiceName.of(service),
                FailureDomain.of(names[index % names.length]),
                capacity,
                tokenMilliseconds,
                SWAP_MILLISECONDS,
                index % 2 == 0);
    }

    private void startModelEngines(AsyncHttpClient client) {
        for (int index = 0; index < modelReplicas; index++) {
            EndpointSettings settings = settings(modelService, index, MODEL_CAPACITY, TOKEN_MILLISECONDS);
            ModelEngine engine = new ModelEngine(eventLoops, 0, settings, "");
            startAnnouncer(
                    client,
                    settings,
                    engine.baseUrl(),
                    true,
                    () -> new Announcer.EndpointStatus(
                            engine.weightVersion().orElse(null),
                            engine.runningCount(),
                            engine.waitingCount(),
                            engine.pollNewPrefixes()));
        }
    }

    private void startPlainEndpoints(AsyncHttpClient client, String service, int replicas) {
        for (int index = 0; index < replicas; index++) {
            EndpointSettings settings = settings(service, index, PLAIN_CAPACITY, PLAIN_MILLISECONDS);
            PlainEndpoint endpoint = new PlainEndpoint(eventLoops, 0, settings, runsByOrder);
            startAnnouncer(
                    client,
                    settings,
                    endpoint.baseUrl(),
                    false,
                    () -> new Announcer.EndpointStatus(null, endpoint.runningCount(), 0, List.of()));
        }
    }

    private void startAnnouncer(
            AsyncHttpClient client,
            EndpointSettings settings,
            String address,
            boolean modelEngine,
            java.util.function.Supplier<Announcer.EndpointStatus> status) {
        long incarnation = System.currentTimeMillis();
        Announcer announcer =
                new Announcer(client, settings, address, incarnation, modelEngine, status, List.of(entries.split(",")));
        announcer.start(timer);
        announcers.add(announcer);
        LOG.log(Event.STAND_IN_STARTED, "endpoint", settings.id(), "address", address);
    }
}
