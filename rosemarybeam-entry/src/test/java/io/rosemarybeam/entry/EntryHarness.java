package io.rosemarybeam.entry;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import io.netty.channel.nio.NioEventLoopGroup;
import io.rosemarybeam.common.configuration.ConfigurationParser;
import io.rosemarybeam.common.error.WireException;
import io.rosemarybeam.common.id.FailureDomain;
import io.rosemarybeam.common.id.HostName;
import io.rosemarybeam.common.settings.EntrySettings;
import io.rosemarybeam.common.wire.ControlReply.ConfigurationText;
import io.rosemarybeam.decision.request.RequestCore;
import io.rosemarybeam.decision.request.RequestCoreSettings;
import io.rosemarybeam.decision.rollout.RolloutCore;
import io.rosemarybeam.decision.rollout.RolloutCoreSettings;
import io.rosemarybeam.decision.step.StepCore;
import io.rosemarybeam.decision.step.StepCoreSettings;

import static org.junit.jupiter.api.Assertions.assertTrue;

/** A deployment on loopback: fake control hosts, entries with the real decision cores, scripted endpoints. */
final class EntryHarness implements AutoCloseable {
    static final String CONFIGURATION = """
            {
              "number": 1,
              "controlHosts": [{"name": "control-1", "address": "127.0.0.1:7401", "failureDomain": "amman-a"}],
              "entryHosts": {"draining": []},
              "endpoints": {"draining": [], "roles": {}},
              "services": {
                "brailler-lm": {
                  "class": "model",
                  "dependsOn": [],
                  "limits": {"maximumConcurrent": 64, "maximumQueued": 256, "maximumBodyBytes": 65536,
                             "concurrentPerEndpoint": 64},
                  "deadlines": {"totalMilliseconds": 30000, "progressMilliseconds": 400, "connectMilliseconds": 500},
                  "retries": {"maximumAttempts": 3, "budgetPercent": 10},
                  "customerReservePercent": 25,
                  "training": {"stalenessBoundVersions": 2, "trainerIdleWeight": 0.3, "stalenessWeight": 0.7,
                               "trainerShares": {"trainer-a": 1}},
                  "rollout": {"capacityFloorPercent": 60, "storeFetchesPerSecond": 2}
                },
                "workshop-app": {
                  "class": "plain",
                  "dependsOn": ["brailler-lm"],
                  "limits": {"maximumConcurrent": 64, "maximumQueued": 256, "maximumBodyBytes": 65536,
                             "concurrentPerEndpoint": 64},
                  "deadlines": {"totalMilliseconds": 30000, "progressMilliseconds": 400, "connectMilliseconds": 500},
                  "retries": {"maximumAttempts": 3, "budgetPercent": 10},
                  "idempotentCalls": [{"method": "GET", "path": "/**"}]
                }
              }
            }
            """;
    private static final long AWAIT_TIMEOUT_MILLISECONDS = 10_000;

    final FakeControl.State state = new FakeControl.State();
    final List<FakeControl> controls = new ArrayList<>();
    final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final NioEventLoopGroup eventLoops = new NioEventLoopGroup(1);
    private final List<Runnable> opened = new ArrayList<>();
    private final Path folder;
    private int incarnations;

    EntryHarness(int controlHosts) throws IOException {
        folder = Files.createTempDirectory("entry-test");
        writeSecret("cluster", FakeControl.SECRET);
        writeSecret("token", "operator-token-for-tests");
        state.configuration = Optional.of(new ConfigurationText(1, CONFIGURATION));
        for (int number = 0; number < controlHosts; number++) {
            controls.add(new FakeControl(eventLoops, state));
        }
    }

    private void writeSecret(String name, String text) throws IOException {
        Path file = folder.resolve(name);
        Files.writeString(file, text);
        Files.setPosixFilePermissions(file, PosixFilePermissions.fromString("rw-------"));
    }

    /** An entry and its address. */
    record Entry(EntryProcess process, String address) {}

    /** Starts an entry, and retries with new ports if another process bound one of them in the meantime. */
    Entry startEntry(String name, String domain) {
        for (int attempt = 1; ; attempt++) {
            try {
                return startEntryOnce(name, domain);
            } catch (WireException addressInUse) {
                if (attempt == 5) {
                    throw addressInUse;
                }
            }
        }
    }

