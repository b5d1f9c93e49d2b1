package io.rosemarybeam.store;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.ItemId;
import io.rosemarybeam.common.id.ModelName;
import io.rosemarybeam.common.id.SubmissionId;
import io.rosemarybeam.common.wire.Submission;
import io.rosemarybeam.platform.EndpointAnswer;
import io.rosemarybeam.platform.EndpointClient;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against duplicated or missing events in a text that several streams contributed to, and against failures that are
 * counted as attempts although they must not be.
 */
class ItemStreamTest {
    private static final Submission.Item ITEM =
            new Submission.Item(ItemId.of("i"), "/x", Map.of(), new byte[0], 5, 0, "g", Optional.empty());
    private static final Submission SUBMISSION =
            new Submission(SubmissionId.of("s"), "h", "/x/", 0, Optional.empty(), 3, 1, List.of(ITEM));

    private final List<String> notifications = new ArrayList<>();
    private final ItemTask task =
            new ItemTask(new StoredSubmission(SUBMISSION, "r", 0), ITEM, ModelName.of("m"), false, false);

    private ItemStream stream() {
        return new ItemStream(task, new ItemTask.Run(EndpointId.of("e"), "v1", 0, 0), new RecordingOwner());
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
