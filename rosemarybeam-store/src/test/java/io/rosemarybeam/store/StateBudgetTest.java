package io.rosemarybeam.store;

import java.nio.charset.StandardCharsets;

import io.rosemarybeam.common.metric.Metrics;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a budget that is exceeded, or that does not leave the heap room for the snapshot at a start. */
class StateBudgetTest {
    @Test
    void shouldHaveRoomWhenTheStateFitsExactly() {
        StateBudget budget = StateBudget.of(100);

        assertTrue(budget.hasRoom(100));
        assertFalse(budget.hasRoom(101));
    }

    /** The file of the snapshot, its record and the encoded state are in memory at the same time. */
    @Test
    void shouldLeaveAQuarterOfTheHeapWhenAStateOfMaximumSizeIsLoaded() {
        long heap = Runtime.getRuntime().maxMemory();

        assertTrue(3 * StateBudget.ofProcess().maximumBytes() <= heap - heap / 4);
    }

    @Test
    void shouldExportBudgetAndRefusals() {
        StateBudget budget = StateBudget.of(100);
        Metrics metrics = Metrics.ofProcess();
        budget.register(metrics);
        budget.countRefusal();

        String text = new String(metrics.text(), StandardCharsets.UTF_8);

        assertTrue(text.contains("rosemarybeam_store_state_budget_bytes 100"), text);
        assertTrue(text.contains("rosemarybeam_store_refused_submissions_total 1"), text);
        assertEquals(1, budget.refusedSubmissions());
    }

    @Test
    void shouldFailWhenTheBudgetIsNotPositive() {
        assertThrows(IllegalArgumentException.class, () -> StateBudget.of(0));
    }
}
