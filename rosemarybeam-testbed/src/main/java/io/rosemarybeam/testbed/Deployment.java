package io.rosemarybeam.testbed;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

import io.netty.channel.nio.NioEventLoopGroup;
import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.FailureDomain;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.wire.CommonReply.DumpReply;
import io.rosemarybeam.common.wire.ControlReply.ApplyReply;
import io.rosemarybeam.common.wire.ControlReply.ConfigurationReply;
import io.rosemarybeam.common.wire.ControlReply.HistoryReply;
import io.rosemarybeam.common.wire.ControlReply.StatusReply;
import io.rosemarybeam.common.wire.Credentials;
import io.rosemarybeam.common.wire.HandshakeMessage.Role;
import io.rosemarybeam.common.wire.Message;
import io.rosemarybeam.common.wire.OperatorRequest;
import io.rosemarybeam.common.wire.WireConnection;
import io.rosemarybeam.common.wire.WireSettings;
import io.rosemarybeam.common.wire.WireTransport;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Dsl;

/**
 * A small deployment on loopback: control and entry hosts run as separate JVM processes, stand-in endpoints run in this
 * process.
 *
 * <p>Invariant: {@link #close} terminates the processes that this object started, and no others. Not safe for use by several
 * threads; confined to the test thread.
 */
public final class Deployment implements AutoCloseable {
    static final String MODEL_SERVICE = "brailler-lm";
    static final String PLAIN_SERVICE = "workshop-app";

    /** A model engine of this deployment crashes when it receives a prompt that contains this text. */
    static final String CRASH_PROMPT = "poison";

    private static final String CONTROL_MAIN = "io.rosemarybeam.control.ControlMain";

    /** The JVM flags of bin/rosemarybeam-control. */
    private static final List<String> CONTROL_FLAGS = List.of(
            "--sun-misc-unsafe-memory-access=allow",
            "-XX:+UseSerialGC",
            "-Xms8m",
            "-Xmx40m",
            "-Xss256k",
            "-XX:TrimNativeHeapInterval=2000",
            "-XX:MinHeapFreeRatio=10",
            "-XX:MaxHeapFreeRatio=30",
            "-XX:TieredStopAtLevel=1",
            "-XX:CICompilerCount=1",
            "-XX:ReservedCodeCacheSize=16m",
            "-XX:+UseCompactObjectHeaders",
            "-XX:MaxDirectMemorySize=16m",
            "-XX:-UsePerfData",
            "-Dio.netty.allocator.type=unpooled",
            "-Dio.netty.noPreferDirect=true",
            "-Dlog4j2.disableJmx=true");

    /** The JVM flags of bin/rosemarybeam-entry. */
    private static final List<String> ENTRY_FLAGS = List.of(
            "--sun-misc-unsafe-memory-access=allow",
            "-XX:+UseSerialGC",
            "-Xms16m",
            "-Xmx128m",
            "-Xss256k",
            "-XX:MinHeapFreeRatio=10",
            "-XX:MaxHeapFreeRatio=30",
            "-XX:TieredStopAtLevel=1",
            "-XX:CICompilerCount=1",
            "-XX:ReservedCodeCacheSize=24m",
            "-XX:+UseCompactObjectHeaders",
            "-XX:MaxDirectMemorySize=32m",
            "-XX:-UsePerfData",
            "-Dio.netty.allocator.numDirectArenas=2",
            "-Dio.netty.allocator.numHeapArenas=2",
            "-Dio.netty.allocator.maxOrder=6",
            "-Dlog4j2.disableJmx=true",
            "-Dlog4j.shutdownHookEnabled=false");

    private static final List<String> FAILURE_DOMAINS = List.of("amman-a", "amman-b", "amman-c", "amman-d");

    /** Ports 12000 to 29999 lie below the range from which the operating system assigns ports to outgoing connections. */
    private static final int FIRST_PORT = 12_000;

    private static final int PORT_COUNT = 18_000;

    /** Offset from the first port; starts at random so that test runs on the same machine rarely try the same ports. */
    private static final AtomicInteger NEXT_PORT =
            new AtomicInteger(ThreadLocalRandom.current().nextInt(PORT_COUNT));

    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(5);

