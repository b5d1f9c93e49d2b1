package io.rosemarybeam.store;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.rosemarybeam.common.id.ItemId;
import io.rosemarybeam.common.id.ModelName;
import io.rosemarybeam.common.id.SubmissionId;
import io.rosemarybeam.common.wire.StoreMessage.Outcome;
import io.rosemarybeam.common.wire.StoreMessage.ReadResults;
import io.rosemarybeam.common.wire.StoreMessage.StoreReply;
import io.rosemarybeam.common.wire.StoreMessage.SubmitBatch;
import io.rosemarybeam.common.wire.Submission;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against results that change their position and long texts that are generated again from the start when the leader
 * fails, and against an order that is sent twice because its first delivery was executed late.
 */
class BatchRecoveryTest {
    private static final String SERVICE = "engines";
    private static final SubmissionId SUBMISSION = SubmissionId.of("step-1");
    private static final String LONG_ITEM = "long";
    private static final int LONG_EVENTS = 300;
    private static final int HOSTS = 3;

    @TempDir
    Path folder;

    private final List<Throwable> failures = new CopyOnWriteArrayList<>();
    private StoreCluster cluster;
    private FakeEngine engine;

    @BeforeEach
    void start() throws IOException {
        cluster = new StoreCluster(folder, failures::add);
        engine = new FakeEngine("127.0.77.100");
        for (int host = 1; host <= HOSTS; host++) {
            cluster.start(host, true);
        }
        configure(1, false);
        announce(1);
    }

    private void configure(int version, boolean singleVersion) {
        String configuration = """
                {"Version":%d,"Routes":[{"Name":"r","Hostname":"a.example","PathPrefix":"/x/","RouteType":"rollout",
                "TimeoutMs":10000,"TargetLatencyMs":400,"RunAimMs":7500,"KeepS":40,"Backend":"engines","MaxAttempts":3,
                "SingleVersion":%s}],
                "Services":[{"Name":"engines","HealthPath":"/healthz","MaxConnections":50,"Protocol":"h1","Tls":false,
                "Engine":{"Capacity":4,"Models":[{"Name":"quotes"}]}}]}
                """.formatted(version, singleVersion);
        StoreCluster.await(
                "the configuration is accepted",
                () -> cluster.post(1, "/api/config/replace", configuration) == 200 ? true : null);
    }

    @AfterEach
    void close() {
        cluster.close();
        engine.close();
    }

    private void announce(long sequence) {
        announce("e-1", engine, sequence);
    }

    private void announce(String id, FakeEngine announced, long sequence) {
        for (int host : cluster.running()) {
            String heartbeat = announced.heartbeat(SERVICE, sequence);
            assertEquals(200, cluster.post(host, "/api/replicas/" + id + "/heartbeat", heartbeat));
        }
    }

    private static Submission submission(int shortItems) {
        List<Submission.Item> items = new ArrayList<>();
        items.add(item(LONG_ITEM));
        for (int number = 0; number < shortItems; number++) {
            items.add(item("short-" + number));
        }
        ModelName model = ModelName.of(FakeEngine.MODEL);
        return new Submission(SUBMISSION, "a.example", "/x/1", 0, Optional.of(model), 1, items.size(), items);
    }

    private static Submission.Item item(String id) {
        return new Submission.Item(
                ItemId.of(id), "/generate/" + id, Map.of(), new byte[] {1}, 400, 0, "g-" + id, Optional.empty());
    }

    private List<Submission.Result> results() {
        StoreReply reply = cluster.ask(new ReadResults(SUBMISSION, 0, 0));
        return reply.page().orElseThrow().results();
    }

