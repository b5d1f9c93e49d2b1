package io.rosemarybeam.entry;

import java.net.http.HttpResponse;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.params.provider.Arguments.arguments;

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

    private static Stream<Arguments> continuations() {
        String ok = "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\n";
        String stream = ok + "Content-Type: text/event-stream\r\n";
        String token = "data: {\"id\":\"{id}\",\"index\":2,\"token_count\":2,\"text\":\"t2 t3 \"}\n\n";
        String done = "data: [DONE]\n\n";
        return Stream.of(
                arguments("empty 200", stream + "Content-Length: 0\r\n\r\n"),
                arguments("empty 200 without length", stream + "\r\n"),
                arguments("error as 200", ok + "Content-Length: 14\r\n\r\n{\"error\":\"x\"}"),
                arguments("201", "HTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\n{}"),
                arguments("204", "HTTP/1.1 204 No Content\r\n\r\n"),
                arguments("302", "HTTP/1.1 302 Found\r\nLocation: /\r\nContent-Length: 0\r\n\r\n"),
                arguments("103", "HTTP/1.1 103 Early Hints\r\n\r\n"),
                arguments("500", "HTTP/1.1 500 Error\r\nContent-Length: 5\r\n\r\nerror"),
                arguments("503 not run", "HTTP/1.1 503 Full\r\nX-Run: not-run\r\nContent-Length: 0\r\n\r\n"),
                arguments("head that stops", stream),
                arguments("half a status line", "HTTP/1.1 20"),
                arguments("no HTTP", "error"),
                arguments("nothing", ""),
                arguments("no end mark", stream + "\r\n" + token),
                arguments("half an end mark", stream + "\r\n" + token + "data: [DON"),
                arguments("end mark without line feed", stream + "\r\n" + token + "data: [DONE]"),
                arguments("half an event", stream + "\r\n" + token.substring(0, token.length() - 9)),
                arguments("first tokens again", stream + "\r\n" + token.replace(":2,\"tok", ":0,\"tok") + done),
                arguments("tokens left out", stream + "\r\n" + token.replace(":2,\"tok", ":4,\"tok") + done),
                arguments("tokens of another attempt", stream + "\r\n" + token.replace("{id}", "x") + done),
                arguments("data after the end mark", stream + "\r\n" + done + token));
    }

    private static void breakAfterTwoTokens(ScriptedEndpoint.Call call) throws java.io.IOException {
        call.startStream();
        call.tokens(call.attempt(), 0, 2, 7);
        call.socket().close();
    }

    /** The answer of the next endpoint would end a text that it does not complete. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("continuations")
    void shouldNotCompleteABrokenTextWithAnAnswerThatDoesNotContinueIt(String name, String next) {
        ScriptedEndpoint.Script inTurn = ScriptedEndpoint.firstThenLater(CompletionTest::breakAfterTwoTokens, call -> {
            call.write(next.replace("{id}", call.attempt()));
            call.socket().close();
        });
        endpoint("a", inTurn);
        endpoint("b", inTurn);

        int status = harness.post(entry, "/v1/completions", BODY + "}").statusCode();

        assertTrue(status >= 400, "status " + status);
    }

    /** A caller would get bytes of the next endpoint's answer in its stream, or a stream that ends as if it were complete. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("continuations")
    void shouldBreakOffTheStreamWhenNoEndpointContinuesIt(String name, String next) throws Exception {
        ScriptedEndpoint.Script inTurn = ScriptedEndpoint.firstThenLater(CompletionTest::breakAfterTwoTokens, call -> {
            call.write(next.replace("{id}", call.attempt()));
            call.socket().close();
        });
        endpoint("a", inTurn);
        endpoint("b", inTurn);

        String got = harness.readToEnd(entry, "/v1/completions", BODY + ",\"stream\":true}");

        assertTrue(got.startsWith("HTTP/1.1 200 "), got);
        assertFalse(got.contains("[DONE]"), got);
        assertFalse(got.endsWith("0\r\n\r\n"), got);
        assertFalse(got.indexOf("HTTP/1.1", 1) > 0, got);
    }
}
