package io.rosemarybeam.common.settings;

import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.error.SettingsException;
import io.rosemarybeam.common.settings.JsonValue.ObjectValue;

/** Loads settings files: JSON with comments. Stateless and safe for use by several threads. */
public final class SettingsFile {
    private SettingsFile() {}

    /**
     * Parses the text of a file and converts its root object.
     *
     * @param file the file, for messages
     * @param text its content
     * @param conversion reads all keys; its result is used only if there are no findings
     * @param <T> the type of the settings
     * @return the settings
     * @throws SettingsException with {@link ErrorCode#SETTINGS_UNREADABLE} if the text is not JSON, or with
     *     {@link ErrorCode#SETTINGS_INVALID} and file, line and path of every invalid setting
     */
    public static <T> T parse(Path file, String text, Function<SettingsReader, Optional<T>> conversion) {
        Findings findings = new Findings();
        ObjectValue root = JsonTreeReader.read(text, findings)
                .orElseThrow(() -> failure(ErrorCode.SETTINGS_UNREADABLE, file, findings));
        SettingsReader reader = SettingsReader.of(root, findings);
        Optional<T> settings = conversion.apply(reader);
        reader.reportUnknownKeys();
        if (settings.isEmpty() || !findings.isEmpty()) {
            throw failure(ErrorCode.SETTINGS_INVALID, file, findings);
        }
        return settings.get();
    }

    /**
     * Reads a text file of bounded size.
     *
     * @param file the file
     * @return its content
     * @throws SettingsException with {@link ErrorCode#SETTINGS_UNREADABLE} if it cannot be read, is too long or is not
     *     UTF-8
     */
    public static String readText(Path file) {
        try {
            if (Files.size(file) > JsonTreeReader.MAXIMUM_BYTES) {
                throw new SettingsException(
                        ErrorCode.SETTINGS_UNREADABLE,
                        "file " + file + " has more than " + JsonTreeReader.MAXIMUM_BYTES + " bytes");
            }
            return Files.readString(file);
        } catch (CharacterCodingException failure) {
            throw new SettingsException(ErrorCode.SETTINGS_UNREADABLE, "file " + file + " is not UTF-8", failure);
        } catch (IOException failure) {
            throw new SettingsException(
                    ErrorCode.SETTINGS_UNREADABLE, "file " + file + " cannot be read: " + failure, failure);
        }
    }

    private static SettingsException failure(ErrorCode code, Path file, Findings findings) {
        return new SettingsException(
                code,
                findings.inOrder().stream()
                        .map(finding -> "file " + file + ", " + finding)
                        .collect(Collectors.joining("\n")));
    }
}
