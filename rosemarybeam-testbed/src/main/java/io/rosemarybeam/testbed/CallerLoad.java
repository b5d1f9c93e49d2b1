package io.rosemarybeam.testbed;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.rosemarybeam.testbed.LoadReport.Outcome;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.RequestBuilder;
import org.asynchttpclient.Response;

/**
 * Sends customer requests as a well-behaved caller does: resends a request only if that is safe, respects
 * {@code Retry-After}, and checks that each answer is complete and belongs to its request. Safe for use by several threads.
 */
public final class CallerLoad {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int MAXIMUM_TOKENS = 48;

    /** A request that has no final answer after this time counts as lost. */
    private static final long RETRY_TIMEOUT_MILLISECONDS = 30_000;

    /** Delay before a retry when the answer has no {@code Retry-After}. */
    private static final long DEFAULT_RETRY_DELAY_MILLISECONDS = 250;

    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(40);
    private static final String END_OF_STREAM = "data: [DONE]";

    private final AsyncHttpClient client;
    private final EntryDirectory directory;
    private final LoadReport report;
    private final String modelService;
    private final String plainService;
    private final AtomicLong requestNumbers = new AtomicLong();

    /**
     * Creates a load generator.
     *
     * @param client sends the requests
     * @param directory selects the entry host for each request
     * @param report receives the outcomes
     * @param modelService name of the service that receives completions
     * @param plainService name of the service that receives bookings
     */
    public CallerLoad(
            AsyncHttpClient client,
            EntryDirectory directory,
            LoadReport report,
            String modelService,
            String plainService) {
        this.client = client;
        this.directory = directory;
        this.report = report;
        this.modelService = modelService;
        this.plainService = plainService;
    }

    /** Sends one completion and checks the answer; completions with an even request number are streamed. */
    public void sendCompletion() {
        long number = requestNumbers.incrementAndGet();
        boolean streamed = number % 2 == 0;
        String prompt = "sign " + ProcessHandle.current().pid() + "-" + number;
        ObjectNode body = MAPPER.createObjectNode();
        body.put("model", modelService);
        body.put("prompt", prompt);
        body.put("max_tokens", MAXIMUM_TOKENS);
        body.put("stream", streamed);
        Response response = send("POST", "/v1/completions", body.toString(), null);
        if (response == null) {
            return;
        }
        String expected = GeneratedText.completion(prompt, MAXIMUM_TOKENS);
        check(streamed ? streamedText(response) : completionText(response), expected);
    }

    /** Sends one booking with an idempotency key and checks the answer; a resend uses the same key. */
    public void sendBooking() {
        String order = orderPrefix() + requestNumbers.incrementAndGet();
        String body = "{\"order\":\"" + order + "\"}";
        Response response = send("POST", "/services/" + plainService + "/bookings", body, order);
        if (response != null) {
            check(response.getResponseBody().contains("\"" + order + "\"") ? order : "other", order);
        }
    }

    /** Reads the number of runs of each order that this process booked, and counts orders that ran more than once. */
    public void countRepeatedRuns() {
        String prefix = orderPrefix();
        Response response = send("GET", "/services/" + plainService + "/runs", "", null);
        if (response == null) {
            return;
        }
        parseBody(response).properties().forEach(run -> {
            if (run.getKey().startsWith(prefix)) {
                report.count("orders run");
                if (run.getValue().asInt() > 1) {
                    report.count(Outcome.RAN_TWICE);
                }
            }
        });
    }

    private static String orderPrefix() {
        return "order-" + ProcessHandle.current().pid() + "-";
    }

    private void check(String text, String expected) {
        if (text == null) {
            report.count(Outcome.CUT_STREAM);
        } else if (text.equals(expected)) {
            report.count(Outcome.ANSWERED);
        } else {
            report.count(Outcome.WRONG_ANSWER);
        }
    }

    private Response send(String method, String path, String body, String idempotencyKey) {
        long start = ModelEngine.nowMilliseconds();
        while (ModelEngine.nowMilliseconds() < start + RETRY_TIMEOUT_MILLISECONDS) {
            String entry = directory.nextAddress();
            try {
                Response response = client.executeRequest(
                                request(method, "http://" + entry + path, body, idempotencyKey))
                        .toCompletableFuture()
                        .join();
                if (response.getStatusCode() < 300) {
                    report.record("latency of customer requests", ModelEngine.nowMilliseconds() - start);
                    return response;
                }
                String code = statusAndErrorCode(response);
                report.count("refusals " + code);
                if (code.endsWith("OUTCOME_UNKNOWN") || !isRetryable(response, idempotencyKey)) {
                    report.count(Outcome.OUTCOME_UNKNOWN);
                    return null;
                }
                pause(retryDelayMilliseconds(response));
            } catch (RuntimeException unreachable) {
                directory.removeAddress(entry);
                report.count("connections to entries that failed");
                pause(DEFAULT_RETRY_DELAY_MILLISECONDS);
            }
        }
        report.count(Outcome.LOST);
        return null;
    }

    private static org.asynchttpclient.Request request(String method, String url, String body, String idempotencyKey) {
        RequestBuilder builder = new RequestBuilder(method)
                .setUrl(url)
                .setHeader("Content-Type", "application/json")
                .setRequestTimeout(REQUEST_TIMEOUT)
                .setBody(body.getBytes(StandardCharsets.UTF_8));
        if (idempotencyKey != null) {
            builder.setHeader("Idempotency-Key", idempotencyKey);
        }
        return builder.build();
    }

    /**
     * Returns whether a resend is safe: the request was refused because of overload or reported as not run, or it has an
     * idempotency key. A request whose connection fails is always resent, since completions may run twice and bookings have
     * a key.
     */
    private static boolean isRetryable(Response response, String idempotencyKey) {
        boolean overload = response.getStatusCode() == 503 || response.getStatusCode() == 429;
        return overload || "not-run".equals(parseBody(response).path("run").asText()) || idempotencyKey != null;
    }

    private static String statusAndErrorCode(Response response) {
        return response.getStatusCode() + " " + parseBody(response).path("code").asText();
    }

    private static JsonNode parseBody(Response response) {
        try {
            JsonNode node = MAPPER.readTree(response.getResponseBody());
            return node == null ? MAPPER.createObjectNode() : node;
        } catch (IOException malformed) {
            return MAPPER.createObjectNode();
        }
    }

    private static long retryDelayMilliseconds(Response response) {
        String seconds = response.getHeader("Retry-After");
        return seconds == null ? DEFAULT_RETRY_DELAY_MILLISECONDS : Math.max(1, Long.parseLong(seconds)) * 1_000;
    }

    private static void pause(long milliseconds) {
        try {
            Thread.sleep(milliseconds + ThreadLocalRandom.current().nextLong(1 + milliseconds / 4));
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private static String completionText(Response response) {
        return parseBody(response).path("choices").path(0).path("text").asText();
    }

    private static String streamedText(Response response) {
        StringBuilder text = new StringBuilder();
        boolean done = false;
        for (String line : response.getResponseBody().split("\n")) {
            if (line.startsWith(END_OF_STREAM)) {
                done = true;
            } else if (line.startsWith("data: ")) {
                text.append(chunkText(line.substring("data: ".length())));
            }
        }
        return done ? text.toString() : null;
    }

    private static String chunkText(String json) {
        try {
            return MAPPER.readTree(json).path("choices").path(0).path("text").asText();
        } catch (IOException malformed) {
            return "";
        }
    }
}
