package io.rosemarybeam.common.admin;

import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.nio.NioEventLoopGroup;
import io.rosemarybeam.common.error.WireException;
import io.rosemarybeam.common.metric.Metrics;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against an admin server that hides a failed dump, hangs, answers out of order or omits the process metrics.
 */
class AdminServerTest {
    private final NioEventLoopGroup eventLoops = new NioEventLoopGroup(1);
    private final Metrics metrics = Metrics.ofProcess();
    private final HttpClient client = HttpClient.newHttpClient();
    private AdminServer server;

    @AfterEach
    void stop() {
        client.close();
        server.close();
        eventLoops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    private void start(DumpSource dump) {
        server = AdminServer.start(eventLoops, "127.0.0.1:0", metrics, dump);
    }

    private HttpResponse<String> request(String method, String path) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + server.address() + path))
                .method(method, BodyPublishers.noBody())
                .build();
        return client.send(request, BodyHandlers.ofString());
    }

    @Test
    void shouldShowProcessAndOwnMetricsWhenAsked() throws Exception {
        start(DumpSource.of(() -> "{}"));
        metrics.counter("requests", "Requests by service.", "service")
                .labelValues("guichet")
                .inc();

        HttpResponse<String> response = request("GET", "/metrics");

        assertEquals(200, response.statusCode());
        assertTrue(response.headers().firstValue("content-type").orElseThrow().startsWith("text/plain"));
        assertTrue(response.body().contains("rosemarybeam_requests_total{service=\"guichet\"} 1.0"), response.body());
        assertTrue(response.body().matches("(?s).*rosemarybeam_process_resident_bytes [1-9].*"), response.body());
        assertTrue(response.body().matches("(?s).*rosemarybeam_process_processor_seconds_total [0-9.E-]+\n.*"));
        assertTrue(response.body().matches("(?s).*rosemarybeam_process_uptime_seconds [0-9.E-]+\n.*"));
    }

    @Test
    void shouldServeDumpWhenItCompletesOnAnotherThread() throws Exception {
        start(() -> CompletableFuture.supplyAsync(
                () -> "{\"leader\":\"é\"}", CompletableFuture.delayedExecutor(50, TimeUnit.MILLISECONDS)));

        HttpResponse<String> response = request("GET", "/dump");

        assertEquals(200, response.statusCode());
        assertEquals("{\"leader\":\"é\"}", response.body());
        assertEquals(200, request("GET", "/dump?pretty").statusCode());
    }

    @Test
    void shouldAnswerWithErrorWhenDumpFailsOrPathOrMethodIsUnknown() throws Exception {
        start(() -> CompletableFuture.failedFuture(new IllegalStateException("core stopped")));

        assertEquals(500, request("GET", "/dump").statusCode());
        assertEquals(404, request("GET", "/").statusCode());
        assertEquals(405, request("POST", "/dump").statusCode());
        assertEquals(
                "GET",
                request("DELETE", "/metrics").headers().firstValue("allow").orElseThrow());
    }

    @Test
    void shouldAnswerWithErrorWhenDumpThrowsAtOnce() throws Exception {
        start(DumpSource.of(() -> {
            throw new IllegalStateException("core stopped");
        }));

        assertEquals(500, request("GET", "/dump").statusCode());
    }

    @Test
    void shouldKeepTheOrderOfRequestsWhenAnEarlierAnswerTakesLonger() throws Exception {
        start(() -> CompletableFuture.supplyAsync(
                () -> "{\"slow\":1}", CompletableFuture.delayedExecutor(200, TimeUnit.MILLISECONDS)));
        int port = Integer.parseInt(server.address().substring(server.address().indexOf(':') + 1));
        try (Socket socket = new Socket("127.0.0.1", port)) {
            String requests = "GET /dump HTTP/1.1\r\n\r\nGET /other HTTP/1.1\r\nConnection: close\r\n\r\n";
            socket.getOutputStream().write(requests.getBytes(StandardCharsets.US_ASCII));

            String answers = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);

            assertTrue(answers.startsWith("HTTP/1.1 200 OK"), answers);
            assertTrue(answers.indexOf("slow") < answers.indexOf("404 Not Found"), answers);
        }
    }

    @Test
    void shouldFailToStartWhenAddressIsTaken() {
        start(DumpSource.of(() -> "{}"));

        assertThrows(
                WireException.class,
                () -> AdminServer.start(eventLoops, server.address(), metrics, DumpSource.of(() -> "{}")));
    }
}
