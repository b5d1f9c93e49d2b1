package io.rosemarybeam.common.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Random;
import java.util.function.BiFunction;

import io.rosemarybeam.common.error.SettingsException;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.StringLength;

import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against settings files that make loading fail with anything but a {@link SettingsException}. */
class SettingsFileFuzzTest {
    private static final Path FILE = Path.of("settings.json");

    private static void assertLoadedOrSettingsException(String text, BiFunction<Path, String, ?> parse) {
        try {
            parse.apply(FILE, text);
        } catch (SettingsException failure) {
            assertTrue(failure.getMessage().contains("file " + FILE), failure.getMessage());
        }
    }

    @Property(seed = "602101", tries = 1_000, shrinking = ShrinkingMode.BOUNDED)
    void shouldOnlyThrowSettingsExceptionWhenTextIsArbitrary(@ForAll @StringLength(max = 100) String text) {
        assertLoadedOrSettingsException(text, EntrySettings::parse);
        assertLoadedOrSettingsException(text, ControlSettings::parse);
    }

    @Property(seed = "602102", tries = 1_000, shrinking = ShrinkingMode.OFF)
    void shouldOnlyThrowSettingsExceptionWhenValidFileIsMutated(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 6) int mutations) throws IOException {
        Random random = new Random(seed);
        boolean entry = random.nextBoolean();
        Path example = Path.of("..", "examples", "al-nour", entry ? "entry-1.json" : "control-1.json");
        StringBuilder text = new StringBuilder(Files.readString(example));
        String[] fragments = {
            "", "{", "}", "]", ",", "\"", "\u0000", "\\u0000", "null", "-1", "\"name\": 1,", "//", ":", "9"
        };
        for (int count = 0; count < mutations; count++) {
            int start = random.nextInt(text.length());
            int end = Math.min(text.length(), start + random.nextInt(6));
            text.replace(start, end, fragments[random.nextInt(fragments.length)]);
        }
        assertLoadedOrSettingsException(text.toString(), entry ? EntrySettings::parse : ControlSettings::parse);
    }
}
