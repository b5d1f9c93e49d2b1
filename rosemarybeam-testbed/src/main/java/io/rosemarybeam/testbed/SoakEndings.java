package io.rosemarybeam.testbed;

import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;

import org.asynchttpclient.RequestBuilder;

/**
 * Trainers of a soak that end their submissions while most of the items wait or run, at any edge: once or again, before the
 * submission has arrived, or over a connection that they close at once. Some send the submission again after its end.
 *
 * <p>Invariant: no submission is sent for the first time once {@code mayStart} is false. Each thread uses a random generator of
 * its own. Safe for use by several threads.
 */
final class SoakEndings {
    /** More than the endpoints take at once, so that items wait when the submission ends. */
    private static final int ITEMS = 40;

    /** One of so many items has a scorer that fails. */
    private static final int FAILING_SCORER_INTERVAL = 5;

    /** Makes the log grow past the 4 MiB after which a store host takes a snapshot, within a few seconds. */
    private static final int PADDING_BYTES = 16_384;

    private static final int MAXIMUM_RUN_MILLISECONDS = 1_500;

    /** Time in which an edge or a leader that is lost is replaced, several times over. */
    private static final long END_TIMEOUT_MILLISECONDS = 20_000;

    private final SoakDeployment deployment;
    private final SoakReport report;
    private final long seed;
    private final BooleanSupplier mayStart;
    private final AtomicInteger nextId = new AtomicInteger();
    private volatile boolean isPadded;

    /** When and how a trainer ends a submission. */
    private enum Way {
        ONCE,
        AGAIN,
        BESIDE_SUBMISSION,
        CONNECTION_CLOSED
    }

    SoakEndings(SoakDeployment deployment, SoakReport report, long seed, BooleanSupplier mayStart) {
        this.deployment = deployment;
        this.report = report;
        this.seed = seed;
        this.mayStart = mayStart;
    }

    /** Makes the items that are sent from now on large or small. */
    void setPadded(boolean padded) {
        isPadded = padded;
    }

    /** Sends submissions and ends them. */
    void run(int number) {
        Random random = new Random(seed * 73 + number);
        while (mayStart.getAsBoolean()) {
            String id = "ended-" + nextId.incrementAndGet();
            Way way = Way.values()[random.nextInt(Way.values().length)];
            SoakSubmission submission = new SoakSubmission(
                    id, ITEMS, SoakEndpoint.SLOW, FAILING_SCORER_INTERVAL, isPadded ? PADDING_BYTES : 0);
            report.ends().submitted(id, submission.work());
            report.count("submissions ended: " + way.name().toLowerCase(java.util.Locale.ROOT));
            if (way == Way.BESIDE_SUBMISSION) {
                int delay = random.nextInt(60);
                int edge = random.nextInt(deployment.edges());
                Thread submitting = Thread.ofVirtual().start(() -> {
                    SoakTraffic.pause(delay);
                    submit(submission, edge);
                });
                end(id, random, submitting);
            } else {
                submit(submission, random.nextInt(deployment.edges()));
                SoakTraffic.pause(random.nextInt(MAXIMUM_RUN_MILLISECONDS));
                endLater(id, way, random);
            }
            if (random.nextInt(4) == 0) {
                submit(submission, random.nextInt(deployment.edges()));
                end(id, random, Thread.currentThread());
            }
        }
    }

    private void endLater(String id, Way way, Random random) {
        if (way == Way.CONNECTION_CLOSED) {
            deployment.sendAndClose(random.nextInt(deployment.edges()), "DELETE", path(id));
            SoakTraffic.pause(random.nextInt(500));
        }
        end(id, random, Thread.currentThread());
        if (way == Way.AGAIN) {
            end(id, random, Thread.currentThread());
        }
    }

    private void submit(SoakSubmission submission, int edge) {
        RequestBuilder request = submission.request(deployment, edge);
        int status = SoakDeployment.status(deployment.call(request));
        report.count("submissions to be ended answered " + status);
        report.ends().answered(submission.id(), "POST", status, SoakReport.now());
    }

    /** Asks for an end until it is acknowledged; a submission that is not known is given up once nothing sends it. */
    private void end(String id, Random random, Thread submitting) {
        long deadline = SoakReport.now() + END_TIMEOUT_MILLISECONDS;
        report.ends().asked(id, SoakReport.now());
        while (SoakReport.now() < deadline) {
            boolean isSent = submitting == Thread.currentThread() || !submitting.isAlive();
            int status = SoakDeployment.status(
                    deployment.call(deployment.toEdge(random.nextInt(deployment.edges()), "DELETE", path(id))));
            report.count("ends answered " + status);
            report.ends().answered(id, "DELETE", status, SoakReport.now());
            if (isSent && (status == 200 || status == 404)) {
                return;
            }
            SoakTraffic.pause(status == 200 ? 20 : 100);
        }
        report.count("ends without an acknowledgement");
    }

    private static String path(String id) {
        return "/api/lots/" + id;
    }
}
