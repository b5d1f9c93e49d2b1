package io.rosemarybeam.store;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.FailureDomain;
import io.rosemarybeam.common.id.ItemId;
import io.rosemarybeam.common.id.ModelName;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.id.SubmissionId;
import io.rosemarybeam.common.wire.EndpointAnnouncement;
import io.rosemarybeam.common.wire.Submission;
import io.rosemarybeam.platform.EndpointAnswer;
import io.rosemarybeam.platform.EndpointClient;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.params.provider.Arguments.arguments;

/**
 * Guards against duplicated or missing events in a text that several streams contributed to, and against failures that are
 * counted as attempts although they must not be.
 */
class ItemStreamTest {
    private static final Submission.Item ITEM =
            new Submission.Item(ItemId.of("i"), "/x", Map.of(), new byte[0], 5, 0, "g", Optional.empty());
    private static final Submission SUBMISSION =
            new Submission(SubmissionId.of("s"), "h", "/x/", 0, Optional.empty(), 3, 1, List.of(ITEM));

    private static final EndpointAnnouncement ENDPOINT = new EndpointAnnouncement(
            EndpointId.of("e"),
            1,
            1,
            ServiceName.of("engines"),
            "127.0.0.1:1",
            FailureDomain.of("fes"),
            4,
            EndpointAnnouncement.State.READY,
            List.of(),
            "v1");

    private static final NioEventLoopGroup LOOPS = new NioEventLoopGroup(1);

    /** Nothing listens there; the tests only need an attempt that can be cancelled. */
    private static final EndpointClient.Request UNANSWERED =
            new EndpointClient.Request("127.0.0.1:1", "GET", "/", new DefaultHttpHeaders(), new byte[0]);

    private final List<String> notifications = new ArrayList<>();
    private final ItemTask task =
            new ItemTask(new StoredSubmission(SUBMISSION, "r", 0), ITEM, ModelName.of("m"), false, false);

    @AfterAll
    static void close() {
        LOOPS.shutdownGracefully();
    }

    private ItemStream stream() {
        ItemTask.Run run = new ItemTask.Run(ENDPOINT, 0, 0);
        run.attempt = EndpointClient.of(LOOPS.next()).send(UNANSWERED, new IgnoringListener());
        return new ItemStream(task, run, new RecordingOwner());
    }

