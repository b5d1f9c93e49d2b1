package io.rosemarybeam.decision.batch;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against estimates that ignore the length that the trainer expects, or the events that a text already has. */
class RunTimeEstimateTest {
    private final RunTimeEstimate estimate = new RunTimeEstimate();

    @Test
    void shouldScaleWithExpectationWhenRunsHaveFinished() {
        estimate.recordRun(100, 20, 800);
        estimate.recordRun(300, 60, 2_400);

        assertEquals(1_600, estimate.remainingMilliseconds(200, 0), 1);
    }

    @Test
    void shouldUseMeanRunWhenTrainerGivesNoExpectation() {
        estimate.recordRun(0, 20, 800);
        estimate.recordRun(0, 20, 800);

        assertEquals(800, estimate.remainingMilliseconds(0, 0), 1);
        assertEquals(400, estimate.remainingMilliseconds(0, 10), 1);
    }

    @Test
    void shouldStayPositiveWhenTextIsLongerThanExpected() {
        estimate.recordRun(100, 20, 800);

        assertTrue(estimate.remainingMilliseconds(50, 60) > 0);
    }

    /** Load pattern: a new leader has seen no run yet, and an event of this engine holds 63 tokens. */
    @Test
    void shouldAssumeDefaultRunForMeanExpectationWhenNoRunHasFinished() {
        estimate.recordExpectation(63 * 10);
        estimate.recordExpectation(63 * 40);

        assertTrue(estimate.remainingMilliseconds(63 * 10, 0) < 1_000, "shorter than the default");
        assertTrue(estimate.remainingMilliseconds(63 * 40, 0) < 3_000, "not many times longer than the default");
        assertTrue(estimate.remainingMilliseconds(63 * 40, 0) > 1_000, "longer than the default");
    }

    @Test
    void shouldEstimateLongerRunForLargerExpectationWhenNothingIsKnown() {
        assertTrue(estimate.remainingMilliseconds(500, 0) > estimate.remainingMilliseconds(100, 0));
    }
}
