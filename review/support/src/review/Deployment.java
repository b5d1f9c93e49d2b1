package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Store and edge processes, started with the commands of deploy/system.toml, each on a loopback address of its own. Ends
 * exactly the processes that it started.
 */
final class Deployment implements AutoCloseable {
    private static final int PORTS = 6;

    private final int[] ports = freePorts();
    private final Path root = Path.of("").toAbsolutePath();
    private final Path folder = Files.createTempDirectory("rosemarybeam-review");
    /** Drawn at random, so that two runs can overlap. */
    private final String network = "127." + ThreadLocalRandom.current().nextInt(20, 250) + "."
            + ThreadLocalRandom.current().nextInt(1, 250) + ".";
    private final Map<String, Process> processes = new ConcurrentHashMap<>();
    private final int stores;
    private final int edges;
    private final List<String> storeFlags;

    /** Creates a deployment; the flags are inserted into the commands of the stores. */
    Deployment(int stores, int edges, List<String> storeFlags) throws IOException {
        this.stores = stores;
        this.edges = edges;
        this.storeFlags = storeFlags;
        // A run that is cut off must not leave processes behind.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> processes.values().forEach(Process::destroyForcibly)));
    }

    /** Returns free ports: stores, control, front, readiness, other edges, metrics. */
    private static int[] freePorts() throws IOException {
        int[] found = new int[PORTS];
        List<ServerSocket> open = new ArrayList<>();
        for (int index = 0; index < PORTS; index++) {
            open.add(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
            found[index] = open.get(index).getLocalPort();
        }
        for (ServerSocket socket : open) {
            socket.close();
        }
        return found;
    }

    String storeHost(int index) {
        return network + (10 + index);
    }

    String control(int index) {
        return storeHost(index) + ":" + ports[1];
    }

    String front(int index) {
        return network + (50 + index) + ":" + ports[2];
    }

    String replicaHost(int index) {
        return network + (100 + index);
    }

    static String storeName(int index) {
        return "storage-" + index;
    }

    int stores() {
        return stores;
    }

    int edges() {
        return edges;
    }

    void startAll() throws IOException {
        for (int index = 0; index < stores; index++) {
            startStore(index, storeName(index), true);
        }
        for (int index = 0; index < edges; index++) {
            startEdge(index);
        }
    }

    private String seeds() {
        return IntStream.range(0, Math.min(3, stores))
                .mapToObj(index -> "\"" + control(index) + "\"")
                .collect(Collectors.joining(", "));
    }

    /** Starts the store at an address under a name; the first start forms the cluster. */
    void startStore(int index, String name, boolean firstStart) throws IOException {
        Path data = Files.createDirectories(folder.resolve("data-" + index));
        start("store-" + index, "store", storeFlags, """
                {"name": "%s", "failureDomain": "zone-%d", "host": "%s", "operatorAddress": "%s",
                 "adminAddress": "%s:%d", "dataFolder": "%s", "seeds": [%s], "storePort": %d,
                 "clusterSecret": "rosemarybeam", "firstStart": %s, "toleratedLosses": 1, "endpointsCheckFencing": true,
                 "orderLeaseMilliseconds": 3000, "heartbeatMilliseconds": 1200, "resultsKeptSeconds": 120,
                 "stopSeconds": 8}
                """.formatted(
                        name,
                        index % 3,
                        storeHost(index),
                        control(index),
                        storeHost(index),
                        ports[5],
                        data,
                        seeds(),
                        ports[0],
                        firstStart));
    }

    void startEdge(int index) throws IOException {
        String host = network + (50 + index);
        start("edge-" + index, "edge", List.of(), """
                {"name": "edge-%d", "failureDomain": "zone-%d", "callerAddress": "%s", "readyAddress": "%s:%d",
                 "peerAddress": "%s:%d", "adminAddress": "%s:%d", "seeds": [%s], "storePort": %d,
                 "clusterSecret": "rosemarybeam", "stopSeconds": 8}
                """.formatted(
                        index, index % 3, front(index), host, ports[3], host, ports[4], host, ports[5], seeds(),
                        ports[0]));
    }

    private void start(String name, String role, List<String> flags, String settings) throws IOException {
        Path file = folder.resolve(name + ".json");
        Files.writeString(file, settings);
        Matcher run = Pattern.compile("\\[roles\\." + role + "]\\s+run = \"([^\"]+)\"")
                .matcher(Files.readString(root.resolve("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("deploy/system.toml has no command for " + role);
        }
        List<String> command = new ArrayList<>(List.of(run.group(1).split(" ")));
        command.set(0, root.resolve(command.getFirst()).toString());
        command.addAll(1, flags);
        ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("ROSEMARYBEAM_SETTINGS", file.toString());
        Path log = folder.resolve(name + ".log");
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        processes.put(name, builder.start());
    }

    Path log(String name) {
        return folder.resolve(name + ".log");
    }

    Process process(String name) {
        return processes.get(name);
    }

    /** Kills a process and waits for its end. */
    void kill(String name) throws InterruptedException {
        processes.get(name).destroyForcibly().waitFor();
    }

    /** Starts each process that has ended again, as the platform does; returns their names. */
    List<String> restartEnded() throws IOException {
        List<String> ended = processes.entrySet().stream()
                .filter(entry -> !entry.getValue().isAlive())
                .map(Map.Entry::getKey)
                .toList();
        for (String name : ended) {
            int index = Integer.parseInt(name.substring(name.indexOf('-') + 1));
            if (name.startsWith("store")) {
                startStore(index, storeName(index), false);
            } else {
                startEdge(index);
            }
        }
        return ended;
    }

    /** Sends an operator's or a trainer's order to one store after another until one acknowledges it. */
    boolean order(String path, String body, long timeoutMs) throws InterruptedException {
        long deadline = System.nanoTime() + timeoutMs * 1_000_000;
        for (int attempt = 0; System.nanoTime() < deadline; attempt++) {
            Http.Message answer =
                    Http.call(control(attempt % stores), "POST", path, Map.of(), Http.bytes(body), 1_000);
            if (answer.status() == 200) {
                return true;
            }
            Thread.sleep(100);
        }
        return false;
    }

    @Override
    public void close() throws IOException {
        processes.values().forEach(Process::destroyForcibly);
        for (Process process : processes.values()) {
            try {
                process.waitFor(10, TimeUnit.SECONDS);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }
        if (System.getenv("KEEP") != null) {
            System.out.println("files in " + folder);
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
