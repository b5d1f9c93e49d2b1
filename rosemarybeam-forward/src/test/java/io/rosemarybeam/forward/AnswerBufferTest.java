package io.rosemarybeam.forward;

import io.rosemarybeam.common.collection.ByteBudget;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against answers without end that together take all memory of a process. */
class AnswerBufferTest {
    private static final int KIBIBYTE = 1_024;

    private final ByteBudget budget = new ByteBudget(100 * KIBIBYTE);

    @Test
    void shouldReturnWhatWasAppendedAndReleaseTheBudget() {
        AnswerBuffer buffer = AnswerBuffer.of(budget);
        assertTrue(buffer.append(new byte[20 * KIBIBYTE]));
        assertTrue(buffer.append(new byte[] {1, 2}));
        assertEquals(4 * KIBIBYTE + 2, budget.usedBytes());

        byte[] body = buffer.take();

        assertEquals(20 * KIBIBYTE + 2, body.length);
        assertEquals(2, body[body.length - 1]);
        assertEquals(0, budget.usedBytes());
        assertArrayEquals(new byte[0], buffer.take());
    }

    @Test
    void shouldRefuseAnAnswerThatIsTooLong() {
        AnswerBuffer buffer = AnswerBuffer.of(new ByteBudget(Long.MAX_VALUE));

        assertTrue(buffer.append(new byte[AnswerBuffer.MAXIMUM_BYTES]));
        assertFalse(buffer.append(new byte[1]));
        assertEquals(AnswerBuffer.MAXIMUM_BYTES, buffer.take().length);
    }

    /** Load pattern: one endpoint answers many requests at once with bodies without end; others answer in short. */
    @Test
    void shouldRefuseLongAnswersAndTakeShortOnesWhenTheBudgetIsUsedUp() {
        AnswerBuffer first = AnswerBuffer.of(budget);
        AnswerBuffer second = AnswerBuffer.of(budget);
        AnswerBuffer brief = AnswerBuffer.of(budget);
        assertTrue(first.append(new byte[116 * KIBIBYTE]));

        assertTrue(second.append(new byte[16 * KIBIBYTE]));
        assertFalse(second.append(new byte[1]));
        assertTrue(brief.append(new byte[4 * KIBIBYTE]));
        first.discard();
        assertTrue(second.append(new byte[1]));
    }

    @Test
    void shouldMeasureWithoutKeeping() {
        AnswerBuffer buffer = AnswerBuffer.discarding();

        assertTrue(buffer.append(new byte[AnswerBuffer.MAXIMUM_BYTES]));
        assertFalse(buffer.append(new byte[1]));
        assertEquals(0, buffer.take().length);
    }
}