    /** How long to retry an operator request until a leader answers; includes the start of the control processes. */
    private static final long LEADER_TIMEOUT_MILLISECONDS = 30_000;

    private final Path folder;
    private final List<String> controlAddresses = new ArrayList<>();
    private final ProcessGroup processes;
    private final Map<String, String> callerAddresses = new LinkedHashMap<>();
    private final NioEventLoopGroup eventLoops = new NioEventLoopGroup(2);
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final AsyncHttpClient client = Dsl.asyncHttpClient(Dsl.config().setMaxRequestRetry(0));
    private final WireTransport transport = WireTransport.of(eventLoops, WireSettings.standard());
    private final List<ModelEngine> engines = new ArrayList<>();
    private final List<PlainEndpoint> plainEndpoints = new ArrayList<>();
    private final Map<String, Announcer> announcers = new LinkedHashMap<>();

    /** Number of runs of each order, shared by all plain endpoints. */
    private final Map<String, AtomicInteger> runsByOrder = PlainEndpoint.newRunCounts();

    private List<String> entryControlAddresses = List.of();

    /**
     * Starts the control processes.
     *
     * @param folder an empty folder for settings, secrets, logs and data
     * @param controlProcesses number of control processes
     */
    public Deployment(Path folder, int controlProcesses) {
        this.folder = folder;
        this.processes = new ProcessGroup(folder);
        for (int index = 0; index < controlProcesses; index++) {
            controlAddresses.add("127.0.0.1:" + freePort());
        }
        entryControlAddresses = List.copyOf(controlAddresses);
        writeSecret("cluster");
        writeSecret("operator");
        for (int index = 0; index < controlProcesses; index++) {
            startControl(index);
        }
    }

    void startControl(int index) {
        String name = "control-" + index;
        StringBuilder hosts = new StringBuilder();
        for (int host = 0; host < controlAddresses.size(); host++) {
            hosts.append(host == 0 ? "" : ", ").append(controlHostJson(host));
        }
        write(name + ".json", """
                {"name": "%s", "failureDomain": "%s", "protocolAddress": "%s", "adminAddress": "127.0.0.1:%d",
                 "dataFolder": "%s", "clusterSecretFile": "%s", "operatorTokenFile": "%s",
                 "initialControlHosts": [%s]}
                """.formatted(
                        name,
                        failureDomain(index),
                        controlAddresses.get(index),
                        freePort(),
                        folder.resolve("data-" + index),
                        folder.resolve("cluster"),
                        folder.resolve("operator"),
                        hosts));
        start(name, CONTROL_MAIN);
    }

    /** Sets the control addresses in the settings of entry processes that are started after this call. */
    void setEntryControlAddresses(List<String> addresses) {
        entryControlAddresses = List.copyOf(addresses);
    }

    /**
     * Starts an entry process.
     *
     * @param index index of the process; a restart under the same index reuses the caller address
     */
    public void startEntry(int index) {
        String name = "entry-" + index;
        callerAddresses.computeIfAbsent(name, ignored -> "127.0.0.1:" + freePort());
        String quotedControlAddresses = "\"" + String.join("\", \"", entryControlAddresses) + "\"";
        write(name + ".json", """
                {"name": "%s", "failureDomain": "%s", "callerAddress": "%s", "peerAddress": "127.0.0.1:%d",
                 "adminAddress": "127.0.0.1:%d", "controlAddresses": [%s],
                 "clusterSecretFile": "%s", "operatorTokenFile": "%s"}
                """.formatted(
                        name,
                        failureDomain(index),
                        callerAddresses.get(name),
                        freePort(),
                        freePort(),
                        quotedControlAddresses,
                        folder.resolve("cluster"),
                        folder.resolve("operator")));
        start(name, "io.rosemarybeam.entry.EntryMain");
    }

    private void start(String name, String mainClass) {
        processes.start(name, mainClass.equals(CONTROL_MAIN) ? CONTROL_FLAGS : ENTRY_FLAGS, mainClass);
    }

    /** Sends a signal to a process; the name has no SIG prefix, as in {@code STOP}. */
    void signal(String name, String signal) {
        processes.signal(name, signal);
    }

