package io.rosemarybeam.testbed;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.rosemarybeam.platform.PlatformHeaders;
import org.asynchttpclient.RequestBuilder;

/**
 * Callers of a soak that read streams and resume them at any edge when they break off. Each stream must consist of all events
 * of one software version. Safe for use by several threads.
 */
final class SoakStreams {
    private static final int MAXIMUM_TRIES = 4;
    private static final Pattern EVENT = Pattern.compile("id: (\\d+)\ndata: ([^\n]*)\n\n");

    private final SoakDeployment deployment;
    private final SoakReport report;
    private final long seed;
    private final BooleanSupplier isRunning;
    private final AtomicInteger nextId = new AtomicInteger();

    SoakStreams(SoakDeployment deployment, SoakReport report, long seed, BooleanSupplier isRunning) {
        this.deployment = deployment;
        this.report = report;
        this.seed = seed;
        this.isRunning = isRunning;
    }

    /** Reads streams until the traffic is stopped. */
    void run(int number) {
        Random random = new Random(seed * 61 + number);
        while (isRunning.getAsBoolean()) {
            readStream("stream-" + nextId.incrementAndGet(), random);
            SoakTraffic.pause(random.nextInt(100));
        }
    }

    private void readStream(String id, Random random) {
        List<String> events = new ArrayList<>();
        String firstAttempt = "";
        for (int attempt = 1; attempt <= MAXIMUM_TRIES && events.size() < SoakEndpoint.TEXT_EVENTS; attempt++) {
            String attemptId = id + "-" + attempt;
            boolean resumes = !events.isEmpty();
            SoakDeployment.PartialAnswer answer =
                    deployment.callForPart(request(random, id, attemptId, firstAttempt, events.size()));
            report.count((resumes ? "resumed streams answered " : "new streams answered ") + answer.status());
            if (answer.status() == 200) {
                append(id, answer.text(), events);
            }
            if (firstAttempt.isEmpty() && !events.isEmpty()) {
                firstAttempt = attemptId;
            }
        }
        checkVersions(id, events);
    }

    private RequestBuilder request(Random random, String body, String id, String firstAttempt, int lastEvent) {
        RequestBuilder request = deployment
                .toEdge(random.nextInt(deployment.edges()), "POST", SoakDeployment.STREAM_PATH + "x")
                .setHeader(PlatformHeaders.REQUEST_ID, id)
                .setHeader(PlatformHeaders.DEADLINE, "1500")
                .setBody(body);
        return lastEvent == 0
                ? request
                : request.setHeader(PlatformHeaders.RESUMED_REQUEST, firstAttempt)
                        .setHeader(PlatformHeaders.LAST_EVENT_ID, String.valueOf(lastEvent));
    }

    private void append(String id, String text, List<String> events) {
        Matcher matcher = EVENT.matcher(text);
        while (matcher.find()) {
            events.add(matcher.group(2));
            if (Integer.parseInt(matcher.group(1)) != events.size()) {
                report.violation(id + " got event " + matcher.group(1) + " as its event " + events.size());
            }
        }
    }

    private void checkVersions(String id, List<String> events) {
        Set<String> versions = new LinkedHashSet<>(events);
        if (versions.size() > 1) {
            report.violation(id + " has events of several versions: " + versions);
        }
        report.count(events.size() == SoakEndpoint.TEXT_EVENTS ? "streams read to their end" : "streams given up");
    }
}
