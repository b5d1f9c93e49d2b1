package io.rosemarybeam.entry;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a report rate at each entry that grows with the number of endpoints. */
class ReportPlanTest {
    private static final int REPORTERS = 24;

    @Test
    void shouldReportEverySecondWhenDeploymentIsSmall() {
        assertEquals(1_000, ReportPlan.intervalMilliseconds(10, 7));
        assertEquals(1_000, ReportPlan.intervalMilliseconds(12, 6));
    }

    @Test
    void shouldBoundReportRateWhenDeploymentIsLarge() {
        long interval = ReportPlan.intervalMilliseconds(850, 380);
        double reportsPerSecond = 850.0 * REPORTERS / 380 * 1_000 / interval;

        assertTrue(reportsPerSecond <= 20.5, reportsPerSecond + " reports per second");
    }

    @Test
    void shouldBoundIntervalWhenEndpointsFarOutnumberEntries() {
        assertEquals(3_000, ReportPlan.intervalMilliseconds(4_000, 3));
        assertEquals(1_000, ReportPlan.intervalMilliseconds(0, 0));
    }
}
