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

/** Guards against texts that are joined wrongly after a broken stream, and against runs that are counted wrongly. */
class ItemStreamTest {
    private static final Submission.Item ITEM =
            new Submission.Item(ItemId.of("i"), "/x", Map.of(), new byte[0], 5, 0, "g", Optional.empty());
    private static final Submission SUBMISSION =
            new Submission(SubmissionId.of("s"), "h", "/x/", 0, Optional.empty(), 3, 1, List.of(ITEM));

    private final List<String> told = new ArrayList<>();
    private final ItemTask task =
            new ItemTask(new KeptSubmission(SUBMISSION, "r", 0), ITEM, ModelName.of("m"), false, false);

    private ItemStream stream() {
        return new ItemStream(task, new ItemTask.Run(EndpointId.of("e"), 0, 0), new RecordingOwner());
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

        assertEquals(List.of("version 4", "version 5", "completed"), told);
        assertEquals(List.of(4L, 5L), task.text.versions());
        assertTrue(task.text.isComplete());
    }

    @Test
    void shouldGoOnAfterLastWholeEventWhenStreamBreaks() {
        ItemStream first = stream();
        first.onHead(answer(200));
        first.onContent(bytes("id: 1\ndata: a\n\nid: 2\ndata: hal"));
        first.onFailure(EndpointClient.Failure.BROKEN, "reset");
        ItemStream second = stream();
        second.onHead(answer(200));
        second.onContent(bytes("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"));
        second.onEnd();

        assertEquals("a\nb", new String(task.text.bytes(), StandardCharsets.UTF_8));
        assertTrue(told.contains("BROKEN reset"), told.toString());
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
    void shouldTellFailuresThatCountFromThoseThatDoNot() {
        ItemStream failed = stream();
        failed.onHead(answer(500));
        failed.onEnd();
        ItemStream impossible = stream();
        impossible.onHead(answer(422));
        impossible.onEnd();
        ItemStream notSent = stream();
        notSent.onFailure(EndpointClient.Failure.NOT_SENT, "refused");

        assertEquals(List.of("FAILED 500", "IMPOSSIBLE 422", "NOT_EXECUTED refused"), told);
    }

    /** Records what the stream tells. */
    private final class RecordingOwner implements ItemStream.Owner {
        @Override
        public void completed(ItemTask completed, ItemTask.Run run) {
            told.add("completed");
        }

        @Override
        public void ended(ItemTask ended, ItemTask.Run run, ItemStream.Ending ending, String detail) {
            told.add(ending + " " + detail);
        }

        @Override
        public boolean versionSeen(ItemTask seen, ItemTask.Run run, long version) {
            told.add("version " + version);
            return true;
        }

        @Override
        public void paced(ItemTask.Run run, long milliseconds) {
            assertTrue(milliseconds >= 0);
        }
    }
}
