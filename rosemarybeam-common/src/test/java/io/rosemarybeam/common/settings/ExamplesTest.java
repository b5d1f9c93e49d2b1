package io.rosemarybeam.common.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

import io.rosemarybeam.common.configuration.ConfigurationParser;
import io.rosemarybeam.common.configuration.ConfigurationParser.Result;
import io.rosemarybeam.common.configuration.OperatorConfiguration;
import io.rosemarybeam.common.configuration.OperatorConfiguration.ControlHost;
import io.rosemarybeam.common.configuration.ServiceConfiguration;
import io.rosemarybeam.common.id.ServiceName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against example files that a process would reject, or that contradict each other. */
class ExamplesTest {
    private static final Path EXAMPLES = Path.of("..", "examples");

    private static OperatorConfiguration text(String deployment) throws IOException {
        String text = Files.readString(EXAMPLES.resolve(deployment).resolve("operator.json"));
        return assertInstanceOf(
                        Result.Valid.class, ConfigurationParser.standard().parse(text))
                .configuration();
    }

    private static List<Path> files(String deployment, String prefix) throws IOException {
        try (Stream<Path> files = Files.list(EXAMPLES.resolve(deployment))) {
            return files.filter(file -> file.getFileName().toString().matches(prefix + "-\\d+\\.json"))
                    .sorted()
                    .toList();
        }
    }

    private static List<ControlSettings> controls(String deployment) throws IOException {
        return files(deployment, "control").stream().map(ControlSettings::load).toList();
    }

    private static List<EntrySettings> entries(String deployment) throws IOException {
        return files(deployment, "entry").stream().map(EntrySettings::load).toList();
    }

    @ParameterizedTest
    @CsvSource({"al-nour, 3, 7, 4", "benkirane, 3, 6, 3"})
    void shouldAgreeWithTheOperatorTextWhenSettingsAreLoaded(String deployment, int controls, int entries, long domains)
            throws IOException {
        OperatorConfiguration text = text(deployment);

        List<ControlHost> fromSettings = controls(deployment).stream()
                .map(settings -> new ControlHost(settings.name(), settings.protocolAddress(), settings.failureDomain()))
                .toList();

        assertEquals(controls, fromSettings.size());
        assertEquals(text.controlHosts(), fromSettings);
        controls(deployment).forEach(settings -> assertEquals(text.controlHosts(), settings.initialControlHosts()));
        assertEquals(entries, entries(deployment).size());
        assertEquals(
                domains,
                entries(deployment).stream()
                        .map(EntrySettings::failureDomain)
                        .distinct()
                        .count());
        List<String> addresses =
                text.controlHosts().stream().map(ControlHost::address).sorted().toList();
        for (EntrySettings settings : entries(deployment)) {
            assertEquals(
                    addresses, settings.controlAddresses().stream().sorted().toList());
        }
    }

    @Test
    void shouldUseEveryAddressAndDataFolderOnceWhenBothDeploymentsRun() throws IOException {
        List<String> used = new ArrayList<>();
        for (String deployment : List.of("al-nour", "benkirane")) {
            for (ControlSettings settings : controls(deployment)) {
                used.addAll(List.of(
                        settings.protocolAddress(),
                        settings.adminAddress(),
                        settings.dataFolder().toString()));
            }
            for (EntrySettings settings : entries(deployment)) {
                used.addAll(List.of(settings.callerAddress(), settings.peerAddress(), settings.adminAddress()));
            }
        }

        assertEquals(3 * 3 + 7 * 3 + 3 * 3 + 6 * 3, used.size());
        assertEquals(used.stream().distinct().toList(), used);
        used.forEach(address -> assertTrue(address.startsWith("127.0.0.1:") || address.startsWith("/"), address));
    }

    @Test
    void shouldNotRepeatBookingsAndOrdersWhenServicesArePlain() throws IOException {
        for (Map.Entry<String, String> service :
                Map.of("al-nour", "workshop-app", "benkirane", "guichet").entrySet()) {
            ServiceConfiguration plain = text(service.getKey()).services().get(ServiceName.of(service.getValue()));

            for (String method : List.of("POST", "PUT", "PATCH", "DELETE")) {
                assertFalse(plain.idempotentCalls().stream().anyMatch(call -> call.matches(method, "/bookings")));
            }
            assertTrue(plain.idempotentCalls().stream().anyMatch(call -> call.matches("GET", "/bookings")));
        }
    }
}
