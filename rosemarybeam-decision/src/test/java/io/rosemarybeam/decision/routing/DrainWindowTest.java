package io.rosemarybeam.decision.routing;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against requests that a stopping process takes and cuts off, and against refusals of those that it could serve. */
class DrainWindowTest {
    private static final long LATE_FROM = 3_000;
    private static final long FINISH_BY = 7_100;

    private final DrainWindow window = new DrainWindow(LATE_FROM, FINISH_BY);

    @Test
    void shouldTakeEveryRequestWhileCallersStillUseTheAddress() {
        assertTrue(window.accepts(0, 12_000));
        assertTrue(window.accepts(LATE_FROM - 1, 12_000));
    }

    @Test
    void shouldTakeALateRequestWhenItEndsBeforeTheStop() {
        assertTrue(window.accepts(LATE_FROM, FINISH_BY));
    }

    @Test
    void shouldRefuseALateRequestWhenItMayOutlastTheStop() {
        assertFalse(window.accepts(LATE_FROM, FINISH_BY + 1));
    }

    /** Replays requests that arrive every 10 ms with time limits of 0.5 to 12 s during a whole stop. */
    @Test
    void shouldLeaveNoLateRequestBeyondTheEndOfTheStop() {
        for (long now = LATE_FROM; now < FINISH_BY; now += 10) {
            for (long limit : new long[] {500, 1_500, 3_000, 12_000}) {
                boolean isTaken = window.accepts(now, now + limit);
                assertTrue(!isTaken || now + limit <= FINISH_BY, now + " + " + limit);
            }
        }
    }
}
