package io.rosemarybeam.entry;

import java.net.http.HttpResponse;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against completions that are truncated, duplicated, taken from another attempt or spliced from two attempts
 * without notice.
 */
class CompletionTest {
    private static final String BODY = "{\"model\":\"brailler-lm\",\"prompt\":\"p\",\"max_tokens\":8";
    private static final String COMPLETE_TEXT = ScriptedEndpoint.text(0, 8);

    private EntryHarness harness;
    private EntryHarness.Entry entry;

    @BeforeEach
    void start() throws Exception {
        harness = new EntryHarness(1);
        entry = harness.startReadyEntry("entry-1", "amman-a");
    }

    @AfterEach
    void stop() {
        harness.close();
    }

    private ScriptedEndpoint endpoint(String id, ScriptedEndpoint.Script script) {
        ScriptedEndpoint endpoint = harness.startEndpoint(script);
        assertEquals(
                200, harness.announce(entry, id, "brailler-lm", endpoint.url()).statusCode());
        return endpoint;
    }

    private static int offset(ScriptedEndpoint.Call call) {
        return Integer.parseInt(call.headers().getOrDefault("x-resume-offset", "0"));
    }

    private static void streamRemainingTokens(ScriptedEndpoint.Call call) throws java.io.IOException {
        call.startStream();
        for (int token = offset(call); token < 8; token += 2) {
            call.tokens(call.attempt(), token, 2, 7);
        }
        call.endStream();
    }

    private String postCompletion() throws Exception {
        HttpResponse<String> answer = harness.post(entry, "/v1/completions", BODY + "}");
        assertEquals(200, answer.statusCode(), answer.body());
        return Json.MAPPER.readTree(answer.body()).at("/choices/0/text").asText();
    }

    @Test
    void shouldAnswerWithCompleteTextWhenEndpointStreams() throws Exception {
        ScriptedEndpoint endpoint = endpoint("a", CompletionTest::streamRemainingTokens);
        assertEquals(COMPLETE_TEXT, postCompletion());
        ScriptedEndpoint.Call call = endpoint.calls().getFirst();
        assertTrue(call.body().contains("\"stream\":true"), call.body());
        assertEquals("0", call.headers().get("x-priority"));
    }

    @Test
    void shouldStreamWithEndMarkWhenCallerAsks() {
        endpoint("a", CompletionTest::streamRemainingTokens);
        String text = harness.post(entry, "/v1/completions", BODY + ",\"stream\":true}")
                .body();
        assertTrue(text.endsWith("data: [DONE]\n\n"), text);
        assertTrue(text.contains("\"weight_version\":7"), text);
    }

    @Test
    void shouldResumeAtOffsetWhenEndpointDisconnectsMidStream() throws Exception {
        ScriptedEndpoint.Script inTurn = ScriptedEndpoint.firstThenLater(
                call -> {
                    call.startStream();
                    call.tokens(call.attempt(), 0, 2, 7);
                    call.socket().close();
                },
                CompletionTest::streamRemainingTokens);
        ScriptedEndpoint first = endpoint("a", inTurn);
        ScriptedEndpoint second = endpoint("b", inTurn);
        String text = harness.post(entry, "/v1/completions", BODY + ",\"stream\":true}")
                .body();
        assertTrue(text.endsWith("data: [DONE]\n\n"), text);
        assertEquals(1, text.split("t0 ", -1).length - 1, text);
        ScriptedEndpoint.Call resumed = Stream.of(first, second)
                .flatMap(endpoint -> endpoint.calls().stream())
                .filter(call -> !"0".equals(call.headers().getOrDefault("x-resume-offset", "0")))
                .findFirst()
                .orElseThrow();
        assertEquals("2", resumed.headers().get("x-resume-offset"));
        assertTrue(resumed.body().contains("\"resume_text\":\"t0 t1 \""), resumed.body());
    }

