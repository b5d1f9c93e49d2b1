package io.rosemarybeam.decision.batch;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against estimates that ignore the trainer's expectation or what a text has already. */
class RunTimeEstimateTest {
    private final RunTimeEstimate estimate = new RunTimeEstimate();

    @Test
    void shouldScaleWithExpectationWhenRunsHaveFinished() {
        estimate.finished(100, 20, 800);
        estimate.finished(300, 60, 2_400);

        assertEquals(1_600, estimate.left(200, 0), 1);
    }

    @Test
    void shouldUseUsualRunWhenTrainerDoesNotSay() {
        estimate.finished(0, 20, 800);
        estimate.finished(0, 20, 800);

        assertEquals(800, estimate.left(0, 0), 1);
        assertEquals(400, estimate.left(0, 10), 1);
    }

    @Test
    void shouldStayPositiveWhenTextIsLongerThanExpected() {
        estimate.finished(100, 20, 800);

        assertTrue(estimate.left(50, 60) > 0);
    }

    @Test
    void shouldPreferLongExpectationWhenNothingIsKnown() {
        assertTrue(estimate.left(500, 0) > estimate.left(100, 0));
    }
}