    /** Kills a process without a graceful stop and waits until it has exited. */
    void kill(String name) {
        processes.kill(name);
    }

    /** Requests a graceful stop and returns whether the process exited within the timeout. */
    boolean stop(String name, Duration timeout) {
        return processes.stop(name, timeout);
    }

    String readLog(String name) {
        return processes.readLog(name);
    }

    /** Deletes all files in the data folder of a control process, as the loss of its disk does. */
    void eraseDataFolder(int index) {
        File[] files = folder.resolve("data-" + index).toFile().listFiles();
        for (File file : files == null ? new File[0] : files) {
            if (!file.delete()) {
                throw new IllegalStateException("cannot delete file from data folder: " + file);
            }
        }
    }

    /**
     * Returns credentials with which a simulated entry host can connect to the control processes.
     *
     * @param name name of the entry host
     * @param incarnation incarnation of the entry host
     */
    public Credentials entryCredentials(String name, long incarnation) {
        return new Credentials(Role.ENTRY, name, incarnation, "secret-of-cluster-for-tests");
    }

    /**
     * Returns the processor time that a process has used.
     *
     * @param name name of the process
     * @return seconds, summed over all threads
     */
    public double processorSeconds(String name) {
        return processes
                .process(name)
                .info()
                .totalCpuDuration()
                .map(duration -> duration.toNanos() / 1e9)
                .orElse(0.0);
    }

