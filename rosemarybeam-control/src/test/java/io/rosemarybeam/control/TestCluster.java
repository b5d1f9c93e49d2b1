package io.rosemarybeam.control;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.nio.NioEventLoopGroup;
import io.rosemarybeam.common.configuration.ConfigurationParser;
import io.rosemarybeam.common.configuration.OperatorConfiguration.ControlHost;
import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.id.FailureDomain;
import io.rosemarybeam.common.id.HostName;
import io.rosemarybeam.common.settings.ControlSettings;
import io.rosemarybeam.common.wire.CommonReply;
import io.rosemarybeam.common.wire.ControlReply.ApplyReply;
import io.rosemarybeam.common.wire.Credentials;
import io.rosemarybeam.common.wire.HandshakeMessage.Role;
import io.rosemarybeam.common.wire.Message;
import io.rosemarybeam.common.wire.MessageHandler;
import io.rosemarybeam.common.wire.OperatorRequest;
import io.rosemarybeam.common.wire.Secrets;
import io.rosemarybeam.common.wire.WireConnection;
import io.rosemarybeam.common.wire.WireSettings;
import io.rosemarybeam.common.wire.WireTransport;
import io.rosemarybeam.consensus.storage.FileSystem;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Control processes on the loopback interface with their clients. Confined to the thread of the test. */
final class TestCluster implements AutoCloseable {
    static final String SECRET = "cluster-secret";
    static final String TOKEN = "operator-token";
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(3);
    private static final long AWAIT_TIMEOUT_MILLISECONDS = 15_000;

    private final Path folder;
    private final Map<String, ControlHost> hosts = new TreeMap<>();
    private final Map<String, ControlProcess> running = new TreeMap<>();
    private final List<Throwable> failures = new CopyOnWriteArrayList<>();
    private final NioEventLoopGroup eventLoops = new NioEventLoopGroup(1);
    private final WireTransport transport = WireTransport.of(eventLoops, WireSettings.standard());

    TestCluster(Path folder, int size) {
        this.folder = folder;
        for (int number = 1; number <= size; number++) {
            addHost("control-" + number);
        }
    }

    ControlHost addHost(String name) {
        ControlHost host = new ControlHost(HostName.of(name), "127.0.0.1:" + freePort(), FailureDomain.of("amman-a"));
        hosts.put(name, host);
        return host;
    }