    private static EndpointAnswer answer(int status) {
        DefaultHttpHeaders headers = new DefaultHttpHeaders();
        headers.set("Rosemarybeam-Server-Stamp", "d");
        headers.set("Rosemarybeam-Weight-Versions", "4");
        return new EndpointAnswer(status, headers);
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Test
    void shouldCompleteTextWhenStreamEndsBetweenEvents() {
        ItemStream stream = stream();
        stream.onHead(answer(200));
        stream.onContent(bytes("id: 1\ndata: a\n\nrosemarybeam-weight-versions: 5\nid: 2\ndata: b\n\n"));
        stream.onEnd();

        assertEquals(List.of("version 4", "version 5", "completed"), notifications);
        assertEquals(List.of(4L, 5L), task.text.versions());
        assertTrue(task.text.isComplete());
    }

    @Test
    void shouldResumeAfterLastCompleteEventWhenStreamBreaks() {
        ItemStream first = stream();
        first.onHead(answer(200));
        first.onContent(bytes("id: 1\ndata: a\n\nid: 2\ndata: hal"));
        first.onFailure(EndpointClient.Failure.BROKEN, "reset");
        ItemStream second = stream();
        second.onHead(answer(200));
        second.onContent(bytes("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"));
        second.onEnd();

        assertEquals("a\nb", new String(task.text.bytes(), StandardCharsets.UTF_8));
        assertTrue(notifications.contains("BROKEN reset"), notifications.toString());
    }

    @Test
    void shouldNotCompleteWhenStreamEndsInsideAnEvent() {
        ItemStream stream = stream();
        stream.onHead(answer(200));
        stream.onContent(bytes("id: 1\ndata: a\n\nid: 2\ndata: hal"));
        stream.onEnd();

        assertFalse(task.text.isComplete());
        assertEquals(1, task.text.lastEvent());
    }

    /** An endpoint that sends events without end would exhaust the memory of all store hosts. */
    @Test
    void shouldEndTheRunWhenItHasMoreEventsThanTheItemHasTokens() {
        ItemStream stream = stream();
        stream.onHead(answer(200));
        for (int event = 1; event <= 6; event++) {
            stream.onContent(bytes("id: " + event + "\ndata: a\n\n"));
        }
        stream.onEnd();

        assertEquals(List.of("version 4", "OVERSIZED 6 events with 12 bytes, at most 5 and 70656"), notifications);
    }

    @Test
    void shouldEndTheRunWhenItsEventsAreLongerThanTheTokensOfTheItem() {
        ItemStream stream = stream();
        stream.onHead(answer(200));
        for (int event = 1; event <= 2; event++) {
            stream.onContent(bytes("id: " + event + "\ndata: " + "a".repeat(40_000) + "\n\n"));
        }

        assertEquals(List.of("version 4", "OVERSIZED 2 events with 80002 bytes, at most 5 and 70656"), notifications);
    }

    private static EndpointAnswer answer(int status, String name, String value) {
        EndpointAnswer answer = answer(status);
        answer.headers().set(name, value);
        return answer;
    }

    private static Stream<Arguments> continuations() {
        String rest = "id: 2\ndata: b\n\nid: 3\ndata: c\n\n";
        String whole = "id: 1\ndata: a\n\n" + rest;
        String error = "{\"error\":\"overloaded\"}";
        EndpointAnswer stream = answer(200, "Content-Type", "text/event-stream");
        EndpointAnswer json = answer(200, "Content-Type", "application/json");
        return Stream.of(
                arguments("the next event", stream, rest, "completed"),
                arguments("no media type", answer(200), rest, "completed"),
                arguments(
                        "media type with parameter",
                        answer(200, "Content-Type", "Text/Event-Stream;x=y"),
                        rest,
                        "completed"),
                arguments("the first event", stream, whole, "completed"),
                arguments("comments", stream, ": x\n\n" + rest + ": x\n", "completed"),
                // The former stream may have broken between its last event and its end.
                arguments("nothing", stream, "", "completed"),
                arguments("a comment only", stream, ": nothing left\n\n", "completed"),
                arguments("an event later", stream, "id: 3\ndata: c\n\n", "BROKEN"),
                arguments("a gap within", stream, "id: 2\ndata: b\n\nid: 4\ndata: d\n\n", "BROKEN"),
                arguments("half an event", stream, rest + "id: 4\n", "BROKEN"),
                arguments("half an id", stream, rest + "id: ", "BROKEN"),
                arguments("an event without id", stream, rest + "data: d\n\n", "BROKEN"),
                arguments("an event whose id is no number", stream, rest + "id: 4x\ndata: d\n\n", "BROKEN"),
                arguments("an event name only", stream, rest + "event: x\n", "BROKEN"),
                arguments("error instead of events", stream, error, "BROKEN"),
                arguments("line of error instead of events", stream, error + "\n", "BROKEN"),
                arguments("paragraph of error instead of events", stream, error + "\n\n", "BROKEN"),
                arguments("text instead of events", stream, "Internal Server Error\n\n", "BROKEN"),
                arguments("head of an answer", stream, "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n", "BROKEN"),
                arguments("other media type", json, error + "\n\n", "BROKEN"),
                arguments("other media type without body", json, "", "BROKEN"),
                arguments("internal error", answer(500), error, "FAILED"),
                arguments("events with internal error", answer(500), rest, "FAILED"),
                arguments("impossible", answer(422), error, "IMPOSSIBLE"),
                arguments("full", answer(503, "Rosemarybeam-Not-Executed", "1"), "", "NOT_EXECUTED"),
                arguments("misdirected", answer(421), "", "NOT_EXECUTED"),
                arguments("not found", answer(404), "not found", "BROKEN"),
                arguments("no digest", new EndpointAnswer(200, new DefaultHttpHeaders()), rest, "BROKEN"));
    }

    /** A text would be listed as complete although an endpoint did not continue it to its end. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("continuations")
    void shouldCompleteOnlyWithTheRestOfTheEvents(String name, EndpointAnswer head, String body, String expected) {
        ItemStream broken = stream();
        broken.onHead(answer(200));
        broken.onContent(bytes("id: 1\ndata: a\n\nid: 2\ndata: hal"));
        broken.onFailure(EndpointClient.Failure.BROKEN, "reset");
        ItemStream next = stream();
        next.onHead(head);
        next.onContent(bytes(body));
        next.onEnd();

        assertEquals(expected, notifications.getLast().split(" ")[0]);
        assertEquals(expected.equals("completed"), task.text.isComplete());
    }

    /** An endpoint that lost the request and starts again must not shorten the text. */
    @Test
    void shouldNotCompleteWhenStreamEndsBeforeTheLastEvent() {
        ItemStream first = stream();
        first.onHead(answer(200));
        first.onContent(bytes("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"));
        first.onFailure(EndpointClient.Failure.BROKEN, "reset");
        ItemStream second = stream();
        second.onHead(answer(200));
        second.onContent(bytes("id: 1\ndata: a\n\n"));
        second.onEnd();

        assertFalse(task.text.isComplete());
    }

    @Test
    void shouldDistinguishFailuresByWhetherTheyCount() {
        ItemStream failed = stream();
        failed.onHead(answer(500));
        failed.onEnd();
        ItemStream impossible = stream();
        impossible.onHead(answer(422));
        impossible.onEnd();
        ItemStream notSent = stream();
        notSent.onFailure(EndpointClient.Failure.NOT_SENT, "refused");

        assertEquals(List.of("FAILED 500", "IMPOSSIBLE 422", "NOT_EXECUTED refused"), notifications);
    }

    /** Ignores the attempt that nobody answers. */
    private static final class IgnoringListener implements EndpointClient.Listener {
        @Override
        public void onHead(EndpointAnswer head) {}

        @Override
        public void onContent(byte[] bytes) {}

        @Override
        public void onEnd() {}

        @Override
        public void onFailure(EndpointClient.Failure failure, String reason) {}
    }

    /** Records the notifications of the stream. */
    private final class RecordingOwner implements ItemStream.Owner {
        @Override
        public void answered(ItemTask.Run run, EndpointAnswer answer) {
            // The tests look at what becomes of the text.
        }

        @Override
        public void completed(ItemTask completed, ItemTask.Run run) {
            notifications.add("completed");
        }

        @Override
        public void ended(ItemTask ended, ItemTask.Run run, ItemStream.Termination ending, String detail) {
            notifications.add(ending + " " + detail);
        }

        @Override
        public boolean acceptVersion(ItemTask seen, ItemTask.Run run, long version) {
            notifications.add("version " + version);
            return true;
        }

        @Override
        public void eventIntervalMeasured(ItemTask.Run run, long milliseconds) {
            assertTrue(milliseconds >= 0);
        }
    }
}
