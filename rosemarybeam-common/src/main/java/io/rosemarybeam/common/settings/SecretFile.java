package io.rosemarybeam.common.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermission;
import java.util.EnumSet;
import java.util.Set;

import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.error.SettingsException;

/** Reads secrets from files that only their owner can read. Stateless and safe for use by several threads. */
public final class SecretFile {
    private static final int MINIMUM_CHARACTERS = 16;
    private static final int MAXIMUM_BYTES = 4_096;
    private static final Set<PosixFilePermission> FORBIDDEN_PERMISSIONS = EnumSet.of(
            PosixFilePermission.GROUP_READ,
            PosixFilePermission.GROUP_WRITE,
            PosixFilePermission.OTHERS_READ,
            PosixFilePermission.OTHERS_WRITE);

    private SecretFile() {}

    /**
     * Reads a secret.
     *
     * @param file a file with the secret as its only line
     * @return the secret without surrounding white space
     * @throws SettingsException with {@link ErrorCode#SETTINGS_UNREADABLE} if the file cannot be read, or with
     *     {@link ErrorCode#SETTINGS_INVALID} if others can read or write it or the secret is too short or has several
     *     lines; the message never contains the secret
     */
    public static String read(Path file) {
        try {
            Set<PosixFilePermission> permissions = EnumSet.noneOf(PosixFilePermission.class);
            permissions.addAll(Files.getPosixFilePermissions(file));
            permissions.retainAll(FORBIDDEN_PERMISSIONS);
            if (!permissions.isEmpty()) {
                throw invalid(file, "can be read or written by others; allow only its owner (chmod 600)");
            }
            if (Files.size(file) > MAXIMUM_BYTES) {
                throw invalid(file, "has more than " + MAXIMUM_BYTES + " bytes");
            }
        } catch (IOException | UnsupportedOperationException failure) {
            throw new SettingsException(
                    ErrorCode.SETTINGS_UNREADABLE, "secret file " + file + " cannot be read: " + failure, failure);
        }
        String secret = SettingsFile.readText(file).strip();
        if (secret.length() < MINIMUM_CHARACTERS || secret.lines().count() > 1) {
            throw invalid(file, "must be one line of at least " + MINIMUM_CHARACTERS + " characters");
        }
        return secret;
    }

    private static SettingsException invalid(Path file, String reason) {
        return new SettingsException(ErrorCode.SETTINGS_INVALID, "secret file " + file + " " + reason);
    }
}
