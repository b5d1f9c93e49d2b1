package io.rosemarybeam.common.settings;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Random;
import java.util.function.Function;

import io.rosemarybeam.common.error.SettingsException;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;

import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against settings files that make a process fail with anything but the typed error. */
class SettingsFileFuzzTest {
    private static Path folder;

    @BeforeContainer
    static void createFolder() throws IOException {
        folder = Files.createTempDirectory("settings-fuzz");
    }

    @AfterContainer
    static void deleteFolder() throws IOException {
        Files.deleteIfExists(folder.resolve("settings.json"));
        Files.delete(folder);
    }

    private static void assertTyped(byte[] content, Function<Path, ?> load) throws IOException {
        Path file = Files.write(folder.resolve("settings.json"), content);
        try {
            load.apply(file);
        } catch (SettingsException refusal) {
            assertTrue(refusal.getMessage().contains(file.toString()), refusal.getMessage());
        }
    }

    @Property(seed = "602101", tries = 500, shrinking = ShrinkingMode.BOUNDED)
    void shouldFailTypedWhenBytesAreArbitrary(@ForAll @Size(max = 100) byte[] content) throws IOException {
        assertTyped(content, EntrySettings::load);
        assertTyped(content, ControlSettings::load);
    }

    @Property(seed = "602102", tries = 1_000, shrinking = ShrinkingMode.OFF)
    void shouldFailTypedWhenValidFileIsDamaged(@ForAll long seed, @ForAll @IntRange(min = 1, max = 6) int damages)
            throws IOException {
        Random random = new Random(seed);
        boolean entry = random.nextBoolean();
        Path example = Path.of("..", "examples", "al-nour", entry ? "entry-1.json" : "control-1.json");
        StringBuilder text = new StringBuilder(Files.readString(example));
        String[] fragments = {
            "", "{", "}", "]", ",", "\"", "\u0000", "\\u0000", "null", "-1", "\"name\": 1,", "//", ":", "9"
        };
        for (int count = 0; count < damages; count++) {
            int start = random.nextInt(text.length());
            int end = Math.min(text.length(), start + random.nextInt(6));
            text.replace(start, end, fragments[random.nextInt(fragments.length)]);
        }
        byte[] content = text.toString().getBytes(StandardCharsets.UTF_8);

        assertTyped(content, entry ? EntrySettings::load : ControlSettings::load);
    }
}