    private List<Submission.Result> results(int count) {
        return StoreCluster.await(count + " results are listed", () -> {
            List<Submission.Result> listed = results();
            return listed.size() >= count ? listed : null;
        });
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

    private static List<String> ids(List<Submission.Result> results) {
        return results.stream().map(result -> result.item().value()).toList();
    }

    @Test
    void shouldRetainPositionsAndResumeLongTextWhenLeaderFails() throws InterruptedException {
        engine.setEventCount(LONG_ITEM, LONG_EVENTS);
        assertEquals(Outcome.DONE, cluster.ask(new SubmitBatch(submission(3))).outcome());
        List<Submission.Result> before = results(3);
        Thread.sleep(1_500);

        cluster.stop(leader());
        announce(2);
        List<Submission.Result> after = results(4);

        assertEquals(ids(before), ids(after).subList(0, 3));
        String text = new String(after.get(3).text(), StandardCharsets.UTF_8);
        assertEquals(LONG_EVENTS, text.lines().count());
        assertTrue(text.endsWith(LONG_ITEM + "-" + LONG_EVENTS), "the text is truncated");
        List<String> runs =
                engine.runs.stream().filter(run -> run.startsWith(LONG_ITEM)).toList();
        assertEquals("long after 0", runs.getFirst());
        int resumedAfter = Integer.parseInt(runs.getLast().substring("long after ".length()));
        assertTrue(resumedAfter >= 25, "the text was generated again from the start: " + runs);
        assertEquals(ids(after), ids(results()));
    }

    /** A leader that ends because of one item would take its successors with it, one after the other. */
    @Test
    void shouldNotEndTheLeaderWhenAnItemCannotBeSent() {
        List<Submission.Item> items = List.of(
                unsendable("bad-header", "/generate/x", Map.of("not a name", "value")),
                unsendable("bad-value", "/generate/x", Map.of("Name", "first\r\nsecond: line")),
                unsendable("bad-path", "/generate/a b\r\n", Map.of()),
                item("sound"));
        Submission submission = new Submission(
                SUBMISSION, "a.example", "/x/1", 0, Optional.of(ModelName.of(FakeEngine.MODEL)), 1, 1, items);

        assertEquals(Outcome.DONE, cluster.ask(new SubmitBatch(submission)).outcome());

        List<Submission.Result> results = results(items.size());
        List<String> completed =
                ids(results.stream().filter(Submission.Result::completed).toList());
        assertEquals(List.of("sound"), completed);
        assertEquals(List.of(), failures, "store processes have failed");
    }

    private static Submission.Item unsendable(String id, String path, Map<String, String> headers) {
        return new Submission.Item(ItemId.of(id), path, headers, new byte[] {1}, 400, 0, "g", Optional.empty());
    }

    /** Bytes without end would fill the memory of the leader, because no complete event arrives. */
    @Test
    void shouldRunItemAgainWhenItsStreamSendsBytesWithoutEnd() {
        engine.startEndlessRun();
        assertEquals(Outcome.DONE, cluster.ask(new SubmitBatch(submission(0))).outcome());

        assertTrue(results(1).getFirst().completed());
        assertTrue(engine.bytesWithoutEvent() < 32 * 1_048_576, engine.bytesWithoutEvent() + " bytes were read");
    }

    /** Events without end would fill the memory of all hosts, because texts are stored in the log. */
    @Test
    void shouldRunItemsElsewhereWhenAnEngineSendsEventsWithoutEnd() throws IOException {
        try (FakeEngine endless = new FakeEngine("127.0.77.101")) {
            endless.sendEventsWithoutEnd();
            announce("e-2", endless, 1);
            assertEquals(
                    Outcome.DONE, cluster.ask(new SubmitBatch(submission(7))).outcome());

            List<Submission.Result> results = results(8);

            assertTrue(!endless.runs.isEmpty(), "the faulty engine got no item");
            assertTrue(results.stream().allMatch(Submission.Result::completed), "an item was given up");
            results.forEach(result ->
                    assertEquals(result.item().value() + "-1", new String(result.text(), StandardCharsets.UTF_8)));
            assertTrue(
                    endless.bytesOfEventsWithoutEnd() < 32 * 1_048_576,
                    endless.bytesOfEventsWithoutEnd() + " bytes were read");
        }
    }

    /** The engine that generated the start of a text crashes, and the others have loaded newer weights. */
    @Test
    void shouldStartItemAgainWhenNoEngineHasTheOnlyVersionOfItsText() throws IOException, InterruptedException {
        configure(2, true);
        engine.setEventCount(LONG_ITEM, LONG_EVENTS);
        assertEquals(Outcome.DONE, cluster.ask(new SubmitBatch(submission(0))).outcome());
        StoreCluster.await("the item runs", () -> engine.runs.isEmpty() ? null : true);
        Thread.sleep(500);

        engine.close();
        engine = new FakeEngine("127.0.77.100");
        engine.executeOrder(2);
        for (int host : cluster.running()) {
            assertEquals(200, cluster.post(host, "/api/replicas/e-2/heartbeat", engine.heartbeat(SERVICE, 1)));
        }

        Submission.Result result = results(1).getFirst();
        assertTrue(result.completed());
        assertEquals(List.of(2L), result.versions());
        assertEquals("long after 0", engine.runs.getFirst());
    }

    private FakeEngine startEngine(String id, String softwareVersion) throws IOException {
        return startEngine(id, softwareVersion, 1);
    }

    private FakeEngine startEngine(String id, String softwareVersion, long weightVersion) throws IOException {
        FakeEngine started = new FakeEngine("127.0.77.100", softwareVersion);
        started.executeOrder(weightVersion);
        started.setEventCount(LONG_ITEM, LONG_EVENTS);
        announce(id, started, 1);
        return started;
    }

    private void startLongItem() throws InterruptedException {
        engine.setEventCount(LONG_ITEM, LONG_EVENTS);
        assertEquals(Outcome.DONE, cluster.ask(new SubmitBatch(submission(0))).outcome());
        StoreCluster.await("the item runs", () -> engine.runs.isEmpty() ? null : true);
        Thread.sleep(500);
    }

    /** What two software versions generate does not fit together, and endpoints do not check it. */
    @Test
    void shouldStartItemAgainWhenOnlyEnginesOfAnotherSoftwareVersionAreLeft() throws Exception {
        startLongItem();

        engine.close();
        engine = startEngine("e-2", "v2");

        assertTrue(results(1).getFirst().completed());
        assertEquals("long after 0", engine.runs.getFirst());
    }

    @Test
    void shouldContinueItemAtItsSoftwareVersionWhenEnginesOfAnotherOneAreFree() throws Exception {
        startLongItem();
        try (FakeEngine newer = startEngine("e-0", "v2");
                FakeEngine same = startEngine("e-2", "v1")) {
            engine.close();

            assertTrue(results(1).getFirst().completed());
            assertEquals(List.of(), newer.runs);
            assertFalse(same.runs.getFirst().endsWith(" after 0"), same.runs.toString());
        }
    }

    /** The last engines of an earlier release may be assigned to other models, and then load no newer weights of this one. */
    @Test
    void shouldStartItemAgainWhenEnginesOfItsSoftwareVersionHaveOldWeights() throws Exception {
        engine.executeOrder(2);
        announce(2);
        engine.setEventCount(LONG_ITEM, LONG_EVENTS);
        Submission fresh = new Submission(
                SUBMISSION,
                "a.example",
                "/x/1",
                0,
                Optional.of(ModelName.of(FakeEngine.MODEL)),
                2,
                1,
                List.of(item(LONG_ITEM)));
        assertEquals(Outcome.DONE, cluster.ask(new SubmitBatch(fresh)).outcome());
        StoreCluster.await("the item runs", () -> engine.runs.isEmpty() ? null : true);
        Thread.sleep(500);

        try (FakeEngine outdated = startEngine("e-2", "v1", 1);
                FakeEngine released = startEngine("e-3", "v2", 2)) {
            engine.close();

            long[] sequence = {1};
            StoreCluster.await("the item starts again", () -> {
                sequence[0]++;
                announce("e-2", outdated, sequence[0]);
                announce("e-3", released, sequence[0]);
                return released.runs.isEmpty() ? null : true;
            });
            assertTrue(results(1).getFirst().completed());
            assertEquals(List.of(), outdated.runs);
            assertEquals(List.of("long after 0"), released.runs);
        }
    }

    /** The successor of a leader learns the software version of a stored text from the log. */
    @Test
    void shouldNotContinueAStoredTextAtAnotherSoftwareVersionWhenLeaderFails() throws Exception {
        startLongItem();
        Thread.sleep(1_000);
        try (FakeEngine newer = startEngine("e-0", "v2")) {
            cluster.stop(leader());
            engine.close();

            assertTrue(results(1).getFirst().completed());
            assertEquals(List.of("long after 0"), newer.runs);
        }
    }

    /** The connection closes without a response and the order is executed later: the endpoint's report decides. */
    @Test
    void shouldNotOrderAgainWhenOrderWasExecutedLate() throws InterruptedException {
        engine.deferOrders();
        StoreCluster.await(
                "the version is published",
                () -> cluster.post(1, "/api/version-put", "{\"Model\":\"quotes\",\"Version\":2}") == 200 ? true : null);
        StoreCluster.await("an order is sent", () -> engine.orders.isEmpty() ? null : true);
        engine.executeOrder(2);
        Thread.sleep(1_500);

        int sent = engine.orders.size();
        Thread.sleep(2_500);
        assertEquals(sent, engine.orders.size(), engine.orders.toString());
        assertEquals(2, engine.version());
        engine.orders.forEach(order -> assertTrue(order.contains("\"Expected\":0"), order));
    }
}