    /**
     * Returns the resident memory of a process.
     *
     * @param name name of the process
     * @return bytes, as the operating system reports them
     */
    public long residentBytes(String name) {
        try {
            Path status = Path.of("/proc", Long.toString(processes.process(name).pid()), "status");
            return Files.readAllLines(status).stream()
                    .filter(line -> line.startsWith("VmRSS:"))
                    .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")) * 1_024)
                    .findFirst()
                    .orElse(0);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    /**
     * Returns the total size of the files in the data folder of a control process.
     *
     * @param index index of the process
     * @return bytes
     */
    public long dataBytes(int index) {
        File[] files = folder.resolve("data-" + index).toFile().listFiles();
        long sum = 0;
        for (File file : files == null ? new File[0] : files) {
            sum += file.length();
        }
        return sum;
    }

    void startEndpoints(int modelEngines, int plainServiceEndpoints) {
        for (int index = 0; index < modelEngines; index++) {
            EndpointSettings settings = endpointSettings(MODEL_SERVICE, index, 8, 2);
            ModelEngine engine = new ModelEngine(eventLoops, 0, settings, CRASH_PROMPT);
            engines.add(engine);
            startAnnouncer(
                    settings,
                    engine.baseUrl(),
                    true,
                    () -> new Announcer.EndpointStatus(
                            engine.weightVersion().orElse(null),
                            engine.runningCount(),
                            engine.waitingCount(),
                            engine.pollNewPrefixes()));
        }
        for (int index = 0; index < plainServiceEndpoints; index++) {
            EndpointSettings settings = endpointSettings(PLAIN_SERVICE, index, 32, 5);
            PlainEndpoint endpoint = new PlainEndpoint(eventLoops, 0, settings, runsByOrder);
            plainEndpoints.add(endpoint);
            startAnnouncer(
                    settings,
                    endpoint.baseUrl(),
                    false,
                    () -> new Announcer.EndpointStatus(null, endpoint.runningCount(), 0, List.of()));
        }
    }

    private static EndpointSettings endpointSettings(String service, int index, int capacity, int tokenMilliseconds) {
        return new EndpointSettings(
                EndpointId.of(service + "-" + index),
                ServiceName.of(service),
                FailureDomain.of(failureDomain(index)),
                capacity,
                tokenMilliseconds,
                200,
                index % 2 == 0);
    }

    private void startAnnouncer(
            EndpointSettings settings,
            String address,
            boolean modelEngine,
            java.util.function.Supplier<Announcer.EndpointStatus> status) {
        Announcer announcer = new Announcer(
                client, settings, address, System.currentTimeMillis(), modelEngine, status, entryAddresses());
        announcer.start(timer);
        announcers.put(settings.id().value(), announcer);
    }

    Announcer announcer(String endpoint) {
        return announcers.get(endpoint);
    }

    List<ModelEngine> engines() {
        return engines;
    }

    List<PlainEndpoint> plainEndpoints() {
        return plainEndpoints;
    }

    Map<String, AtomicInteger> runsByOrder() {
        return runsByOrder;
    }

    AsyncHttpClient client() {
        return client;
    }

    /** Returns the event loops that the stand-in endpoints and the operator connections of this process share. */
    public NioEventLoopGroup eventLoops() {
        return eventLoops;
    }

    /**
     * Returns the protocol addresses of the control processes.
     *
     * @return IP address and port each, ordered by the index of the process
     */
    public List<String> controlAddresses() {
        return controlAddresses;
    }

    /**
     * Returns the addresses at which the entry processes serve callers.
     *
     * @return IP address and port each, in the order in which the processes were first started
     */
    public List<String> entryAddresses() {
        return List.copyOf(callerAddresses.values());
    }

    EntryDirectory directory() {
        return new EntryDirectory(client, entryAddresses(), FAILURE_DOMAINS.getFirst());
    }

    /**
     * Applies an operator configuration through the leader.
     *
     * @param configurationText the configuration as text
     * @param activationTimeout how long the leader waits until the entries have activated the configuration
     * @return the reply; says whether the configuration was accepted and whether it is in force
     */
    public ApplyReply apply(String configurationText, Duration activationTimeout) {
        return (ApplyReply) requestFromLeader(
                new OperatorRequest.ApplyConfiguration(configurationText, "test", activationTimeout.toMillis()),
                activationTimeout.plus(CALL_TIMEOUT));
    }

    HistoryReply history() {
        return (HistoryReply) requestFromLeader(new OperatorRequest.ReadHistory(10_000), CALL_TIMEOUT);
    }

    ConfigurationReply configuration() {
        return (ConfigurationReply) requestFromLeader(new OperatorRequest.ReadConfiguration(), CALL_TIMEOUT);
    }

    String statusJson() {
        return ((StatusReply) requestFromLeader(new OperatorRequest.ReadStatus(), CALL_TIMEOUT)).json();
    }

    /** Sends the request to each control process in turn until the leader replies. */
    private Message requestFromLeader(OperatorRequest request, Duration timeout) {
        long end = ModelEngine.nowMilliseconds() + LEADER_TIMEOUT_MILLISECONDS;
        while (ModelEngine.nowMilliseconds() < end) {
            for (String address : controlAddresses) {
                Optional<Message> reply = sendOperatorRequest(address, request, timeout);
                if (reply.isPresent() && isLeaderReply(reply.get())) {
                    return reply.get();
                }
            }
            pause(100);
        }
        throw new AssertionError(
                "no control process answered " + request.getClass().getSimpleName());
    }

    private static boolean isLeaderReply(Message reply) {
        return reply instanceof ApplyReply
                || reply instanceof HistoryReply
                || reply instanceof ConfigurationReply
                || reply instanceof StatusReply
                || reply instanceof DumpReply;
    }

    Optional<Message> sendOperatorRequest(String address, OperatorRequest request, Duration timeout) {
        try {
            Credentials credentials = new Credentials(
                    Role.OPERATOR,
                    "test",
                    0,
                    Files.readString(folder.resolve("operator")).strip());
            WireConnection connection = transport
                    .connect(address, credentials, (ignored, correlation, message) -> {})
                    .get(2, TimeUnit.SECONDS);
            try {
                return Optional.of(connection.request(request, timeout).join());
            } finally {
                connection.close();
            }
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return Optional.empty();
        } catch (Exception unreachable) {
            return Optional.empty();
        }
    }

    /**
     * Waits until a control process leads and returns its name.
     *
     * @throws AssertionError if no leader replies in time
     */
    public String leader() {
        long end = ModelEngine.nowMilliseconds() + LEADER_TIMEOUT_MILLISECONDS;
        while (ModelEngine.nowMilliseconds() < end) {
            for (int index = 0; index < controlAddresses.size(); index++) {
                Optional<Message> reply = sendOperatorRequest(
                        controlAddresses.get(index), new OperatorRequest.ReadStatus(), Duration.ofSeconds(1));
                if (reply.isPresent() && reply.get() instanceof StatusReply) {
                    return "control-" + index;
                }
            }
            pause(100);
        }
        throw new AssertionError("no control process replied as leader in time");
    }

    /**
     * Returns an operator configuration for the hosts and services of this deployment.
     *
     * @param number configuration number
     * @param maximumQueued queue limit of the model service, in requests; lets a test apply different configurations
     */
    public String configurationText(int number, int maximumQueued) {
        StringBuilder hosts = new StringBuilder();
        for (int index = 0; index < controlAddresses.size(); index++) {
            hosts.append(index == 0 ? "" : ", ").append(controlHostJson(index));
        }
        return """
                {
                  // Deployment of a test.
                  "number": %d,
                  "controlHosts": [%s],
                  "services": {
                    "brailler-lm": {
                      "class": "model",
                      "limits": {"maximumConcurrent": 48, "maximumQueued": %d, "maximumBodyBytes": 1048576,
                                 "concurrentPerEndpoint": 8},
                      "deadlines": {"totalMilliseconds": 20000, "progressMilliseconds": 1000,
                                    "connectMilliseconds": 300},
                      "training": {"stalenessBoundVersions": 2, "trainerIdleWeight": 0.5, "stalenessWeight": 0.5,
                                   "trainerShares": {"trainer-a": 1}},
                      "rollout": {"capacityFloorPercent": 50, "storeFetchesPerSecond": 4}
                    },
                    "workshop-app": {
                      "class": "plain",
                      "dependsOn": ["brailler-lm"],
                      "deadlines": {"totalMilliseconds": 10000, "progressMilliseconds": 1000,
                                    "connectMilliseconds": 300},
                      "idempotentCalls": [{"method": "GET", "path": "/**"}]
                    }
                  }
                }
                """.formatted(number, hosts, maximumQueued);
    }

    private String controlHostJson(int index) {
        return "{\"name\": \"control-" + index + "\", \"address\": \"" + controlAddresses.get(index)
                + "\", \"failureDomain\": \"" + failureDomain(index) + "\"}";
    }

    /**
     * Deletes a folder with all its content.
     *
     * @throws IOException if the folder cannot be read
     */
    public static void deleteFolder(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder())
                    .forEach(file -> file.toFile().delete());
        }
    }

