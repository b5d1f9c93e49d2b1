package io.rosemarybeam.decision.batch;

import java.util.ArrayDeque;
import java.util.Deque;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against a leader that starts all waiting items in one turn and then neither sends nor reads for a second, and against
 * one that leaves slots free for long. Replays the first turns of a leader that takes over with all slots free.
 */
class StartPacingTest {
    /** Slots of the engines of the largest deployment so far, which all wait for an item. */
    private static final int SLOTS = 108;

    /** Turns within which all slots are to be used; with one turn in 50 ms that is half a second. */
    private static final int MAXIMUM_TURNS = 10;

    private final StartPacing pacing = new StartPacing();

    /** Runs turns until all slots are used; returns their number. The connections opened in a turn are open after some turns. */
    private int turnsUntilAllRun(int turnsToConnect, int hanging, int turnsToTimeOut) {
        Deque<Integer> opening = new ArrayDeque<>();
        for (int connection = 0; connection < hanging; connection++) {
            opening.add(turnsToTimeOut);
        }
        int started = 0;
        int turn = 0;
        while (started < SLOTS) {
            int now = turn++;
            opening.removeIf(openAt -> openAt <= now);
            pacing.beginTurn();
            int startedInTurn = 0;
            while (started < SLOTS && pacing.mayStart(opening.size())) {
                pacing.recordStart();
                opening.add(now + turnsToConnect);
                started++;
                startedInTurn++;
            }
            assertTrue(startedInTurn <= StartPacing.MAXIMUM_STARTS_PER_TURN);
            assertTrue(opening.size() <= StartPacing.MAXIMUM_OPENING);
        }
        return turn;
    }

    @Test
    void shouldUseAllSlotsWithinHalfASecondWhenConnectionsOpenWithinATurn() {
        assertTrue(turnsUntilAllRun(1, 0, 0) <= MAXIMUM_TURNS);
    }

    /** The connections of one endpoint that does not answer, which has six slots, time out after 300 ms. */
    @Test
    void shouldGoOnWithOtherEndpointsWhenOneDoesNotAnswer() {
        assertTrue(turnsUntilAllRun(1, 6, 6) <= 2 * MAXIMUM_TURNS);
    }

    @Test
    void shouldStartAgainWhenHangingConnectionsHaveTimedOut() {
        int turnsToTimeOut = 6;
        int turns = turnsUntilAllRun(1, StartPacing.MAXIMUM_OPENING, turnsToTimeOut);

        assertTrue(turns <= turnsToTimeOut + MAXIMUM_TURNS, turns + " turns");
    }

    @Test
    void shouldStartNoMoreInATurnThanItsLimitWhenConnectionsAreReused() {
        pacing.beginTurn();
        int started = 0;
        while (pacing.mayStart(0)) {
            pacing.recordStart();
            started++;
        }

        assertEquals(StartPacing.MAXIMUM_STARTS_PER_TURN, started);
    }
}
