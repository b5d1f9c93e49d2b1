package io.rosemarybeam.testbed;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import io.netty.channel.nio.NioEventLoopGroup;
import org.asynchttpclient.AsyncCompletionHandler;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Dsl;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.HttpResponseStatus;
import org.asynchttpclient.RequestBuilder;
import org.asynchttpclient.Response;

/**
 * Store and edge processes on loopback addresses of their own, and stand-in endpoints in this process.
 *
 * <p>Invariant: {@link #close} ends the processes that this object started, and no others. Safe for use by several threads,
 * except that one process is started or stopped by one thread at a time.
 */
final class SoakDeployment implements AutoCloseable {
    static final String HOST = "soak.example";
    static final String DESK = "desk";
    static final String ENGINES = "engines";
    static final String LOOKUP_PATH = "/lookup/";
    static final String ORDER_PATH = "/order/";
    static final String TRAINING_PATH = "/train/";
    static final String STREAM_PATH = "/stream/";

    private static final List<String> FLAGS = List.of(
            "--sun-misc-unsafe-memory-access=allow",
            "-XX:+UseSerialGC",
            "-Xmx96m",
            "-Xss256k",
            "-XX:TieredStopAtLevel=1",
            "-XX:MaxDirectMemorySize=32m",
            "-XX:-UsePerfData",
            "-Dlog4j2.disableJmx=true",
            "-Dlog4j.shutdownHookEnabled=false",
            "-Drosemarybeam.log.target=SYSTEM_OUT");

    private static final Pattern LEADS = Pattern.compile("\\S*store_leads(\\{.*\\})? 1(\\.0)?");

    private static final int STOP_SECONDS = 6;
    private static final int CALL_TIMEOUT_MILLISECONDS = 2_000;
    private static final int START_TIMEOUT_MILLISECONDS = 60_000;

    /** Loopback networks from which a deployment takes its addresses, so that several can run at the same time. */
    private static final int NETWORKS = 200;

    private final Path folder;
    private final int stores;
    private final int edges;
    private final String network = "127.0." + (50 + ProcessHandle.current().pid() % NETWORKS) + ".";
    private final int storePort = Deployment.freePort();
    private final int operatorPort = Deployment.freePort();
    private final int callerPort = Deployment.freePort();
    private final int readyPort = Deployment.freePort();
    private final int peerPort = Deployment.freePort();
    private final int adminPort = Deployment.freePort();
    private final ProcessGroup processes;
    private final Function<String, List<String>> flags;
    private final NioEventLoopGroup eventLoops = new NioEventLoopGroup(2);
    private final List<SoakEndpoint> endpoints = new ArrayList<>();
    private final AsyncHttpClient client = Dsl.asyncHttpClient(Dsl.config()
            .setMaxRequestRetry(0)
            .setConnectTimeout(java.time.Duration.ofSeconds(1))
            .setRequestTimeout(java.time.Duration.ofMillis(CALL_TIMEOUT_MILLISECONDS)));

    /** Creates a deployment whose programs come from the class path of this process. */
    SoakDeployment(Path folder, int stores, int edges) {
        this(folder, stores, edges, new ProcessGroup(folder), name -> FLAGS);
    }

    /**
     * Creates a deployment.
     *
     * @param folder receives settings, logs and data
     * @param stores number of store processes
     * @param edges number of edge processes
     * @param processes starts the processes
     * @param flags returns the flags of the runtime for the process of a name
     */
    SoakDeployment(Path folder, int stores, int edges, ProcessGroup processes, Function<String, List<String>> flags) {
        this.folder = folder;
        this.stores = stores;
        this.edges = edges;
        this.processes = processes;
        this.flags = flags;
    }

    int stores() {
        return stores;
    }

    int edges() {
        return edges;
    }

    ProcessGroup processes() {
        return processes;
    }

    List<SoakEndpoint> endpoints() {
        return endpoints;
    }

    static String store(int index) {
        return "store-" + index;
    }

    static String edge(int index) {
        return "edge-" + index;
    }

    private String storeHost(int index) {
        return network + (1 + index);
    }

    private String edgeHost(int index) {
        return network + (100 + index);
    }

    /** Starts everything and waits until a configuration is accepted. */
    void start(SoakReport report, int desks, int engines) {
        processes.onOwnEnd((name, code) ->
                report.violation(name + " ended by itself with code " + code + "; its last line: " + lastLine(name)));
        IntStream.range(0, stores).forEach(index -> startStore(index, true));
        IntStream.range(0, edges).forEach(this::startEdge);
        for (int index = 0; index < desks + engines; index++) {
            String service = index < desks ? DESK : ENGINES;
            endpoints.add(new SoakEndpoint(eventLoops, report, service, service + "-" + index));
        }
        long deadline = SoakReport.now() + START_TIMEOUT_MILLISECONDS;
        while (!configure(1, 800)) {
            if (SoakReport.now() > deadline) {
                throw new IllegalStateException("no store accepted the first configuration");
            }
        }
    }

