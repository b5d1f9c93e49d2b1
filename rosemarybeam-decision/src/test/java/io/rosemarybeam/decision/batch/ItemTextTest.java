package io.rosemarybeam.decision.batch;

import java.nio.charset.StandardCharsets;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against texts with missing or duplicate events, or with events labelled with the wrong weight version. */
class ItemTextTest {
    private final ItemText text = new ItemText();

    @Test
    void shouldRefuseEventThatDoesNotFollow() {
        assertTrue(text.append(1, "a", 4));
        assertFalse(text.append(3, "c", 4));
        assertFalse(text.append(1, "a", 4));
        assertEquals(1, text.lastEvent());
    }

    @Test
    void shouldListExactlyTheVersionsOfItsEvents() {
        text.append(1, "a", 4);
        text.append(2, "b", 5);

        assertEquals(List.of(4L, 5L), text.versions());
        assertEquals("a\nb", new String(text.bytes(), StandardCharsets.UTF_8));
        assertTrue(text.satisfies(4, false));
        assertFalse(text.satisfies(5, false), "one event is too old");
        assertFalse(text.satisfies(4, true), "two versions");
    }

    @Test
    void shouldAppendPartWhenItFollows() {
        ItemText source = new ItemText();
        source.append(1, "a", 4);
        source.append(2, "b", 5);
        source.append(3, "c", 5);
        source.markComplete();

        assertTrue(text.append(new ItemText.Part(1, List.of("a"), List.of(4L), false)));
        assertFalse(text.append(source.partAfter(2)), "event 2 is missing");
        assertTrue(text.append(source.partAfter(1)));
        assertEquals("a\nb\nc", new String(text.bytes(), StandardCharsets.UTF_8));
        assertEquals(List.of(4L, 5L), text.versions());
        assertTrue(text.isComplete());
    }

    @Test
    void shouldReplaceTextWhenPartBeginsWithFirstEvent() {
        text.append(1, "a", 4);
        text.append(2, "b", 4);

        assertTrue(text.append(new ItemText.Part(1, List.of("x"), List.of(6L), false)));
        assertEquals("x", new String(text.bytes(), StandardCharsets.UTF_8));
        assertEquals(List.of(6L), text.versions());
    }
}
