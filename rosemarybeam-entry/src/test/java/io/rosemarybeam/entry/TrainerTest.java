package io.rosemarybeam.entry;

import java.net.http.HttpResponse;
import java.util.List;

import io.rosemarybeam.common.id.StepId;
import io.rosemarybeam.common.id.TrainerName;
import io.rosemarybeam.common.id.WeightVersion;
import io.rosemarybeam.common.wire.PeerRequest.SampleBody;
import io.rosemarybeam.common.wire.StepRecords.VersionSpan;
import io.rosemarybeam.decision.step.StepInput.StepKey;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against steps that only one entry can serve, against equal seeds within a group, and against copies that
 * exceed the store limit.
 */
class TrainerTest {
    private static final String STEP = """
            {"stepId": "s1", "service": "brailler-lm", "trainerVersion": 7,
             "groups": [{"prompt": "p", "samples": 3, "maximumTokens": 4}]}""";
    private static final String STEPS = "/v1/trainers/trainer-a/steps";

    private EntryHarness harness;
    private EntryHarness.Entry first;
    private EntryHarness.Entry second;
    private ScriptedEndpoint engine;

    @BeforeEach
    void start() throws Exception {
        harness = new EntryHarness(1);
        first = harness.startReadyEntry("entry-1", "amman-a");
        second = harness.startReadyEntry("entry-2", "amman-b");
        EntryHarness.await(() -> harness.get(first, "/v1/addresses").body().contains(second.address()));
        engine = harness.startEndpoint(call -> {
            call.startStream();
            call.tokens(call.attempt(), 0, 4, 7);
            call.endStream();
        });
        harness.announce(first, "a", "brailler-lm", engine.url());
        harness.announce(second, "a", "brailler-lm", engine.url());
    }

    @AfterEach
    void stop() {
        harness.close();
    }

    private int collectSamples(EntryHarness.Entry entry) throws Exception {
        int samples = 0;
        for (int cursor = 1; samples < 3 && cursor <= 3; cursor++) {
            HttpResponse<String> answer = harness.get(entry, STEPS + "/s1/samples?cursor=" + cursor + "&maximum=3");
            assertEquals(200, answer.statusCode(), answer.body());
            for (var sample : Json.MAPPER.readTree(answer.body()).path("samples")) {
                assertEquals(7, sample.at("/spans/0/version").asInt(), answer.body());
                assertEquals(ScriptedEndpoint.text(0, 4), sample.path("text").asText());
                samples++;
            }
            HttpResponse<String> acknowledged =
                    harness.post(entry, STEPS + "/s1/acknowledgements", "{\"cursor\":" + cursor + "}");
            assertEquals(200, acknowledged.statusCode(), acknowledged.body());
        }
        return samples;
    }

    @Test
    void shouldDeliverStepWhenTrainerContactsOwner() throws Exception {
        assertEquals(200, harness.post(first, STEPS, STEP).statusCode());
        assertEquals(3, collectSamples(first));
    }

    // With equal seeds all samples of a group would be the same text.
    @Test
    void shouldSendDistinctSeedForEachSampleOfGroup() throws Exception {
        assertEquals(200, harness.post(first, STEPS, STEP).statusCode());
        assertEquals(3, collectSamples(first));
        long seeds = engine.calls().stream()
                .map(call -> call.body().replaceAll(".*\"seed\":(\\d+).*", "$1"))
                .distinct()
                .count();
        assertEquals(3, seeds);
    }

    @Test
    void shouldRelayWhenAnotherEntryOwnsStep() throws Exception {
        assertEquals(200, harness.post(first, STEPS, STEP).statusCode());
        assertEquals(3, collectSamples(second));
    }

    @Test
    void shouldTakeStepOverWhenOwnerWasRemoved() throws Exception {
        assertEquals(200, harness.post(first, STEPS, STEP).statusCode());
        first.process().close();
        synchronized (harness.state) {
            harness.state.entries.remove("entry-1");
            harness.state.version++;
        }
        assertEquals(3, collectSamples(second));
    }

    @Test
    void shouldRefuseWhenStepIsMalformed() {
        assertEquals(400, harness.post(first, STEPS, "{\"stepId\":\"s\"}").statusCode());
        assertEquals(400, harness.post(first, STEPS, "[]").statusCode());
        assertEquals(400, harness.get(first, STEPS + "/s1/samples?cursor=x").statusCode());
    }

    @Test
    void shouldRefuseCopiesWhenStoreIsFull() {
        BodyStore store = new BodyStore(3_000);
        StepKey step = new StepKey(TrainerName.of("t"), StepId.of("s"));
        List<VersionSpan> spans = List.of(new VersionSpan(WeightVersion.of(1), 4));
        SampleBody small = new SampleBody(0, "d", "x".repeat(500), spans, Double.NaN);
        SampleBody large = new SampleBody(1, "d", "x".repeat(2_000), spans, Double.NaN);
        assertTrue(store.store(step, List.of(small), 0));
        assertTrue(store.store(step, List.of(small), 0), "storing the same copy again must not use more space");
        assertFalse(store.store(step, List.of(large), 0));
        assertEquals(List.of(small), store.fetch(step, List.of(), 1, 0));
        store.drop(step, List.of(0));
        assertEquals(0, store.usedBytes());
    }
}
