package io.rosemarybeam.testbed;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.rosemarybeam.testbed.LoadReport.Outcome;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.RequestBuilder;
import org.asynchttpclient.Response;

/**
 * Runs training steps as a trainer does: opens a step, reads and acknowledges its samples, and publishes the next weights.
 *
 * <p>Checks that each sample is delivered once, lists the weight versions that produced it, and is within the staleness
 * bound. Not safe for use by several threads; confined to one thread.
 */
public final class TrainerLoad {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(20);

    private static final long RETRY_DELAY_MILLISECONDS = 250;
    private static final int SAMPLES_PER_READ = 64;

    /**
     * Size and limits of each step that a trainer opens. Immutable.
     *
     * @param trainer name of the trainer
     * @param service name of the model service
     * @param groups groups per step
     * @param samplesPerGroup samples per group
     * @param maximumTokens maximum length of a sample, in tokens
     * @param stalenessBound maximum number of weight versions by which a sample may lag behind the trainer
     * @param stepDeadline time within which all samples of a step must arrive, from the opening of the step
     */
    public record Plan(
            String trainer,
            String service,
            int groups,
            int samplesPerGroup,
            int maximumTokens,
            int stalenessBound,
            Duration stepDeadline) {}

    private final AsyncHttpClient client;
    private final EntryDirectory directory;
    private final LoadReport report;
    private final Plan plan;
    private long version;

    /**
     * Creates a trainer.
     *
     * @param client sends the requests
     * @param directory selects the entry host for each request
     * @param report receives the outcomes
     * @param plan size and limits of each step
     * @param version weight version of the first step
     */
    public TrainerLoad(AsyncHttpClient client, EntryDirectory directory, LoadReport report, Plan plan, long version) {
        this.client = client;
        this.directory = directory;
        this.report = report;
        this.plan = plan;
        this.version = version;
    }

    /**
     * Runs one step and publishes the next weight version. The version is also published if samples are missing, but
     * not if the step could not be opened.
     *
     * @param step identifier of the step, unique for this trainer
     */
    public void runStep(String step) {
        long start = ModelEngine.nowMilliseconds();
        long deadline = start + plan.stepDeadline().toMillis();
        String stepsPath = "/v1/trainers/" + plan.trainer() + "/steps";
        if (!post(stepsPath, stepJson(step), deadline)) {
            report.count(Outcome.STEP_INCOMPLETE);
            return;
        }
        if (collectSamples(stepsPath + "/" + step, deadline)) {
            report.count(Outcome.STEP_WHOLE);
            report.record("time until a step is whole", ModelEngine.nowMilliseconds() - start);
        } else {
            report.count(Outcome.STEP_INCOMPLETE);
        }
        ObjectNode weights = MAPPER.createObjectNode();
        weights.put("service", plan.service());
        weights.put("version", version + 1);
        if (post("/v1/trainers/" + plan.trainer() + "/weights", weights.toString(), deadline)) {
            version++;
        }
    }

    private String stepJson(String step) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("stepId", step);
        node.put("service", plan.service());
        node.put("trainerVersion", version);
        ArrayNode groups = node.putArray("groups");
        for (int group = 0; group < plan.groups(); group++) {
            ObjectNode entry = groups.addObject();
            entry.put("prompt", "train " + plan.trainer() + " " + step + " " + group);
            entry.put("samples", plan.samplesPerGroup());
            entry.put("maximumTokens", plan.maximumTokens());
        }
        return node.toString();
    }

    private boolean collectSamples(String stepPath, long deadline) {
        int expected = plan.groups() * plan.samplesPerGroup();
        Map<Integer, Long> cursorBySample = new HashMap<>();
        long cursor = 1;
        while (cursorBySample.size() < expected && ModelEngine.nowMilliseconds() < deadline) {
            JsonNode answer = read(stepPath, cursor);
            if (answer == null || answer.path("samples").isEmpty()) {
                pause();
                continue;
            }
            for (JsonNode sample : answer.path("samples")) {
                checkSample(sample, cursor, cursorBySample);
            }
            if (post(stepPath + "/acknowledgements", "{\"cursor\":" + cursor + "}", deadline)) {
                cursor++;
            }
        }
        return cursorBySample.size() == expected;
    }

    private void checkSample(JsonNode sample, long cursor, Map<Integer, Long> cursorBySample) {
        Long earlierCursor = cursorBySample.put(sample.path("index").asInt(), cursor);
        if (earlierCursor != null && earlierCursor != cursor) {
            report.count(Outcome.DELIVERED_TWICE);
        }
        Set<Long> versions = new HashSet<>();
        sample.path("spans").forEach(span -> versions.add(span.path("version").asLong()));
        if (versions.isEmpty()) {
            report.count(Outcome.UNLABELLED);
        }
        for (long sampleVersion : versions) {
            report.record("versions that a sample lags behind", Math.max(0, version - sampleVersion));
            if (version - sampleVersion > plan.stalenessBound()) {
                report.count(Outcome.TOO_STALE);
            }
        }
    }

    private JsonNode read(String stepPath, long cursor) {
        String path = stepPath + "/samples?cursor=" + cursor + "&maximum=" + SAMPLES_PER_READ;
        Response response = send("GET", path, "");
        if (response == null || response.getStatusCode() != 200) {
            return null;
        }
        try {
            return MAPPER.readTree(response.getResponseBody());
        } catch (IOException malformed) {
            return null;
        }
    }

    private boolean post(String path, String body, long deadline) {
        while (ModelEngine.nowMilliseconds() < deadline) {
            Response response = send("POST", path, body);
            if (response != null && response.getStatusCode() < 300) {
                return true;
            }
            report.count(
                    "trainer requests tried again" + (response == null ? "" : " after " + response.getStatusCode()));
            pause();
        }
        return false;
    }

    private Response send(String method, String path, String body) {
        String entry = directory.nextAddress();
        RequestBuilder builder =
                new RequestBuilder(method).setUrl("http://" + entry + path).setRequestTimeout(REQUEST_TIMEOUT);
        if (!body.isEmpty()) {
            builder.setHeader("Content-Type", "application/json").setBody(body.getBytes(StandardCharsets.UTF_8));
        }
        try {
            return client.executeRequest(builder.build()).toCompletableFuture().join();
        } catch (RuntimeException unreachable) {
            directory.removeAddress(entry);
            return null;
        }
    }

    private static void pause() {
        try {
            Thread.sleep(RETRY_DELAY_MILLISECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
