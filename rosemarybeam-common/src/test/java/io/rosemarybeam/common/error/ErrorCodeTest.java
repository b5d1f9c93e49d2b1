package io.rosemarybeam.common.error;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;

import io.rosemarybeam.common.event.CataloguePage;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

/** Guards against error codes that docs/ERRORS.md omits or lists under another number. */
class ErrorCodeTest {
    @Test
    void shouldMatchThePageWhenCodesAreListed() throws IOException {
        List<List<String>> expected = Arrays.stream(ErrorCode.values())
                .map(code -> List.of(code.label(), code.name(), code.description()))
                .toList();

        CataloguePage.assertLists("ERRORS.md", expected);
    }

    @Test
    void shouldSayWhatToDoWhenCodesAreListed() throws IOException {
        for (List<String> row : CataloguePage.rows("ERRORS.md", 4)) {
            assertFalse(row.get(3).isBlank(), row.toString());
        }
    }

    @Test
    void shouldUseEveryNumberOnceWhenCodesAreListed() {
        List<Integer> numbers =
                Arrays.stream(ErrorCode.values()).map(ErrorCode::number).toList();

        assertEquals(numbers.stream().distinct().sorted().toList(), numbers);
    }
}
