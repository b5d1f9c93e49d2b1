package io.rosemarybeam.store;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.rosemarybeam.common.id.ItemId;
import io.rosemarybeam.common.id.ModelName;
import io.rosemarybeam.common.id.SubmissionId;
import io.rosemarybeam.common.wire.StoreMessage.EndSubmission;
import io.rosemarybeam.common.wire.StoreMessage.Outcome;
import io.rosemarybeam.common.wire.StoreMessage.SubmitBatch;
import io.rosemarybeam.common.wire.Submission;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;

/**
 * Guards against items and score requests of an ended submission that a former leader sends after a stall, before it knows of its
 * successor.
 */
class StalledLeaderTest {
    private static final SubmissionId SUBMISSION = SubmissionId.of("step-1");

    /** More than the slots of the engine, so that some wait when the leader stalls. */
    private static final int ITEMS = 40;

    /** The runs outlast an election, at 10 ms an event, and end during the stall. */
    private static final int EVENTS = 300;

    /** After it the former leader has read what arrived during its stall and has been told of its successor. */
    private static final long OBSERVATION_MILLISECONDS = 2_000;

    private static final int HOSTS = 3;

    @TempDir
    Path folder;

    private final List<Throwable> failures = new CopyOnWriteArrayList<>();
    private StoreCluster cluster;
    private FakeEngine engine;

    @BeforeEach
    void start() throws IOException {
        cluster = new StoreCluster(folder, failures::add);
        engine = new FakeEngine("127.0.77.107");
        for (int host = 1; host <= HOSTS; host++) {
            cluster.start(host, true);
        }
        String configuration = """
                {"Version":1,"Routes":[{"Name":"r","Hostname":"a.example","PathPrefix":"/x/","RouteType":"rollout",
                "TimeoutMs":60000,"TargetLatencyMs":400,"RunAimMs":30000,"KeepS":40,"Backend":"engines","MaxAttempts":3,
                "SingleVersion":false},
                {"Name":"s","Hostname":"b.example","PathPrefix":"/score/","RouteType":"idempotent","TimeoutMs":2000,
                "TargetLatencyMs":400,"Backend":"engines","MaxAttempts":3}],
                "Services":[{"Name":"engines","HealthPath":"/healthz","MaxConnections":50,"Protocol":"h1","Tls":false,
                "Engine":{"Capacity":4,"Models":[{"Name":"quotes"}]}}]}
                """;
        StoreCluster.await(
                "the configuration is accepted",
                () -> cluster.post(1, "/api/config/replace", configuration) == 200 ? true : null);
        for (int host : cluster.running()) {
            assertEquals(200, cluster.post(host, "/api/replicas/e-1/heartbeat", engine.heartbeat("engines", 1)));
        }
    }

    @AfterEach
    void close() {
        cluster.close();
        engine.close();
    }

    private static Submission submission(boolean hasScorers) {
        List<Submission.Item> items = IntStream.range(0, ITEMS)
                .mapToObj(number -> new Submission.Item(
                        ItemId.of("i-" + number),
                        "/generate/i-" + number,
                        Map.of(),
                        new byte[] {1},
                        EVENTS,
                        0,
                        "g-" + number,
                        scorer(number).filter(ignored -> hasScorers)))
                .toList();
        return new Submission(
                SUBMISSION, "a.example", "/x/1", 0, Optional.of(ModelName.of(FakeEngine.MODEL)), 1, ITEMS, items);
    }

    private static Optional<Submission.Scorer> scorer(int number) {
        return Optional.of(new Submission.Scorer("s-" + number, "b.example", "/score/x", new byte[0]));
    }

    private int leader() {
        return StoreCluster.await("a host is leader", () -> {
            for (int host : cluster.running()) {
                JsonNode dump = new ObjectMapper().readTree(cluster.dump(host));
                if (dump.path("role").asText().equals("LEADER")) {
                    return host;
                }
            }
            return null;
        });
    }

    private Outcome endAtAnotherHost(int former) {
        return StoreCluster.await("another leader ends the submission", () -> {
            for (int host : cluster.running()) {
                if (host != former) {
                    Outcome outcome =
                            cluster.ask(host, EndSubmission.of(SUBMISSION)).outcome();
                    if (outcome == Outcome.DONE) {
                        return outcome;
                    }
                }
            }
            return null;
        });
    }

    @Test
    void shouldNotSendItemsAfterAStallWhenASuccessorHasEndedTheirSubmission() throws InterruptedException {
        assertNothingIsSentAfterTheStall(false);
    }

    /** The texts become complete while the leader stalls, so that their scores are requested as soon as it goes on. */
    @Test
    void shouldNotRequestScoresAfterAStallWhenASuccessorHasEndedTheSubmission() throws InterruptedException {
        assertNothingIsSentAfterTheStall(true);
    }

    private void assertNothingIsSentAfterTheStall(boolean hasScorers) throws InterruptedException {
        IntStream.range(0, ITEMS).forEach(number -> engine.setEventCount("i-" + number, EVENTS));
        assertEquals(
                Outcome.DONE,
                cluster.ask(new SubmitBatch(submission(hasScorers))).outcome());
        StoreCluster.await("items run", () -> engine.runs.isEmpty() ? null : true);
        int former = leader();
        CountDownLatch stall = new CountDownLatch(1);
        cluster.stall(former, stall);

        assertEquals(Outcome.DONE, endAtAnotherHost(former));
        TimeUnit.MILLISECONDS.sleep(EVENTS);
        int runsAtTheEnd = engine.runs.size();
        int scoresAtTheEnd = engine.scores.size();
        stall.countDown();

        TimeUnit.MILLISECONDS.sleep(OBSERVATION_MILLISECONDS);
        assertEquals(runsAtTheEnd, engine.runs.size(), () -> "runs " + engine.runs);
        assertEquals(scoresAtTheEnd, engine.scores.size(), () -> "scores " + engine.scores);
        assertEquals(List.of(), failures);
    }
}