    private static int freePort() {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    List<String> names() {
        return List.copyOf(hosts.keySet());
    }

    ControlProcess start(String name) {
        ControlHost host = hosts.get(name);
        ControlSettings settings = new ControlSettings(
                host.name(),
                host.failureDomain(),
                host.address(),
                "127.0.0.1:0",
                folder.resolve(name),
                folder.resolve("secret"),
                folder.resolve("token"),
                List.copyOf(hosts.values()));
        ControlProcess process = new ControlProcess(
                settings,
                new Secrets(SECRET, Optional.of(TOKEN)),
                ConfigurationParser.standard(),
                FileSystem.of(settings.dataFolder()),
                MonotonicClock.system(),
                failures::add);
        process.start();
        running.put(name, process);
        return process;
    }

    void startAll() {
        names().forEach(this::start);
    }

    void stop(String name) {
        running.remove(name).stop();
    }

    void wipe(String name) {
        try (Stream<Path> files = Files.walk(folder.resolve(name))) {
            files.sorted(Comparator.reverseOrder())
                    .forEach(file -> file.toFile().delete());
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    String dump(String name) {
        return running.get(name).dump().join();
    }

    Optional<String> leader() {
        return running.keySet().stream()
                .filter(name -> dump(name).contains("\"role\" : \"LEADER\""))
                .findFirst();
    }

    /** Returns whether the voters that the leader reports are exactly the given hosts. */
    boolean votersAre(List<String> names) {
        return leader().map(this::dump)
                .map(dump -> {
                    String hostsPart = dump.substring(dump.indexOf("controlHosts"), dump.indexOf("membershipVersion"));
                    long voters = hostsPart
                            .lines()
                            .filter(line -> line.contains("\"voter\" : true"))
                            .count();
                    return voters == names.size()
                            && names.stream().allMatch(name -> hostsPart.contains("\"" + name + "\""));
                })
                .orElse(false);
    }

    /** Returns the incarnation of a host if the leader reports it as a voter. */
    Optional<String> voterIncarnation(String name) {
        return leader().flatMap(leading -> {
            try {
                for (JsonNode host : new ObjectMapper().readTree(dump(leading)).path("controlHosts")) {
                    if (host.path("name").asText().equals(name)
                            && host.path("voter").asBoolean()) {
                        return Optional.of(host.path("incarnation").asText());
                    }
                }
                return Optional.empty();
            } catch (JsonProcessingException failure) {
                throw new IllegalStateException(failure);
            }
        });
    }

    static void await(String description, BooleanSupplier condition) {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(AWAIT_TIMEOUT_MILLISECONDS);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < deadline, "condition not met in time: " + description);
            sleep(20);
        }
    }

    static void sleep(long milliseconds) {
        try {
            Thread.sleep(milliseconds);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new AssertionError(interrupted);
        }
    }

    String configurationText(long number, List<String> controlHosts, int limit) {
        String listed = controlHosts.stream()
                .map(hosts::get)
                .map(host -> "{\"name\": \"%s\", \"address\": \"%s\", \"failureDomain\": \"amman-a\"}"
                        .formatted(host.name(), host.address()))
                .collect(Collectors.joining(", "));
        return """
                {
                  "number": %d, // written by a test
                  "controlHosts": [%s],
                  "services": {
                    "workshop-app": {
                      "class": "plain",
                      "limits": {"maximumConcurrent": %d, "maximumQueued": 16, "maximumBodyBytes": 4096,
                                 "concurrentPerEndpoint": 4},
                      "deadlines": {"totalMilliseconds": 30000, "progressMilliseconds": 2000,
                                    "connectMilliseconds": 500},
                      "retries": {"maximumAttempts": 3, "budgetPercent": 10}
                    }
                  }
                }
                """.formatted(number, listed, limit);
    }

    Client client(Role role, String name) {
        return new Client(role, name);
    }

    @Override
    public void close() {
        List.copyOf(running.keySet()).forEach(this::stop);
        eventLoops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
        assertEquals(List.of(), failures, "no control process may fail");
    }

    /** Sends requests to whichever control host leads. Confined to the thread of the test. */
    final class Client {
        private final Role role;
        private final String name;
        private final List<Message> pushed = new ArrayList<>();
        private final Map<String, WireConnection> connections = new TreeMap<>();

        Client(Role role, String name) {
            this.role = role;
            this.name = name;
        }

        private Optional<WireConnection> connect(String address) {
            WireConnection existing = connections.get(address);
            if (existing != null && existing.isOpen()) {
                return Optional.of(existing);
            }
            String secret = role == Role.OPERATOR ? TOKEN : SECRET;
            MessageHandler handler = (connection, correlation, message) -> {
                synchronized (pushed) {
                    pushed.add(message);
                }
            };
            Optional<WireConnection> opened =
                    result(transport.connect(address, new Credentials(role, name, 1, secret), handler));
            opened.ifPresent(connection -> connections.put(address, connection));
            return opened;
        }

        /** Sends a request until a host that leads and serves has answered it. */
        Message request(Message message) {
            long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(AWAIT_TIMEOUT_MILLISECONDS);
            Message last = null;
            while (System.nanoTime() < deadline) {
                for (ControlHost host : hosts.values()) {
                    Optional<Message> reply = connect(host.address())
                            .flatMap(connection -> result(connection.request(message, REQUEST_TIMEOUT)));
                    if (reply.isPresent() && !isRetryable(reply.get())) {
                        return reply.get();
                    }
                    last = reply.orElse(last);
                }
                sleep(20);
            }
            throw new AssertionError("no final reply to " + message + ", last reply " + last);
        }

        <T extends Message> T request(Message message, Class<T> type) {
            return type.cast(request(message));
        }

        private static boolean isRetryable(Message reply) {
            return reply instanceof CommonReply.NotLeader
                    || (reply instanceof CommonReply.Refused refused
                            && (refused.code() == ErrorCode.LEADERSHIP_LOST
                                    || refused.code() == ErrorCode.QUORUM_UNAVAILABLE));
        }

        List<Message> pushed() {
            synchronized (pushed) {
                return List.copyOf(pushed);
            }
        }

        ApplyReply apply(String text, long wait) {
            return request(new OperatorRequest.ApplyConfiguration(text, name, wait), ApplyReply.class);
        }
    }

    private static <T> Optional<T> result(CompletableFuture<T> future) {
        Function<Throwable, Optional<T>> none = failure -> Optional.empty();
        try {
            return Optional.of(future.get(AWAIT_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS));
        } catch (ExecutionException | TimeoutException failure) {
            return none.apply(failure);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new AssertionError(interrupted);
        }
    }
}
