package io.rosemarybeam.entry;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.rosemarybeam.common.wire.ControlReply.ConfigurationText;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Dsl;
import org.asynchttpclient.Response;

/**
 * Measures the latency that a running entry adds to a request, compared with direct calls to the same stub endpoint in
 * the same run.
 *
 * <p>Run with the repository as working directory, after a build that has filled the library directory. Confined to the
 * main thread.
 */
public final class OverheadBenchmark {
    private static final int CHUNKS = 16;
    private static final int TOKENS_PER_CHUNK = 4;
    private static final int BODY_BYTES = 1_024;
    private static final int WARM_UP_SECONDS = 6;
    private static final String COMPLETION =
            "{\"model\":\"brailler-lm\",\"prompt\":\"proof of a sign\",\"max_tokens\":64,\"stream\":";

    private final NioEventLoopGroup eventLoops = new NioEventLoopGroup(4);
    private final AsyncHttpClient client = Dsl.asyncHttpClient(Dsl.config().setEventLoopGroup(eventLoops));
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final AtomicLong failures = new AtomicLong();
    private final int seconds;
    private String entry = "";
    private String admin = "";

    private OverheadBenchmark(int seconds) {
        this.seconds = seconds;
    }

    /** One kind of call: path at the entry, path at the endpoint, body. */
    private record Call(String name, String entryPath, String endpointPath, String body) {}

    /** Result of a measuring phase. */
    private record Result(Histogram latency, double perSecond, double entryCores) {}

    /**
     * Runs the benchmark.
     *
     * @param arguments seconds per phase; 5 if absent
     */
    public static void main(String[] arguments) throws Exception {
        new OverheadBenchmark(arguments.length == 0 ? 5 : Integer.parseInt(arguments[0])).run();
    }

    private void run() throws Exception {
        FakeControl.State state = new FakeControl.State();
        state.configuration = Optional.of(new ConfigurationText(1, configuration()));
        FakeControl control = new FakeControl(eventLoops, state);
        String endpoint = startEndpoint();
        Process process = startEntry(control.address());
        try {
            timer.scheduleAtFixedRate(() -> announce(endpoint), 0, 1, TimeUnit.SECONDS);
            Thread.sleep(4_000);
            Call[] calls = {
                new Call("plain, 1 KiB", "/services/workshop-app/page", "/page", null),
                new Call("completion, whole", "/v1/completions", "/v1/completions", COMPLETION + "false}"),
                new Call("completion, streamed", "/v1/completions", "/v1/completions", COMPLETION + "true}")
            };
            for (Call call : calls) {
                phase(entry + call.entryPath(), call, 32, WARM_UP_SECONDS);
            }
            for (Call call : calls) {
                for (int callers : new int[] {1, 8, 64}) {
                    compare(endpoint, call, callers);
                }
            }
            System.out.println("failed requests: " + failures + ", resident bytes of the entry: "
                    + (long) metric("rosemarybeam_process_resident_bytes"));
        } finally {
            process.toHandle().destroyForcibly();
            timer.shutdownNow();
            control.close();
            client.close();
            eventLoops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
        }
    }

    private void compare(String endpoint, Call call, int callers) throws Exception {
        Result direct = phase(endpoint + call.endpointPath(), call, callers, seconds);
        Result through = phase(entry + call.entryPath(), call, callers, seconds);
        System.out.printf(
                Locale.ROOT,
                "%-21s %2d callers: direct p50 %5d us p99 %6d us %6.0f/s | entry p50 %5d us p99 %6d us %6.0f/s"
                        + " | added p50 %5d us p99 %6d us | entry cores %.2f, %5.0f requests/s per core%n",
                call.name(),
                callers,
                direct.latency().getValueAtPercentile(50),
                direct.latency().getValueAtPercentile(99),
                direct.perSecond(),
                through.latency().getValueAtPercentile(50),
                through.latency().getValueAtPercentile(99),
                through.perSecond(),
                through.latency().getValueAtPercentile(50) - direct.latency().getValueAtPercentile(50),
                through.latency().getValueAtPercentile(99) - direct.latency().getValueAtPercentile(99),
                through.entryCores(),
                through.perSecond() / through.entryCores());
    }

    private Result phase(String url, Call call, int callers, int duration) throws Exception {
        Histogram latency = new ConcurrentHistogram(3);
        double processorBefore = metric("rosemarybeam_process_processor_seconds_total");
        long start = System.nanoTime();
        long end = start + TimeUnit.SECONDS.toNanos(duration);
        CompletableFuture<?>[] loops = new CompletableFuture<?>[callers];
        for (int caller = 0; caller < callers; caller++) {
            loops[caller] = new CompletableFuture<>();
            next(url, call, end, latency, loops[caller]);
        }
        CompletableFuture.allOf(loops).join();
        double elapsed = (System.nanoTime() - start) / 1e9;
        double processor = metric("rosemarybeam_process_processor_seconds_total") - processorBefore;
        return new Result(latency, latency.getTotalCount() / elapsed, processor / elapsed);
    }

