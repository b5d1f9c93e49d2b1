package io.rosemarybeam.store;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import io.rosemarybeam.common.id.ItemId;
import io.rosemarybeam.common.id.SubmissionId;
import io.rosemarybeam.common.wire.HandshakeMessage.Role;
import io.rosemarybeam.common.wire.Message;
import io.rosemarybeam.common.wire.OutputBacklog;
import io.rosemarybeam.common.wire.StoreMessage.EndSubmission;
import io.rosemarybeam.common.wire.StoreMessage.Outcome;
import io.rosemarybeam.common.wire.StoreMessage.ReadItem;
import io.rosemarybeam.common.wire.StoreMessage.ReadResults;
import io.rosemarybeam.common.wire.StoreMessage.ResultPage;
import io.rosemarybeam.common.wire.StoreMessage.StoreReply;
import io.rosemarybeam.common.wire.WireConnection;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;

/** Guards against a leader that queues all delayed answers at once until its memory is exhausted. */
class AnswerLimitTest {
    private static final SubmissionId SUBMISSION = SubmissionId.of("0123456789abcdef");
    private static final ReadItem READ_ITEM = new ReadItem(SUBMISSION, ItemId.of("item-1"));
    private static final StoreReply BODY = StoreReply.of(new byte[900_000]);

    private final OutputBacklog backlog = OutputBacklog.of(1_000_000);
    private final AnswerLimit limit = AnswerLimit.of(backlog);
    private final FakeConnection connection = new FakeConnection();

    @Test
    void shouldAnswerReadWhenLittleWaits() {
        assertSame(BODY, limit.admit(READ_ITEM, connection, BODY));
    }

    @Test
    void shouldLetEdgeAskAgainWhenHostHasTooManyBytesWaiting() {
        backlog.add(1_000_000);

        assertEquals(Outcome.UNCERTAIN, limit.admit(READ_ITEM, connection, BODY).outcome());
        backlog.remove(1);
        assertSame(BODY, limit.admit(READ_ITEM, connection, BODY));
    }

    @Test
    void shouldLetEdgeAskAgainWhenItReadsSlowly() {
        connection.isWritable = false;

        assertEquals(Outcome.UNCERTAIN, limit.admit(READ_ITEM, connection, BODY).outcome());
    }

    /** A change that is reported as uncertain would be made again. */
    @Test
    void shouldConfirmChangesAndEmptyPagesWhenTooManyBytesWait() {
        connection.isWritable = false;
        backlog.add(1_000_000);
        StoreReply done = StoreReply.of(Outcome.DONE);
        StoreReply empty = StoreReply.of(new ResultPage(1, 0, List.of()));

        assertSame(done, limit.admit(EndSubmission.of(SUBMISSION), connection, done));
        assertSame(empty, limit.admit(new ReadResults(SUBMISSION, 0, 0), connection, empty));
    }

    /** A connection to an edge that reads as fast as the test says. */
    private static final class FakeConnection implements WireConnection {
        private boolean isWritable = true;

        @Override
        public Role remoteRole() {
            return Role.CONTROL;
        }

        @Override
        public String remoteName() {
            return "edge-1";
        }

        @Override
        public long remoteIncarnation() {
            return 1;
        }

        @Override
        public CompletableFuture<Message> request(Message message, Duration timeout) {
            throw new UnsupportedOperationException("not used");
        }

        @Override
        public void send(Message message) {}

        @Override
        public void reply(long correlation, Message message) {}

        @Override
        public boolean isOpen() {
            return true;
        }

        @Override
        public boolean isWritable() {
            return isWritable;
        }

        @Override
        public void close() {}
    }
}