    @Test
    void shouldRetryOnNewConnectionWhenEndpointStopsAnswering() throws Exception {
        ScriptedEndpoint.Script inTurn = ScriptedEndpoint.firstThenLater(
                call -> {
                    call.startStream();
                    Thread.sleep(5_000);
                },
                CompletionTest::streamRemainingTokens);
        endpoint("a", inTurn);
        endpoint("b", inTurn);
        long start = System.nanoTime();
        assertEquals(COMPLETE_TEXT, postCompletion());
        assertTrue(
                System.nanoTime() - start < 2_000_000_000L, "the entry waited too long for the unresponsive endpoint");
    }

    // An endpoint that mixes up its streams must not put the text of one attempt into the answer of another.
    @Test
    void shouldDropChunksWhenTheyCarryAnotherAttempt() throws Exception {
        ScriptedEndpoint.Script inTurn = ScriptedEndpoint.firstThenLater(
                call -> {
                    call.startStream();
                    call.tokens("other", 0, 8, 7);
                    call.endStream();
                },
                CompletionTest::streamRemainingTokens);
        endpoint("a", inTurn);
        endpoint("b", inTurn);
        assertEquals(COMPLETE_TEXT, postCompletion());
        String metrics = new String(entry.process().metrics().text(), java.nio.charset.StandardCharsets.UTF_8);
        assertTrue(metrics.contains("rosemarybeam_entry_mismatched_chunks_total 1"), metrics);
    }

    // All tokens arrive and the HTTP body ends properly, but without [DONE] the text may be truncated.
    @Test
    void shouldNotTreatAnswerAsCompleteWhenEndMarkIsMissing() throws Exception {
        ScriptedEndpoint.Script inTurn = ScriptedEndpoint.firstThenLater(
                call -> {
                    call.startStream();
                    call.tokens(call.attempt(), 0, 8, 7);
                    call.write("0\r\n\r\n");
                },
                CompletionTest::streamRemainingTokens);
        endpoint("a", inTurn);
        endpoint("b", inTurn);
        assertEquals(COMPLETE_TEXT, postCompletion());
    }

    // Tokens 2 and 3 are missing although the stream ends with its end mark.
    @Test
    void shouldNotTreatAnswerAsCompleteWhenChunkIsMissing() throws Exception {
        ScriptedEndpoint.Script inTurn = ScriptedEndpoint.firstThenLater(
                call -> {
                    call.startStream();
                    call.tokens(call.attempt(), 0, 2, 7);
                    call.tokens(call.attempt(), 4, 4, 7);
                    call.endStream();
                },
                CompletionTest::streamRemainingTokens);
        endpoint("a", inTurn);
        endpoint("b", inTurn);
        assertEquals(COMPLETE_TEXT, postCompletion());
    }

    @Test
    void shouldEndStreamWithoutEndMarkWhenNoEndpointFinishes() {
        endpoint("a", call -> {
            call.startStream();
            call.tokens(call.attempt(), 0, 2, 7);
            call.socket().close();
        });
        try {
            String text = harness.post(entry, "/v1/completions", BODY + ",\"stream\":true}")
                    .body();
            assertFalse(text.contains("[DONE]"), text);
        } catch (java.io.UncheckedIOException cut) {
            assertTrue(cut.getCause() instanceof java.io.IOException);
        }
    }

    @Test
    void shouldRefuseAsNotRunWhenNoEndpointCanBeReached() throws Exception {
        ScriptedEndpoint unreachable = harness.startEndpoint(call -> {});
        harness.announce(entry, "a", "brailler-lm", unreachable.url());
        unreachable.close();
        HttpResponse<String> answer = harness.post(entry, "/v1/completions", BODY + "}");
        assertEquals(
                "application/problem+json",
                answer.headers().firstValue("content-type").orElse(""));
        assertEquals("not-run", EntryHarness.json(answer.body()).get("run"), answer.body());
    }

    @Test
    void shouldForwardErrorWhenEngineRejectsMalformedRequest() {
        endpoint("a", call -> call.respond(400, "{\"error\":\"temperature\"}", "Content-Type", "application/json"));
        HttpResponse<String> answer = harness.post(entry, "/v1/completions", BODY + "}");
        assertEquals(400, answer.statusCode());
        assertEquals("{\"error\":\"temperature\"}", answer.body());
    }
}