    private Entry startEntryOnce(String name, String domain) {
        String callerAddress = freeAddress();
        EntrySettings settings = new EntrySettings(
                HostName.of(name),
                FailureDomain.of(domain),
                callerAddress,
                freeAddress(),
                freeAddress(),
                controls.stream().map(FakeControl::address).toList(),
                folder.resolve("cluster"),
                folder.resolve("token"));
        HostName host = settings.name();
        EntryProcess.Cores cores = new EntryProcess.Cores(
                RequestCore.of(RequestCoreSettings.builder(host, settings.failureDomain())
                        .seed(1)
                        .build()),
                StepCore.of(StepCoreSettings.builder(host, settings.failureDomain())
                        .seed(incarnations++)
                        .build()),
                RolloutCore.of(RolloutCoreSettings.builder(host).build()));
        EntryProcess process = EntryProcess.start(settings, cores, ConfigurationParser.standard());
        opened.add(process::close);
        return new Entry(process, callerAddress);
    }

    /** Starts an entry and waits until it holds its lease. */
    Entry startReadyEntry(String name, String domain) throws Exception {
        Entry entry = startEntry(name, domain);
        await(() -> get(entry, "/v1/addresses").statusCode() == 200);
        return entry;
    }

    private static String freeAddress() {
        try (ServerSocket socket = new ServerSocket(0)) {
            return "127.0.0.1:" + socket.getLocalPort();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    ScriptedEndpoint startEndpoint(ScriptedEndpoint.Script script) {
        ScriptedEndpoint endpoint = new ScriptedEndpoint(script);
        opened.add(endpoint::close);
        return endpoint;
    }

    HttpResponse<String> announce(Entry entry, String id, String service, String url) {
        String version = service.equals("brailler-lm") ? ",\"weightVersion\":7" : "";
        return post(
                entry,
                "/v1/endpoints",
                "{\"id\":\"" + id + "\",\"service\":\"" + service + "\",\"address\":\"" + url
                        + "\",\"failureDomain\":\"amman-a\",\"incarnation\":1,\"capacity\":64,\"resume\":true,"
                        + "\"cancel\":true" + version
                        + ",\"load\":{\"running\":0,\"waiting\":0,\"sequence\":1}}");
    }

    HttpResponse<String> get(Entry entry, String path) {
        return send(request(entry, path).GET().build());
    }

    HttpResponse<String> post(Entry entry, String path, String body, String... headers) {
        HttpRequest.Builder request = request(entry, path).POST(HttpRequest.BodyPublishers.ofString(body));
        if (headers.length > 0) {
            request.headers(headers);
        }
        return send(request.build());
    }

    private static HttpRequest.Builder request(Entry entry, String path) {
        return HttpRequest.newBuilder(URI.create("http://" + entry.address() + path));
    }

    HttpResponse<String> send(HttpRequest request) {
        try {
            return http.send(request, HttpResponse.BodyHandlers.ofString());
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(interrupted);
        }
    }

    /** Posts a request on a connection of its own, and returns the bytes of the answer until the entry closes it. */
    String readToEnd(Entry entry, String path, String body) throws IOException {
        URI address = URI.create("http://" + entry.address());
        try (Socket socket = new Socket(address.getHost(), address.getPort())) {
            socket.setSoTimeout((int) AWAIT_TIMEOUT_MILLISECONDS);
            String head = "POST " + path + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: "
                    + body.length() + "\r\n\r\n";
            socket.getOutputStream().write((head + body).getBytes(StandardCharsets.UTF_8));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    static void await(BooleanSupplier condition) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(AWAIT_TIMEOUT_MILLISECONDS);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < deadline, "the condition did not hold in time");
            Thread.sleep(20);
        }
    }

    static Map<?, ?> json(String text) throws IOException {
        return Json.MAPPER.readValue(text, Map.class);
    }

    @Override
    public void close() {
        opened.forEach(Runnable::run);
        controls.forEach(FakeControl::close);
        eventLoops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }
}