    /** Polls the condition until it holds or the timeout ends, and returns whether it holds. */
    static boolean waitUntil(Duration timeout, BooleanSupplier condition) {
        long end = ModelEngine.nowMilliseconds() + timeout.toMillis();
        while (ModelEngine.nowMilliseconds() < end) {
            if (condition.getAsBoolean()) {
                return true;
            }
            pause(50);
        }
        return condition.getAsBoolean();
    }

    static void pause(long milliseconds) {
        try {
            Thread.sleep(milliseconds);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private static String failureDomain(int index) {
        return FAILURE_DOMAINS.get(index % FAILURE_DOMAINS.size());
    }

    /** Returns a port that no process listens on at the time of the call. */
    static int freePort() {
        while (true) {
            int port = FIRST_PORT + NEXT_PORT.getAndIncrement() % PORT_COUNT;
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return socket.getLocalPort();
            } catch (IOException portInUse) {
                if (NEXT_PORT.get() > 2 * PORT_COUNT) {
                    throw new UncheckedIOException(portInUse);
                }
            }
        }
    }

    private void write(String name, String content) {
        try {
            Files.writeString(folder.resolve(name), content);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    private void writeSecret(String name) {
        try {
            Path file = Files.createFile(
                    folder.resolve(name),
                    PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------")));
            Files.writeString(file, "secret-of-" + name + "-for-tests");
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    @Override
    public void close() {
        timer.shutdownNow();
        processes.close();
        engines.forEach(ModelEngine::close);
        plainEndpoints.forEach(PlainEndpoint::close);
        try {
            client.close();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
        eventLoops.shutdownGracefully(0, 200, TimeUnit.MILLISECONDS);
    }
}
