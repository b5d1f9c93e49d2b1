package io.rosemarybeam.decision.batch;

import java.nio.charset.StandardCharsets;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against texts with missing, doubled or wrongly labelled events. */
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
    void shouldNameExactlyTheVersionsOfItsEvents() {
        text.append(1, "a", 4);
        text.append(2, "b", 5);

        assertEquals(List.of(4L, 5L), text.versions());
        assertEquals("a\nb", new String(text.bytes(), StandardCharsets.UTF_8));
        assertTrue(text.fits(4, false));
        assertFalse(text.fits(5, false), "one event is too old");
        assertFalse(text.fits(4, true), "two versions");
    }
}
