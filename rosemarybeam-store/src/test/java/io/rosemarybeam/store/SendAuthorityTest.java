package io.rosemarybeam.store;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

import io.rosemarybeam.common.id.ItemId;
import io.rosemarybeam.common.id.ModelName;
import io.rosemarybeam.common.id.SubmissionId;
import io.rosemarybeam.common.wire.Submission;
import io.rosemarybeam.store.SendAuthority.Refusal;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against work that is sent for an earlier leadership, for a submission that was ended, or for an item that is done. */
class SendAuthorityTest {
    private static final Submission.Item ITEM =
            new Submission.Item(ItemId.of("i"), "/x", Map.of(), new byte[0], 5, 0, "g", Optional.empty());
    private static final Submission SUBMISSION =
            new Submission(SubmissionId.of("s"), "h", "/x/", 0, Optional.empty(), 1, 1, List.of(ITEM));

    private final StoreState state = new StoreState();
    private final AtomicLong majorityAge = new AtomicLong();
    private final SendAuthority authority = new SendAuthority(7, majorityAge::get, state);
    private ItemTask task;

    @BeforeEach
    void accept() {
        apply(new StoreCommand.AcceptSubmission(SUBMISSION, "r"));
        task = new ItemTask(state.submission(SUBMISSION.id()).orElseThrow(), ITEM, ModelName.of("m"), false, false);
    }

    private void apply(StoreCommand command) {
        state.apply(StoreCommand.encode(1, command));
    }

    @Test
    void shouldAllowWorkWhileAMajorityAnswers() {
        majorityAge.set(SendAuthority.MAXIMUM_AGE_MILLISECONDS);

        assertEquals(Optional.empty(), authority.refusal(task));
        assertEquals(Optional.empty(), authority.condition(task).refusal());
        assertEquals(Optional.empty(), authority.condition().refusal());
    }

    @Test
    void shouldRefuseWorkWhenNoMajorityHasAnsweredWithinAnElectionTimeout() {
        majorityAge.set(SendAuthority.MAXIMUM_AGE_MILLISECONDS + 1);

        assertEquals(Optional.of(Refusal.MAJORITY_SILENT), authority.refusal(task));
        assertEquals(
                Optional.of("MAJORITY_SILENT in term 7, last word of a majority 451 ms ago"),
                authority.condition().refusal());
    }

    @Test
    void shouldRefuseWorkOfAnEarlierLeadershipWhenThisHostLeadsAgain() {
        authority.end();

        assertEquals(Optional.of(Refusal.LEADERSHIP_ENDED), authority.refusal(task));
        assertEquals(Optional.empty(), new SendAuthority(9, majorityAge::get, state).refusal(task));
    }

    @Test
    void shouldRefuseWorkWhenItsSubmissionWasEndedOrForgotten() {
        apply(new StoreCommand.CloseSubmission(SUBMISSION.id()));
        assertEquals(Optional.of(Refusal.SUBMISSION_CLOSED), authority.refusal(task));

        apply(new StoreCommand.ForgetSubmissions(List.of(SUBMISSION.id())));
        assertEquals(Optional.of(Refusal.SUBMISSION_CLOSED), authority.refusal(task));
    }

    @Test
    void shouldRefuseWorkWhenAnInstalledSnapshotHasTheEnd() {
        StoreState other = new StoreState();
        other.apply(StoreCommand.encode(1, new StoreCommand.AcceptSubmission(SUBMISSION, "r")));
        other.apply(StoreCommand.encode(2, new StoreCommand.CloseSubmission(SUBMISSION.id())));

        state.restore(other.capture().get());

        assertEquals(Optional.of(Refusal.SUBMISSION_CLOSED), authority.refusal(task));
    }

    @Test
    void shouldRefuseWorkWhenTheItemIsClosed() {
        task.close();

        assertEquals(Optional.of(Refusal.ITEM_CLOSED), authority.refusal(task));
    }
}