    private String lastLine(String name) {
        List<String> lines =
                processes.readLog(name).lines().filter(line -> !line.isBlank()).toList();
        return lines.isEmpty() ? "" : lines.getLast();
    }

    /** Returns the index of the store host whose metrics say that it leads; the ignored ones are not asked. */
    OptionalInt leadingStore(Set<Integer> ignored) {
        return IntStream.range(0, stores)
                .filter(index -> !ignored.contains(index))
                .filter(index -> metrics(store(index)).lines().anyMatch(LEADS.asMatchPredicate()))
                .findFirst();
    }

    void startStore(int index, boolean firstStart) {
        String host = storeHost(index);
        write(store(index), """
                {"name": "%s", "failureDomain": "a", "host": "%s", "operatorAddress": "%s:%d",
                 "adminAddress": "%s:%d", "dataFolder": "data-%d", "seeds": [%s], "storePort": %d,
                 "clusterSecret": "soak", "firstStart": %s, "toleratedLosses": %d, "endpointsCheckFencing": true,
                 "orderLeaseMilliseconds": 3000, "heartbeatMilliseconds": 1200, "resultsKeptSeconds": 120,
                 "stopSeconds": %d}
                """.formatted(
                        store(index),
                        host,
                        host,
                        operatorPort,
                        host,
                        adminPort,
                        index,
                        seeds(),
                        storePort,
                        firstStart,
                        (Math.min(stores, 3) - 1) / 2,
                        STOP_SECONDS));
        processes.start(store(index), flags.apply(store(index)), "io.rosemarybeam.store.StoreMain");
    }

    void startEdge(int index) {
        String host = edgeHost(index);
        write(edge(index), """
                {"name": "%s", "failureDomain": "a", "callerAddress": "%s:%d", "readyAddress": "%s:%d",
                 "peerAddress": "%s:%d", "adminAddress": "%s:%d", "seeds": [%s], "storePort": %d,
                 "clusterSecret": "soak", "stopSeconds": %d}
                """.formatted(
                        edge(index),
                        host,
                        callerPort,
                        host,
                        readyPort,
                        host,
                        peerPort,
                        host,
                        adminPort,
                        seeds(),
                        storePort,
                        STOP_SECONDS));
        processes.start(edge(index), flags.apply(edge(index)), "io.rosemarybeam.edge.EdgeMain");
    }

    private String seeds() {
        return IntStream.range(0, Math.min(stores, 3))
                .mapToObj(index -> "\"" + storeHost(index) + ":1\"")
                .collect(Collectors.joining(", "));
    }

