package io.rosemarybeam.testbed;

import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.rosemarybeam.platform.PlatformHeaders;
import org.asynchttpclient.RequestBuilder;
import org.asynchttpclient.Response;

/**
 * Callers and a trainer of a soak. They stay on their edge, over the open connection, until it fails them.
 *
 * <p>Each thread uses a random generator of its own. Safe for use by several threads.
 */
final class SoakTraffic {
    private static final int ITEMS = 8;

    /** Time for which a stall of the machine can affect requests, in milliseconds. */
    private static final long STALL_EFFECT_MILLISECONDS = 4_000;

    private static final ObjectMapper JSON = new ObjectMapper();

    private final SoakDeployment deployment;
    private final SoakReport report;
    private final long seed;
    private final AtomicInteger nextId = new AtomicInteger();
    private final Set<String> openSubmissions = ConcurrentHashMap.newKeySet();
    private volatile boolean running = true;

    /** Whether all faults are over and a sound request must succeed. */
    private volatile boolean calm;

    SoakTraffic(SoakDeployment deployment, SoakReport report, long seed) {
        this.deployment = deployment;
        this.report = report;
        this.seed = seed;
    }

    void setCalm() {
        calm = true;
    }

    void stop() {
        running = false;
    }

    boolean isRunning() {
        return running;
    }

    /** Returns whether trainers may send new submissions. */
    boolean mayStart() {
        return running && !calm;
    }

    Set<String> openSubmissions() {
        return openSubmissions;
    }

    private String newId(String kind) {
        return kind + "-" + nextId.incrementAndGet();
    }

    /** Sends requests that may be repeated and orders that may not, until the traffic is stopped. */
    void runCaller(int number) {
        Random random = new Random(seed * 31 + number);
        int edge = random.nextInt(deployment.edges());
        while (running) {
            boolean isOrder = random.nextInt(3) == 0;
            String id = newId(isOrder ? "order" : "lookup");
            boolean mustSucceed = calm;
            long sentAt = SoakReport.now();
            Response response = deployment.call(request(edge, isOrder, id, "body of " + id));
            int status = SoakDeployment.status(response);
            report.count((isOrder ? "orders answered " : "lookups answered ") + status);
            if (isOrder) {
                report.orderAnswered(id, status);
            }
            if (status == 200) {
                checkAnswer(id, response);
            } else {
                edge = random.nextInt(deployment.edges());
                if (mustSucceed) {
                    checkCalmFailure(id, status, sentAt);
                }
            }
            pause(random.nextInt(40));
        }
    }

    /** A stall of the machine shortly before can still be the reason: elections and reconnections take a moment. */
    private void checkCalmFailure(String id, int status, long sentAt) {
        if (report.stalls().hasStalledSince(sentAt - STALL_EFFECT_MILLISECONDS)) {
            report.count("not judged, because the machine stalled");
        } else {
            report.violation(id + " was answered " + status + " although all was calm, " + (SoakReport.now() - sentAt)
                    + " ms after it was sent" + report.describeRuns(id, sentAt));
        }
    }

    private RequestBuilder request(int edge, boolean isOrder, String id, String body) {
        String path = (isOrder ? SoakDeployment.ORDER_PATH : SoakDeployment.LOOKUP_PATH) + "x";
        return deployment
                .toEdge(edge, "POST", path)
                .setHeader(PlatformHeaders.REQUEST_ID, id)
                .setHeader(PlatformHeaders.DEADLINE, "1500")
                .setBody(body);
    }

    private void checkAnswer(String id, Response response) {
        boolean isOwn = response.getResponseBody().equals(SoakEndpoint.ANSWER_PREFIX + "body of " + id)
                && ("d-body of " + id).equals(response.getHeader(PlatformHeaders.DIGEST));
        if (!isOwn) {
            report.violation(id + " got the answer " + response.getResponseBody());
        }
    }

    /** Sends the same crashing request again and again, to any edge. */
    void runCrashingCaller(int number) {
        Random random = new Random(seed * 37 + number);
        while (running) {
            int edge = random.nextInt(deployment.edges());
            String body = SoakEndpoint.POISON + "-" + number;
            int status = SoakDeployment.status(deployment.call(request(edge, false, newId("poison"), body)));
            report.count("crashing requests answered " + status);
            pause(200 + random.nextInt(300));
        }
    }

    /** Submits batches of items and reads their results. */
    void runTrainer() {
        Random random = new Random(seed * 41);
        while (mayStart()) {
            String id = newId("step");
            openSubmissions.add(id);
            while (running && !submit(id, random)) {
                pause(200);
            }
            for (int read = 0; read < 6 && running; read++) {
                pause(300);
                openSubmissions.forEach(open -> read(open, random));
            }
        }
    }

    private boolean submit(String id, Random random) {
        SoakSubmission submission = new SoakSubmission(id, ITEMS, "", 0, 0);
        report.ends().submitted(id, submission.work());
        RequestBuilder request = submission.request(deployment, random.nextInt(deployment.edges()));
        int status = SoakDeployment.status(deployment.call(request));
        report.count("submissions answered " + status);
        return status == 202;
    }

    /** Reads the results of a submission, and closes it when all of them are listed. */
    void read(String id, Random random) {
        Response response = deployment.call(
                deployment.toEdge(random.nextInt(deployment.edges()), "GET", "/api/lots/" + id + "?After=0"));
        if (SoakDeployment.status(response) != 200) {
            return;
        }
        try {
            JsonNode page = JSON.readTree(response.getResponseBody());
            if (page.path("Results").size() == ITEMS) {
                checkResults(id, page.path("Results"));
                openSubmissions.remove(id);
            }
        } catch (JsonProcessingException malformed) {
            report.violation(id + " got the results " + response.getResponseBody());
        }
    }

    private void checkResults(String id, JsonNode results) {
        for (JsonNode result : results) {
            String item = result.path("Id").asText();
            List<String> lines = List.of(result.path("Text").asText().split("\n"));
            boolean isWhole = result.path("State").asText().equals("completed")
                    && lines.size() == SoakEndpoint.TEXT_EVENTS
                    && lines.getFirst().startsWith(item + "@")
                    && lines.stream().distinct().count() == 1
                    && result.path("Score").asText().equals("d-score " + item);
            report.count(isWhole ? "items completed" : "items not completed");
            if (!isWhole) {
                report.violation(id + " has the result " + result);
            }
        }
    }

    static void pause(long milliseconds) {
        try {
            Thread.sleep(milliseconds);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
