package io.rosemarybeam.store;

import io.rosemarybeam.common.id.SubmissionId;
import io.rosemarybeam.common.wire.SubmissionCopies;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against ends that are forgotten while copies of their submission can arrive, or that are remembered without bounds. */
class UnknownEndsTest {
    private static final SubmissionId STEP = SubmissionId.of("step-1");
    private static final long START = 10_000;

    private final UnknownEnds ends = new UnknownEnds();

    @Test
    void shouldRememberAnEndWhileCopiesCanArrive() {
        ends.add(STEP, START);
        assertTrue(ends.contains(STEP, START + SubmissionCopies.MAXIMUM_AGE_MILLISECONDS - 1));
        assertFalse(ends.contains(STEP, START + SubmissionCopies.MAXIMUM_AGE_MILLISECONDS));
    }

    @Test
    void shouldForgetTheOldestEndWhenThereAreTooMany() {
        for (int number = 0; number <= UnknownEnds.MAXIMUM_ENDS; number++) {
            ends.add(SubmissionId.of("step-" + number), START);
        }
        assertFalse(ends.contains(SubmissionId.of("step-0"), START));
        assertTrue(ends.contains(STEP, START));
    }

    @Test
    void shouldForgetAnEndWhenTheSubmissionIsStored() {
        ends.add(STEP, START);
        ends.remove(STEP);
        assertFalse(ends.contains(STEP, START));
    }
}
