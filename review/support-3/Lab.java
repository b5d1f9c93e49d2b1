import java.io.ByteArrayOutputStream;
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
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * Runs the store and edge programs of the deploy file as processes on loopback addresses, and writes what was seen to a record.
 *
 * <p>Every process that it starts is ended by {@link #close}. Safe for use by several threads.
 */
final class Lab implements AutoCloseable {
    static final double HEARTBEAT_SECONDS = 1.2;
    static final long CONTACT_MILLISECONDS = 3_000;
    static final long DRAIN_MILLISECONDS = 2_000;

    private static final int GRACE_SECONDS = 8;

    final Path root = Path.of("").toAbsolutePath();
    final Path folder;
    private final StringBuilder record = new StringBuilder();
    private final long startedAt = System.nanoTime();
    private final String network = "127." + (20 + ProcessHandle.current().pid() % 200) + ".0.";
    private final int storePort = freePort();
    private final int controlPort = freePort();
    private final int adminPort = freePort();
    private final int frontPort = freePort();
    private final int readyPort = freePort();
    private final int directoryPort = freePort();
    private final int peerPort = freePort();
    private final Map<String, Process> processes = new TreeMap<>();
    private List<Integer> seeds = List.of(1, 2, 3);

    Lab() throws IOException {
        folder = Files.createTempDirectory("review-3-");
    }

    /** Returns the time since the start, in milliseconds. */
    long now() {
        return (System.nanoTime() - startedAt) / 1_000_000;
    }

    /** Adds a line to the record. */
    void note(String format, Object... values) {
        String line = String.format(Locale.ROOT, "%8.3f ", now() / 1000.0) + String.format(Locale.ROOT, format, values);
        synchronized (record) {
            record.append(line).append('\n');
        }
    }

    void writeRecord(Path file) throws IOException {
        synchronized (record) {
            Files.writeString(file, record);
        }
    }

    private static int freePort() {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        } catch (IOException failure) {
            throw new IllegalStateException(failure);
        }
    }

    String storeHost(int index) {
        return network + (10 + index);
    }

    String edgeHost(int index) {
        return network + (100 + index);
    }

    /** Returns a loopback address for a stand-in. */
    String standInHost(int index) {
        return network + (200 + index);
    }

    String control(int index) {
        return storeHost(index) + ":" + controlPort;
    }

    String front(int index) {
        return edgeHost(index) + ":" + frontPort;
    }

    String ready(int index) {
        return edgeHost(index) + ":" + readyPort;
    }

    String admin(String host) {
        return host + ":" + adminPort;
    }

    /** Sets the store machines that the settings of processes name which are started from now on. */
    void useSeeds(List<Integer> indexes) {
        seeds = List.copyOf(indexes);
    }

    private String seeds() {
        return seeds.stream().map(index -> "\"" + control(index) + "\"").collect(Collectors.joining(", ", "[", "]"));
    }

    /** Starts a store process with the settings of the template deploy/store.json, as a small deployment fills it in. */
    void startStore(int index, boolean firstStart) throws IOException {
        startStore("storage-" + index, index, firstStart);
    }

    /** Starts a store process under a name at the address with an index. */
    void startStore(String name, int index, boolean firstStart) throws IOException {
        String settings = """
                {
                  "name": "%10$s", "failureDomain": "zone-%1$d", "host": "%2$s",
                  "operatorAddress": "%3$s", "adminAddress": "%4$s", "dataFolder": "%5$s",
                  "seeds": %6$s, "storePort": %7$d, "clusterSecret": "rosemarybeam", "firstStart": %8$s,
                  "toleratedLosses": 1, "endpointsCheckFencing": true, "orderLeaseMilliseconds": 3000,
                  "heartbeatMilliseconds": 1200, "resultsKeptSeconds": 120,
                  "contracts": ["base", "drain", "config", "cost", "recover", "samples", "stream", "engine", "batch"],
                  "providerDuties": [], "stopSeconds": %9$d
                }
                """
                .formatted(
                        index,
                        storeHost(index),
                        control(index),
                        admin(storeHost(index)),
                        folder.resolve("data-" + index),
                        seeds(),
                        storePort,
                        firstStart,
                        GRACE_SECONDS,
                        name);
        start("store-" + index, "store", settings);
    }

    /** Starts an edge process with the settings of the template deploy/edge.json, as a small deployment fills it in. */
    void startEdge(int index) throws IOException {
        String settings = """
                {
                  "name": "edge-%1$d", "failureDomain": "zone-%1$d", "callerAddress": "%2$s", "readyAddress": "%3$s",
                  "lookupAddress": "%4$s", "peerAddress": "%5$s", "adminAddress": "%6$s", "seeds": %7$s,
                  "storePort": %8$d, "clusterSecret": "rosemarybeam", "cpuShare": 0.75, "cores": 1, "stopSeconds": %9$d
                }
                """
                .formatted(
                        index,
                        front(index),
                        ready(index),
                        edgeHost(index) + ":" + directoryPort,
                        edgeHost(index) + ":" + peerPort,
                        admin(edgeHost(index)),
                        seeds(),
                        storePort,
                        GRACE_SECONDS);
        start("edge-" + index, "edge", settings);
    }

    private void start(String name, String role, String settings) throws IOException {
        Path file = folder.resolve(name + ".json");
        Files.writeString(file, settings);
        ProcessBuilder builder = new ProcessBuilder(runLine(role));
        builder.directory(root.toFile());
        builder.environment().clear();
        builder.environment().put("PATH", System.getenv("PATH"));
        builder.environment().put("LANG", "C.UTF-8");
        builder.environment().put("HOME", folder.toString());
        builder.environment().put("ROSEMARYBEAM_SETTINGS", file.toString());
        if (role.equals("store")) {
            // The machine has more memory than a store machine of a small deployment.
            builder.environment().put("JAVA_TOOL_OPTIONS", "-XX:MaxRAM=460m");
        }
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
        Process process = builder.start();
        synchronized (processes) {
            processes.put(name, process);
        }
        note("%s started", name);
    }

    private List<String> runLine(String role) throws IOException {
        Matcher section = Pattern.compile("\\[roles\\." + role + "]\\s*run = \"([^\"]*)\"")
                .matcher(Files.readString(root.resolve("deploy/system.toml")));
        if (!section.find()) {
            throw new IllegalStateException("the deploy file has no role " + role);
        }
        return List.of(section.group(1).split(" "));
    }

    Process process(String name) {
        synchronized (processes) {
            return processes.get(name);
        }
    }

    /** Sends a signal to a process of this lab. */
    void signal(String name, String signal) throws IOException, InterruptedException {
        note("%s gets SIG%s", name, signal);
        new ProcessBuilder("kill", "-" + signal, Long.toString(process(name).pid())).start().waitFor();
    }

    void kill(String name) throws InterruptedException {
        note("%s is killed", name);
        process(name).destroyForcibly().waitFor();
    }

    /** Removes the data folder of a store process that has ended. */
    void removeDisk(int index) throws IOException {
        note("the disk of store-%d is gone", index);
        try (var files = Files.walk(folder.resolve("data-" + index))) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        }
    }

    String log(String name) throws IOException {
        Path file = folder.resolve(name + ".log");
        return Files.exists(file) ? Files.readString(file) : "";
    }

    /** Returns the index of the store process that leads, as its metrics say; 0 if none does. */
    int leader(int stores) {
        for (int index = 1; index <= stores; index++) {
            Process process = process("store-" + index);
            if (process != null && process.isAlive()) {
                Reply reply = call(admin(storeHost(index)), "GET", "/metrics", Map.of(), new byte[0], 500);
                if (reply.status == 200 && Pattern.compile("(?m)^\\S*store_leads(\\{.*})? 1(\\.0)?$").matcher(reply.text()).find()) {
                    return index;
                }
            }
        }
        return 0;
    }

    /** Waits until a condition holds; throws {@link CannotRun} if it does not in time. */
    void await(String what, long milliseconds, BooleanSupplier condition) throws InterruptedException {
        long deadline = now() + milliseconds;
        while (!condition.getAsBoolean()) {
            if (now() > deadline) {
                throw new CannotRun("not in " + milliseconds + " ms: " + what);
            }
            Thread.sleep(20);
        }
    }

    /** Sends a configuration as the operator does until it is acknowledged. */
    void configure(String text, int stores) throws InterruptedException {
        long deadline = now() + 40_000;
        for (int index = 1; ; index = index % stores + 1) {
            Reply reply = call(
                    control(index), "POST", "/api/config/replace", Map.of(), text.getBytes(StandardCharsets.UTF_8), 1_000);
            if (reply.status == 200) {
                note("configuration acknowledged by store-%d", index);
                return;
            }
            if (now() > deadline) {
                throw new CannotRun("the configuration was not accepted: " + reply.status);
            }
            Thread.sleep(100);
        }
    }

    /** Starts stores and edges for the first time, configures them, and waits until the edges are ready. */
    void startAll(int stores, int edges, String configuration) throws IOException, InterruptedException {
        for (int index = 1; index <= stores; index++) {
            startStore(index, true);
        }
        for (int index = 1; index <= edges; index++) {
            startEdge(index);
        }
        configure(configuration, stores);
        for (int index = 1; index <= edges; index++) {
            String address = ready(index);
            await("edge " + index + " is ready", 20_000, () -> call(address, "GET", "/api/readyz", Map.of(), new byte[0], 500).status == 200);
        }
    }

    /** The answer to a call; status 0 without a complete one. */
    static final class Reply {
        final int status;
        final Map<String, String> headers;
        final byte[] body;
        final String failure;

        Reply(int status, Map<String, String> headers, byte[] body, String failure) {
            this.status = status;
            this.headers = headers;
            this.body = body;
            this.failure = failure;
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }
    }

    /** The case cannot run here. */
    static final class CannotRun extends RuntimeException {
        CannotRun(String message) {
            super(message);
        }
    }

    /** Makes one HTTP/1.1 call on a new connection. */
    static Reply call(
            String address, String method, String path, Map<String, String> headers, byte[] body, int timeout) {
        int colon = address.indexOf(':');
        try (Socket socket = new Socket()) {
            socket.connect(
                    new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                    Math.min(timeout, 1_000));
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(timeout);
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
            if (!headers.containsKey("Host")) {
                head.append("Host: ").append(address).append("\r\n");
            }
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            head.append("Content-Length: ").append(body.length).append("\r\nConnection: close\r\n\r\n");
            OutputStream out = socket.getOutputStream();
            ByteArrayOutputStream message = new ByteArrayOutputStream();
            message.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            message.writeBytes(body);
            message.writeTo(out);
            out.flush();
            return readReply(socket.getInputStream());
        } catch (IOException | RuntimeException failure) {
            return new Reply(0, Map.of(), new byte[0], failure.toString());
        }
    }

    static Reply readReply(InputStream in) throws IOException {
        String[] line = readLine(in).split(" ", 3);
        int status = Integer.parseInt(line[1]);
        Map<String, String> headers = readHeaders(in);
        byte[] body;
        if (headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream parts = new ByteArrayOutputStream();
            for (int size = Integer.parseInt(readLine(in).trim(), 16); size > 0; size = Integer.parseInt(readLine(in).trim(), 16)) {
                parts.writeBytes(readFully(in, size));
                readLine(in);
            }
            readLine(in);
            body = parts.toByteArray();
        } else {
            body = readFully(in, Integer.parseInt(headers.getOrDefault("content-length", "0")));
        }
        return new Reply(status, headers, body, "");
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new IOException("the connection ended");
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    static Map<String, String> readHeaders(InputStream in) throws IOException {
        Map<String, String> headers = new HashMap<>();
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).trim().toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        return headers;
    }

    static byte[] readFully(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new IOException("the connection ended");
        }
        return bytes;
    }

    /** Ends all processes and removes the folder. */
    @Override
    public void close() {
        List<Process> started;
        synchronized (processes) {
            started = new ArrayList<>(processes.values());
        }
        started.forEach(Process::destroyForcibly);
        for (Process process : started) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }
        String kept = System.getenv("KEEP_LOGS");
        if (kept != null) {
            System.err.println("logs in " + folder);
            return;
        }
        try (var files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException remaining) {
            // The folder is a temporary one.
        }
    }

    /** A case: returns true if the rule held. */
    interface Case {
        boolean run(Lab lab, boolean trouble) throws Exception;
    }

    /** Runs a case, writes its record, and exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run. */
    static void main(String[] arguments, Case body) {
        Path recordFile = Path.of(arguments[0]);
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code;
        try (Lab lab = new Lab()) {
            Thread ended = new Thread(lab::close);
            Runtime.getRuntime().addShutdownHook(ended);
            try {
                boolean held = body.run(lab, trouble);
                lab.note(held ? "the rule held" : "the rule was broken");
                code = held ? 0 : 1;
            } catch (CannotRun failure) {
                lab.note("cannot run: %s", failure.getMessage());
                code = 2;
            } catch (Exception failure) {
                lab.note("cannot run: %s", failure);
                failure.printStackTrace();
                code = 2;
            }
            lab.writeRecord(recordFile);
        } catch (IOException failure) {
            failure.printStackTrace();
            code = 2;
        }
        Runtime.getRuntime().halt(code);
    }

    static InetAddress address(String host) throws IOException {
        return InetAddress.getByName(host);
    }
}
