package io.rosemarybeam.common.event;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against events that docs/EVENTS.md omits or lists under another number. */
class EventTest {
    @Test
    void shouldMatchThePageWhenEventsAreListed() throws IOException {
        List<List<String>> expected = Arrays.stream(Event.values())
                .map(event -> List.of(
                        Integer.toString(event.number()),
                        event.name(),
                        event.severity().name().toLowerCase(Locale.ROOT),
                        event.description()))
                .toList();

        CataloguePage.assertLists("EVENTS.md", expected);
    }

    @Test
    void shouldUseEveryNumberOnceWhenEventsAreListed() {
        List<Integer> numbers = Arrays.stream(Event.values()).map(Event::number).toList();

        assertEquals(numbers.stream().distinct().sorted().toList(), numbers);
    }
}
