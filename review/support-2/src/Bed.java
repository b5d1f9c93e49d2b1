import java.io.BufferedWriter;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Real store and edge processes, started by the run lines of the deploy file, each on a loopback address of its own.
 *
 * <p>Closing it ends the processes that it started, and no others.
 */
final class Bed implements AutoCloseable {
    static final String HOST = "review.example";

    final Path root;
    final Path folder;
    final Path record;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final BufferedWriter writer;
    private final long startedAt = System.nanoTime();
    private final String network;
    private final Map<String, Process> processes = new LinkedHashMap<>();
    private final Map<String, List<String>> runLines = new LinkedHashMap<>();
    private final int stores;
    final int controlPort;
    final int frontPort;
    final int readyPort;
    final int directoryPort;
    final int storePort;
    final int peerPort;
    private volatile boolean broken;
    private volatile boolean closed;

    Bed(Path root, Path caseFolder, int stores) throws IOException {
        this.root = root;
        this.stores = stores;
        this.folder = Files.createTempDirectory("review-");
        this.record = caseFolder.resolve("record.txt");
        this.writer = Files.newBufferedWriter(record);
        ThreadLocalRandom random = ThreadLocalRandom.current();
        this.network = "127." + random.nextInt(20, 120) + "." + random.nextInt(1, 250) + ".";
        String probe = storeHost(0);
        controlPort = freePort(probe);
        storePort = freePort(probe);
        frontPort = freePort(probe);
        readyPort = freePort(probe);
        directoryPort = freePort(probe);
        peerPort = freePort(probe);
        readRunLines();
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
        log("trouble " + (trouble ? "on" : "off"));
    }