    private void write(String name, String settings) {
        try {
            Files.writeString(folder.resolve(name + ".json"), settings);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    /** Sends a configuration to one store host after another; returns whether one accepted it. */
    boolean configure(int version, int timeoutMilliseconds) {
        String text = """
                {"Version":%d,"Routes":[
                {"Name":"lookup","Hostname":"%s","PathPrefix":"%s","RouteType":"idempotent","TimeoutMs":%d,
                 "TargetLatencyMs":300,"Priority":0,"Backend":"%s","MaxAttempts":2},
                {"Name":"order","Hostname":"%s","PathPrefix":"%s","RouteType":"non_idempotent","TimeoutMs":%d,
                 "TargetLatencyMs":300,"Priority":0,"Backend":"%s","MaxAttempts":2},
                {"Name":"stream","Hostname":"%s","PathPrefix":"%s","RouteType":"streaming","Resumable":true,
                 "TimeoutMs":%d,"TargetLatencyMs":300,"Priority":0,"Backend":"%s","MaxAttempts":2},
                {"Name":"train","Hostname":"%s","PathPrefix":"%s","RouteType":"rollout","TimeoutMs":10000,
                 "TargetLatencyMs":400,"RunAimMs":7500,"KeepS":90,"Backend":"%s","MaxAttempts":3}],
                "Services":[{"Name":"%s","HealthPath":"/healthz","MaxConnections":90,"Protocol":"h1","Tls":false},
                {"Name":"%s","HealthPath":"/healthz","MaxConnections":90,"Protocol":"h1","Tls":false,
                 "Engine":{"Capacity":6,"Models":[{"Name":"model"}]}}]}
                """.formatted(
                        version,
                        HOST,
                        LOOKUP_PATH,
                        timeoutMilliseconds,
                        DESK,
                        HOST,
                        ORDER_PATH,
                        timeoutMilliseconds,
                        DESK,
                        HOST,
                        STREAM_PATH,
                        timeoutMilliseconds,
                        DESK,
                        HOST,
                        TRAINING_PATH,
                        ENGINES,
                        DESK,
                        ENGINES);
        return anyStoreAccepts("/api/config/replace", text);
    }

    /** Sends the heartbeats of all running endpoints. */
    void announceEndpoints() {
        for (SoakEndpoint endpoint : endpoints) {
            if (endpoint.isAlive()) {
                anyStoreAccepts("/api/replicas/" + endpoint.id() + "/heartbeat", endpoint.heartbeat());
            }
        }
    }

    private boolean anyStoreAccepts(String path, String body) {
        return IntStream.range(0, stores)
                .anyMatch(index -> status(call(new RequestBuilder("POST")
                                .setUrl(url(storeHost(index), operatorPort, path))
                                .setBody(body)))
                        == 200);
    }

    /** Reports a weight version to one store host after another; returns whether one accepted it. */
    boolean nameVersion(String model, long version) {
        return anyStoreAccepts("/api/version-put", "{\"Model\":\"" + model + "\",\"Version\":" + version + "}");
    }

    /** Returns the text that the metrics address of a process serves; empty if none was served. */
    String metrics(String name) {
        int index = Integer.parseInt(name.substring(name.indexOf('-') + 1));
        String host = name.startsWith("store-") ? storeHost(index) : edgeHost(index);
        Response response = call(new RequestBuilder("GET").setUrl(url(host, adminPort, "/metrics")));
        return status(response) == 200 ? response.getResponseBody() : "";
    }

    /** Returns a request for the addresses of edges, or for the readiness of one, to an edge. */
    RequestBuilder toReadyAddress(int edge, String path) {
        return new RequestBuilder("GET").setUrl(url(edgeHost(edge), readyPort, path));
    }

    /** Returns a request to an edge. */
    RequestBuilder toEdge(int edge, String method, String path) {
        return new RequestBuilder(method)
                .setUrl(url(edgeHost(edge), callerPort, path))
                .setVirtualHost(HOST);
    }

    /** Sends a request without a body to an edge and closes the connection without waiting for the answer. */
    void sendAndClose(int edge, String method, String path) {
        String text = method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nContent-Length: 0\r\n\r\n";
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(edgeHost(edge), callerPort), CALL_TIMEOUT_MILLISECONDS);
            socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        } catch (IOException unreachable) {
            // The edge may be down; the caller doesn't learn whether the request arrived.
            return;
        }
    }

    private static String url(String host, int port, String path) {
        return "http://" + host + ":" + port + path;
    }

    /** Calls a process over an open connection if there is one; returns null if no answer arrived. */
    Response call(RequestBuilder request) {
        try {
            return client.executeRequest(request).get(CALL_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return null;
        } catch (java.util.concurrent.ExecutionException | java.util.concurrent.TimeoutException noAnswer) {
            return null;
        }
    }

    /** Status and text of an answer, as far as it arrived. */
    record PartialAnswer(int status, String text) {}

    /** Calls a process and returns what arrived before the end of the answer or of its connection. */
    PartialAnswer callForPart(RequestBuilder request) {
        AtomicInteger status = new AtomicInteger();
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        AsyncCompletionHandler<Integer> collector = new AsyncCompletionHandler<>() {
            @Override
            public State onStatusReceived(HttpResponseStatus received) throws Exception {
                status.set(received.getStatusCode());
                return super.onStatusReceived(received);
            }

            @Override
            public State onBodyPartReceived(HttpResponseBodyPart part) {
                body.writeBytes(part.getBodyPartBytes());
                return State.CONTINUE;
            }

            @Override
            public Integer onCompleted(Response response) {
                return status.get();
            }
        };
        try {
            client.executeRequest(request, collector).get(CALL_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } catch (java.util.concurrent.ExecutionException | java.util.concurrent.TimeoutException brokenOff) {
            return new PartialAnswer(status.get(), body.toString(StandardCharsets.UTF_8));
        }
        return new PartialAnswer(status.get(), body.toString(StandardCharsets.UTF_8));
    }

    /** Returns the status of an answer; 0 if there is none. */
    static int status(Response response) {
        return response == null ? 0 : response.getStatusCode();
    }

    @Override
    public void close() {
        processes.close();
        endpoints.forEach(SoakEndpoint::close);
        try {
            client.close();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        } finally {
            eventLoops.shutdownGracefully(0, 200, TimeUnit.MILLISECONDS);
        }
    }
}
