package io.rosemarybeam.decision.batch;

import java.util.ArrayList;
import java.util.List;

import io.rosemarybeam.decision.batch.ItemOrder.Waiting;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against steps whose groups all complete at the very end although most of them could complete earlier. */
class ItemOrderTest {
    /** Load pattern: two steps wait for the same slots, and groups of a step are unevenly far. */
    @Test
    void shouldFinishGroupsOneAfterTheOtherWhenSlotsAreScarce() {
        Waiting later = new Waiting(9_000, 100, 0, 100, 0);
        Waiting longGroup = new Waiting(5_000, 900, 0, 500, 0);
        Waiting shortGroupShortItem = new Waiting(5_000, 300, 4, 100, 4);
        Waiting shortGroupLongItem = new Waiting(5_000, 300, 4, 200, 5);
        List<Waiting> waiting = new ArrayList<>(List.of(later, longGroup, shortGroupShortItem, shortGroupLongItem));

        waiting.sort(ItemOrder.order());

        assertEquals(List.of(shortGroupLongItem, shortGroupShortItem, longGroup, later), waiting);
    }
}