    private static int freePort(String host) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            return socket.getLocalPort();
        }
    }

    private void readRunLines() throws IOException {
        String role = "";
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            if (line.startsWith("[roles.")) {
                role = line.substring("[roles.".length(), line.indexOf(']'));
            } else if (line.startsWith("run = ")) {
                String command = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                runLines.put(role, List.of(command.split(" +")));
            }
        }
    }

    /** Milliseconds since the start of the test. */
    long now() {
        return (System.nanoTime() - startedAt) / 1_000_000;
    }

    synchronized void log(String text) {
        try {
            writer.write(String.format("%8d %s%n", now(), text));
            writer.flush();
        } catch (IOException failure) {
            throw new IllegalStateException(failure);
        }
    }

    /** Records that the rule was broken. */
    void violation(String text) {
        broken = true;
        log("RULE BROKEN: " + text);
    }

    boolean isBroken() {
        return broken;
    }

    String storeHost(int index) {
        return network + (1 + index);
    }

    String edgeHost(int index) {
        return network + (50 + index);
    }

    String replicaHost(int index) {
        return network + (100 + index);
    }

    static String store(int index) {
        return "storage-" + index;
    }

    static String edge(int index) {
        return "edge-" + index;
    }

    private String seeds() {
        return IntStream.range(0, Math.min(stores, 3))
                .mapToObj(index -> "\"" + storeHost(index) + ":" + controlPort + "\"")
                .collect(Collectors.joining(","));
    }

    void startStore(int index, boolean bootstrap) throws IOException {
        String ip = storeHost(index);
        Path data = Files.createDirectories(folder.resolve("data-" + index));
        String settings = """
                {"name":"%s","failureDomain":"zone-%d","host":"%s","operatorAddress":"%s:%d","adminAddress":"%s:9464",
                 "dataFolder":"%s","seeds":[%s],"storePort":%d,"clusterSecret":"rosemarybeam","firstStart":%s,
                 "toleratedLosses":1,"endpointsCheckFencing":true,"orderLeaseMilliseconds":3000,
                 "heartbeatMilliseconds":1200,"resultsKeptSeconds":120,
                 "contracts":["base","drain","config","cost","recover","samples","stream","engine","batch"],
                 "providerDuties":[],"stopSeconds":8}
                """.formatted(
                        store(index), index, ip, ip, controlPort, ip, data, seeds(), storePort, bootstrap);
        start("store", store(index), settings);
    }

    void startEdge(int index) throws IOException {
        String ip = edgeHost(index);
        String settings = """
                {"name":"%s","failureDomain":"zone-%d","callerAddress":"%s:%d","readyAddress":"%s:%d",
                 "lookupAddress":"%s:%d","peerAddress":"%s:%d","adminAddress":"%s:9464","seeds":[%s],"storePort":%d,
                 "clusterSecret":"rosemarybeam","cpuShare":0.75,"cores":1,"stopSeconds":8}
                """.formatted(
                        edge(index),
                        index,
                        ip,
                        frontPort,
                        ip,
                        readyPort,
                        ip,
                        directoryPort,
                        ip,
                        peerPort,
                        ip,
                        seeds(),
                        storePort);
        start("edge", edge(index), settings);
    }

    private synchronized void start(String role, String name, String settings) throws IOException {
        if (closed) {
            return;
        }
        Path file = folder.resolve(name + ".json");
        Files.writeString(file, settings);
        List<String> command = new ArrayList<>(runLines.get(role));
        command.set(0, root.resolve(command.getFirst()).toString());
        ProcessBuilder builder = new ProcessBuilder(command)
                .directory(root.toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile(name)));
        builder.environment().keySet().removeIf(key -> !List.of("PATH", "HOME", "JAVA_HOME", "LANG").contains(key));
        builder.environment().put("ROSEMARYBEAM_SETTINGS", file.toString());
        processes.put(name, builder.start());
        log("started " + name);
    }

    File logFile(String name) {
        return folder.resolve(name + ".log").toFile();
    }

    Process process(String name) {
        return processes.get(name);
    }

    /** SIGKILL; returns when the process is gone. */
    void kill(String name) throws InterruptedException {
        Process process = processes.get(name);
        process.destroyForcibly();
        process.waitFor();
        log("SIGKILL " + name);
    }

    void terminate(String name) {
        processes.get(name).destroy();
        log("SIGTERM " + name);
    }

    /** Sends STOP or CONT to a process that this object started. */
    void signal(String name, String signal) throws IOException, InterruptedException {
        new ProcessBuilder("bash", "-c", "kill -" + signal + " " + processes.get(name).pid()).start().waitFor();
        log("SIG" + signal + " " + name);
    }

    String controlAddress(int store) {
        return storeHost(store) + ":" + controlPort;
    }

    String frontAddress(int edge) {
        return edgeHost(edge) + ":" + frontPort;
    }

    /** Sends a call to the stores, one after the other, until one answers 200. */
    boolean control(String path, String body, int... order) {
        int[] hosts = order.length == 0 ? IntStream.range(0, stores).toArray() : order;
        for (int store : hosts) {
            Http.Answer answer = Http.call(controlAddress(store), "POST", path, Map.of(), body.getBytes(StandardCharsets.UTF_8), 1_000);
            if (answer.status() == 200) {
                return true;
            }
        }
        return false;
    }

    /** Sends a configuration until it is accepted. */
    void configure(String text) throws InterruptedException {
        long deadline = now() + 30_000;
        while (!control("/api/config/replace", text)) {
            if (now() > deadline) {
                throw new IllegalStateException("no store accepted the configuration");
            }
            Thread.sleep(100);
        }
        log("configuration accepted");
    }

    /** Waits until an edge is ready. */
    void awaitReady(int edge) throws InterruptedException {
        long deadline = now() + 30_000;
        while (Http.call(edgeHost(edge) + ":" + readyPort, "GET", "/api/readyz", Map.of(), new byte[0], 1_000).status()
                != 200) {
            if (now() > deadline) {
                throw new IllegalStateException(edge(edge) + " is not ready");
            }
            Thread.sleep(50);
        }
        log(edge(edge) + " is ready");
    }

    /** Returns the lines of a process's log that contain a text. */
    List<String> logLines(String name, String text) throws IOException {
        try (Stream<String> lines = Files.lines(logFile(name).toPath(), StandardCharsets.ISO_8859_1)) {
            return lines.filter(line -> line.contains(text)).toList();
        }
    }

    private void endProcesses() {
        List<Process> started;
        synchronized (this) {
            closed = true;
            started = List.copyOf(processes.values());
        }
        started.forEach(Process::destroyForcibly);
        for (Process process : started) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }
    }

    @Override
    public void close() throws IOException {
        endProcesses();
        if (System.getenv("KEEP") != null) {
            System.err.println("logs in " + folder);
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        }
    }

    /** A scenario; returns normally when it has run. */
    interface Scenario {
        void run(Bed bed) throws Exception;
    }

    /** Runs a scenario and exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
    static void main(String[] arguments, int stores, Scenario scenario) {
        int code = 2;
        try (Bed bed = new Bed(Path.of(arguments[0]).toAbsolutePath(), Path.of(arguments[1]).toAbsolutePath(), stores)) {
            try {
                scenario.run(bed);
                code = bed.isBroken() ? 1 : 0;
                bed.log(code == 1 ? "result: the rule was broken" : "result: the rule held");
            } catch (Throwable failure) {
                bed.log("result: the case could not run: " + failure);
                failure.printStackTrace();
            }
        } catch (IOException failure) {
            failure.printStackTrace();
        }
        System.out.println("exit " + code);
        Runtime.getRuntime().halt(code);
    }
}
