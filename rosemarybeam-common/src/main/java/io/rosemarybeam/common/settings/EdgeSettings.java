package io.rosemarybeam.common.settings;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

import io.rosemarybeam.common.id.FailureDomain;
import io.rosemarybeam.common.id.HostName;

/**
 * Settings of an edge process. Immutable and safe for use by several threads.
 *
 * @param name name of the host
 * @param failureDomain where it runs
 * @param callerAddress IP number and port for callers
 * @param readyAddress IP number and port that tells whether callers are served
 * @param lookupAddress IP number and port that tells callers which addresses to use; empty if it does not
 * @param adminAddress IP number and port of metrics and dump
 * @param stores what is known of the store hosts
 * @param stopTime time between SIGTERM and SIGKILL
 */
public record EdgeSettings(
        HostName name,
        FailureDomain failureDomain,
        String callerAddress,
        String readyAddress,
        Optional<String> lookupAddress,
        String adminAddress,
        StoreSeeds stores,
        Duration stopTime) {
    /**
     * Loads a settings file.
     *
     * @param file JSON with comments
     * @return the settings
     * @throws io.rosemarybeam.common.error.SettingsException that names file, line and path of everything that is wrong
     */
    public static EdgeSettings load(Path file) {
        return SettingsFile.parse(
                file, SettingsFile.readText(file), reader -> read(reader, new ProcessKeys(reader, file)));
    }

    private static Optional<EdgeSettings> read(SettingsReader reader, ProcessKeys keys) {
        Optional<HostName> name = keys.name();
        Optional<FailureDomain> failureDomain = keys.failureDomain();
        Optional<String> callers = keys.ownAddress("callerAddress");
        Optional<String> ready = keys.ownAddress("readyAddress");
        Optional<String> lookup = reader.has("lookupAddress") ? keys.ownAddress("lookupAddress") : Optional.empty();
        Optional<String> admin = keys.ownAddress("adminAddress");
        Optional<StoreSeeds> stores = StoreSeeds.read(reader);
        Duration stopTime = Duration.ofMillis((long) (1_000 * reader.number("stopSeconds", 0.5, 600)));
        keys.refuseRepeatedAddresses();
        boolean isWhole = List.of(name, failureDomain, callers, ready, admin, stores).stream()
                .allMatch(Optional::isPresent);
        return isWhole
                ? Optional.of(new EdgeSettings(
                        name.get(),
                        failureDomain.get(),
                        callers.get(),
                        ready.get(),
                        lookup,
                        admin.get(),
                        stores.get(),
                        stopTime))
                : Optional.empty();
    }
}
