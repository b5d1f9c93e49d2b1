package io.rosemarybeam.decision.batch;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against texts without end, and against a limit that cuts the text of a sound endpoint. */
class TextLimitTest {
    @ParameterizedTest
    @CsvSource({
        "1, 1, 66_560",
        "400, 400, 475_136",
        "8_442, 8_442, 900_000",
        "9_000_000_000, 131_072, 900_000",
        "0, 131_072, 900_000",
        "-1, 131_072, 900_000"
    })
    void shouldFollowFromTheNumberOfTokens(String tokens, String events, String bytes) {
        TextLimit limit = TextLimit.ofTokens(number(tokens));

        assertEquals(number(events), limit.events());
        assertEquals(number(bytes), limit.bytes());
    }

    private static long number(String text) {
        return Long.parseLong(text.replace("_", ""));
    }

    @Test
    void shouldAllowOneLongEventForEachToken() {
        TextLimit limit = TextLimit.ofTokens(29);

        assertTrue(limit.allows(29, 29 * 2_100));
        assertFalse(limit.allows(30, 30));
    }

    @Test
    void shouldRefuseALimitThatAllowsNothing() {
        assertThrows(IllegalArgumentException.class, () -> new TextLimit(0, 1));
    }
}
