package io.rosemarybeam.decision.routing;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against a process that charges its own stall to those from which it has read nothing meanwhile. */
class StallDetectorTest {
    private static final long INTERVAL = 50;

    private final StallDetector detector = new StallDetector(INTERVAL);

    @Test
    void shouldMeasureNothingWhenRoundsAreOnTime() {
        for (long now = 10_000; now < 11_000; now += INTERVAL) {
            assertEquals(0, detector.stalledUntil(now));
        }
    }

    @Test
    void shouldMeasureNothingInTheFirstRound() {
        assertEquals(0, detector.stalledUntil(1_000_000));
    }

    @Test
    void shouldMeasureTheDelayWhenARoundIsLate() {
        detector.stalledUntil(1_000);

        assertEquals(1_950, detector.stalledUntil(3_000));
        assertEquals(0, detector.stalledUntil(3_050));
    }

    @Test
    void shouldTolerateSmallDelays() {
        detector.stalledUntil(1_000);

        assertEquals(0, detector.stalledUntil(1_200));
    }
}
