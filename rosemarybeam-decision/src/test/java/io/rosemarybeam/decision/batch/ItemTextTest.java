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
        assertTrue(text.append(1, "a", 4, "v1"));
        assertFalse(text.append(3, "c", 4, "v1"));
        assertFalse(text.append(1, "a", 4, "v1"));
        assertEquals(1, text.lastEvent());
    }

    @Test
    void shouldListExactlyTheVersionsOfItsEvents() {
        text.append(1, "a", 4, "v1");
        text.append(2, "b", 5, "v1");

        assertEquals(List.of(4L, 5L), text.versions());
        assertEquals("a\nb", new String(text.bytes(), StandardCharsets.UTF_8));
        assertTrue(text.satisfies(4, false));
        assertFalse(text.satisfies(5, false), "one event is too old");
        assertFalse(text.satisfies(4, true), "two versions");
    }

    @Test
    void shouldAppendPartWhenItFollows() {
        ItemText source = new ItemText();
        source.append(1, "a", 4, "v1");
        source.append(2, "b", 5, "v1");
        source.append(3, "c", 5, "v1");
        source.markComplete();

        assertTrue(text.append(new ItemText.Part(1, List.of("a"), List.of(4L), false, "v1")));
        assertFalse(text.append(source.partAfter(2)), "event 2 is missing");
        assertTrue(text.append(source.partAfter(1)));
        assertEquals("a\nb\nc", new String(text.bytes(), StandardCharsets.UTF_8));
        assertEquals(List.of(4L, 5L), text.versions());
        assertTrue(text.isComplete());
    }

    @Test
    void shouldReplaceTextWhenPartBeginsWithFirstEvent() {
        text.append(1, "a", 4, "v1");
        text.append(2, "b", 4, "v1");

        assertTrue(text.append(new ItemText.Part(1, List.of("x"), List.of(6L), false, "v1")));
        assertEquals("x", new String(text.bytes(), StandardCharsets.UTF_8));
        assertEquals(List.of(6L), text.versions());
    }

    /** What two software versions generate does not fit together. */
    @Test
    void shouldRefuseEventsOfAnotherSoftwareVersion() {
        text.append(1, "a", 4, "v1");

        assertFalse(text.append(2, "b", 4, "v2"));
        assertFalse(text.append(new ItemText.Part(2, List.of("b"), List.of(4L), false, "v2")));
        assertTrue(text.append(2, "b", 4, "v1"));
        text.clear();
        assertTrue(text.append(1, "a", 4, "v2"), "a new text may have another version");
    }

    /** A part of any length would exceed the size of a log entry, and the text would not be stored at all. */
    @Test
    void shouldSplitTheEventsByLength() {
        ItemText text = new ItemText();
        for (int event = 1; event <= 5; event++) {
            text.append(event, "\u00e9\u00e9", 1, "v1");
        }
        text.markComplete();

        assertEquals(25, text.byteLength());
        assertEquals(2, text.partAfter(0, 10).data().size());
        assertFalse(text.partAfter(0, 10).complete());
        assertEquals(3, text.partAfter(2, 4).firstEvent());
        assertEquals(1, text.partAfter(2, 4).data().size());
        assertTrue(text.partAfter(4, 10).complete());
        assertTrue(text.partAfter(5, 10).data().isEmpty());
    }
}
