package io.rosemarybeam.common.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.List;

import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.error.SettingsException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a process that starts with a mistyped setting or with a secret that others can read. */
class SettingsFileTest {
    private static final String ENTRY = """
            {
              // the entry host in the workshop
              "name": "entry-1",
              "failureDomain": "amman-a",
              "callerAddress": "127.0.0.1:8001",
              "peerAddress": "127.0.0.1:8101",
              "adminAddress": "127.0.0.1:8201",
              "controlAddresses": ["127.0.0.1:7401", "127.0.0.1:7402"],
              "clusterSecretFile": "secrets/cluster",
              "operatorTokenFile": "/etc/rosemarybeam/operator"
            }
            """;
    private static final String CONTROL = """
            {
              "name": "control-1",
              "failureDomain": "amman-a",
              "protocolAddress": "127.0.0.1:7401",
              "adminAddress": "[::1]:7501",
              "dataFolder": "data",
              "clusterSecretFile": "cluster",
              "operatorTokenFile": "operator",
              "initialControlHosts": [{"name": "control-1", "address": "127.0.0.1:7401", "failureDomain": "amman-a"}]
            }
            """;

    @TempDir
    private Path folder;

    private Path write(String name, String content, String permissions) throws IOException {
        Path file = Files.writeString(folder.resolve(name), content);
        return Files.setPosixFilePermissions(file, PosixFilePermissions.fromString(permissions));
    }

    @Test
    void shouldLoadEntrySettingsWhenFileIsValid() throws IOException {
        EntrySettings settings = EntrySettings.load(write("entry.json", ENTRY, "rw-r--r--"));

        assertEquals("entry-1", settings.name().value());
        assertEquals(List.of("127.0.0.1:7401", "127.0.0.1:7402"), settings.controlAddresses());
        assertEquals(folder.resolve("secrets/cluster"), settings.clusterSecretFile());
        assertEquals(Path.of("/etc/rosemarybeam/operator"), settings.operatorTokenFile());
    }

    @Test
    void shouldLoadControlSettingsAndSecretsWhenFilesAreValid() throws IOException {
        write("cluster", "cluster-secret-of-16\n", "rw-------");
        write("operator", "operator-token-of-16\n", "r--------");

        ControlSettings settings = ControlSettings.load(write("control.json", CONTROL, "rw-r--r--"));

        assertEquals(folder.resolve("data"), settings.dataFolder());
        assertEquals(1, settings.initialControlHosts().size());
        assertEquals("cluster-secret-of-16", settings.secrets().clusterSecret());
        assertEquals("operator-token-of-16", settings.secrets().operatorToken().orElseThrow());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "\"name\"| \"nmae\"| line 3, /nmae: unknown key",
                "\"name\"| \"nmae\"| line 1, /: key \"name\" is missing",
                "\"127.0.0.1:8201\"| 8201| line 7, /adminAddress: must be a text, is a whole number",
                "127.0.0.1:8201| 127.0.0.1:8001| line 7, /adminAddress: address \"127.0.0.1:8001\" is used already on line 5",
                "127.0.0.1:8201| 127.0.0.1:70000| line 7, /adminAddress: must be an IP number",
                "127.0.0.1:8201| 0.0.0.0:8201| line 7, /adminAddress: must be the IP number of one interface",
                "127.0.0.1:8201| entry-1:8201| line 7, /adminAddress: must be an IP number",
                "[\"127.0.0.1:7401\", \"127.0.0.1:7402\"]| []| line 8, /controlAddresses: must be 1 to 7 addresses",
                "secrets/cluster| | line 9, /clusterSecretFile: must be a path"
            })
    void shouldNameFileLineAndPathWhenEntrySettingIsWrong(String from, String into, String message) throws IOException {
        Path file = write("entry.json", ENTRY.replace(from, into == null ? "" : into), "rw-r--r--");

        SettingsException failure = assertThrows(SettingsException.class, () -> EntrySettings.load(file));

        assertEquals(ErrorCode.SETTINGS_INVALID, failure.code());
        assertTrue(failure.getMessage().contains("file " + file + ", " + message), failure.getMessage());
    }

    @Test
    void shouldRefuseControlSettingsWhenOwnAddressContradictsTheInitialHosts() throws IOException {
        Path file = write(
                "control.json",
                CONTROL.replace("\"protocolAddress\": \"127.0.0.1:7401\"", "\"protocolAddress\": \"127.0.0.1:7409\""),
                "rw-r--r--");

        SettingsException failure = assertThrows(SettingsException.class, () -> ControlSettings.load(file));

        assertTrue(failure.getMessage().contains("line 4, /protocolAddress"), failure.getMessage());
    }

    @Test
    void shouldRefuseFileWhenItIsMissingOrNoJson() throws IOException {
        Path noJson = write("broken.json", "{\n", "rw-r--r--");
        Path latin = Files.write(folder.resolve("latin.json"), new byte[] {'{', (byte) 0xe9, '}'});

        for (Path file : List.of(noJson, latin, folder.resolve("absent.json"), folder)) {
            SettingsException failure = assertThrows(SettingsException.class, () -> EntrySettings.load(file));
            assertEquals(ErrorCode.SETTINGS_UNREADABLE, failure.code());
            assertTrue(failure.getMessage().contains(file.toString()));
        }
    }

    @ParameterizedTest
    @CsvSource({"rw-r-----", "rw----r--", "rw--w----", "rw-----w-"})
    void shouldRefuseSecretWhenOthersMayReadOrWriteIt(String permissions) throws IOException {
        Path file = write("cluster", "cluster-secret-of-16", permissions);

        SettingsException failure = assertThrows(SettingsException.class, () -> SecretFile.read(file));

        assertEquals(ErrorCode.SETTINGS_INVALID, failure.code());
        assertFalse(failure.getMessage().contains("cluster-secret-of-16"));
    }

    @ParameterizedTest
    @CsvSource({"short", "two lines with~enough characters"})
    void shouldRefuseSecretWhenItIsShortOrHasSeveralLines(String content) throws IOException {
        Path file = write("cluster", content.replace('~', '\n'), "rw-------");

        assertThrows(SettingsException.class, () -> SecretFile.read(file));
    }
}