    private void next(String url, Call call, long end, Histogram latency, CompletableFuture<?> loop) {
        long start = System.nanoTime();
        if (start >= end) {
            loop.complete(null);
            return;
        }
        var request = call.body() == null
                ? client.prepareGet(url)
                : client.preparePost(url).setBody(call.body().getBytes(StandardCharsets.UTF_8));
        request.execute().toCompletableFuture().whenComplete((response, failure) -> {
            if (failure != null || !isComplete(response)) {
                failures.incrementAndGet();
            } else {
                latency.recordValue((System.nanoTime() - start) / 1_000);
            }
            next(url, call, end, latency, loop);
        });
    }

    private static boolean isComplete(Response response) {
        String body = response.getResponseBody();
        boolean stream = "text/event-stream".equals(response.getHeader("content-type"));
        return response.getStatusCode() == 200 && (!stream || body.endsWith("data: [DONE]\n\n"));
    }

    private double metric(String name) throws Exception {
        String text = client.prepareGet(admin + "/metrics").execute().get().getResponseBody();
        return text.lines()
                .filter(line -> line.startsWith(name + " "))
                .mapToDouble(line -> Double.parseDouble(line.split(" ")[1]))
                .findFirst()
                .orElseThrow();
    }

    // ---- The deployment ----

    private static String configuration() {
        return EntryHarness.CONFIGURATION
                .replace("\"maximumConcurrent\": 64", "\"maximumConcurrent\": 1000")
                .replace("\"concurrentPerEndpoint\": 64", "\"concurrentPerEndpoint\": 500");
    }

    private static String freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return "127.0.0.1:" + socket.getLocalPort();
        }
    }

    private Process startEntry(String controlAddress) throws IOException {
        Path folder = Files.createTempDirectory("entry-benchmark");
        for (String name : new String[] {"cluster", "token"}) {
            Path secret = folder.resolve(name);
            Files.writeString(secret, FakeControl.SECRET);
            Files.setPosixFilePermissions(secret, PosixFilePermissions.fromString("rw-------"));
        }
        String callerAddress = freeAddress();
        String adminAddress = freeAddress();
        Path settings = folder.resolve("entry.json");
        Files.write(
                settings,
                Json.write(Map.of(
                        "name",
                        "entry-1",
                        "failureDomain",
                        "amman-a",
                        "callerAddress",
                        callerAddress,
                        "peerAddress",
                        freeAddress(),
                        "adminAddress",
                        adminAddress,
                        "controlAddresses",
                        new String[] {controlAddress},
                        "clusterSecretFile",
                        "cluster",
                        "operatorTokenFile",
                        "token")));
        entry = "http://" + callerAddress;
        admin = "http://" + adminAddress;
        return new ProcessBuilder("bin/rosemarybeam-entry", "--settings", settings.toString())
                .redirectErrorStream(true)
                .redirectOutput(folder.resolve("entry.log").toFile())
                .start();
    }

    private void announce(String endpoint) {
        for (String service : new String[] {"brailler-lm", "workshop-app"}) {
            String version = service.equals("brailler-lm") ? ",\"weightVersion\":7" : "";
            client.preparePost(entry + "/v1/endpoints")
                    .setBody("{\"id\":\"" + service + "-1\",\"service\":\"" + service + "\",\"address\":\"" + endpoint
                            + "\",\"failureDomain\":\"amman-a\",\"incarnation\":1,\"capacity\":500,\"resume\":true,"
                            + "\"cancel\":true" + version + "}")
                    .execute();
        }
    }

    private String startEndpoint() throws InterruptedException {
        var channel = new ServerBootstrap()
                .group(eventLoops)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel connection) {
                        connection
                                .pipeline()
                                .addLast(new HttpServerCodec())
                                .addLast(new HttpObjectAggregator(1_048_576))
                                .addLast(new Endpoint());
                    }
                })
                .bind("127.0.0.1", 0)
                .sync()
                .channel();
        return "http://127.0.0.1:" + ((InetSocketAddress) channel.localAddress()).getPort();
    }

    /** Answers immediately: completions in chunks, everything else with a page of {@value #BODY_BYTES} bytes. */
    private static final class Endpoint extends SimpleChannelInboundHandler<FullHttpRequest> {
        private static final byte[] PAGE = "x".repeat(BODY_BYTES).getBytes(StandardCharsets.US_ASCII);

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            if (request.uri().equals("/v1/completions")) {
                complete(context, String.valueOf(request.headers().get(EndpointHeaders.ATTEMPT_ID)));
                return;
            }
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.wrappedBuffer(PAGE));
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, PAGE.length);
            context.writeAndFlush(response);
        }

        private static void complete(ChannelHandlerContext context, String attempt) {
            DefaultHttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/event-stream");
            response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, "chunked");
            context.write(response);
            for (int chunk = 0; chunk < CHUNKS; chunk++) {
                event(
                        context,
                        "{\"id\":\"" + attempt + "\",\"index\":" + chunk * TOKENS_PER_CHUNK + ",\"token_count\":"
                                + TOKENS_PER_CHUNK + ",\"text\":\"a few words \",\"weight_version\":7}");
            }
            event(context, "[DONE]");
            context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
        }

        /** Flushes each chunk separately, as an engine does when it has generated one. */
        private static void event(ChannelHandlerContext context, String data) {
            context.writeAndFlush(
                    new DefaultHttpContent(Unpooled.copiedBuffer("data: " + data + "\n\n", StandardCharsets.UTF_8)));
        }
    }
}
