package io.rosemarybeam.common.settings;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

import io.rosemarybeam.common.id.FailureDomain;
import io.rosemarybeam.common.id.HostName;

/**
 * Settings of a store process. Immutable and safe for use by several threads.
 *
 * @param name name of the host
 * @param failureDomain failure domain of the host
 * @param host IP address of the host
 * @param operatorAddress IP address and port for operators, endpoints and trainers
 * @param adminAddress IP address and port of metrics and dump
 * @param dataFolder folder of all durable files
 * @param stores addresses and secret for connections to the store hosts
 * @param firstStart whether the complete deployment starts for the first time
 * @param toleratedLosses number of hosts that may fail at the same time
 * @param endpointsCheckFencing whether endpoints refuse orders with an old fencing number
 * @param orderLease time for which an order of a former leader may still take effect, if endpoints do not check fencing
 *     numbers
 * @param heartbeatInterval interval between announcements of an endpoint
 * @param resultRetention time for which results are retained after a submission
 * @param stopTimeout time that the platform allows between SIGTERM and SIGKILL
 * @param contracts names of optional behaviour that the deployment asks for; empty if there are none
 * @param provider the provider that this host calls while it leads; empty if there are no such calls
 */
public record StoreSettings(
        HostName name,
        FailureDomain failureDomain,
        String host,
        String operatorAddress,
        String adminAddress,
        Path dataFolder,
        StoreSeeds stores,
        boolean firstStart,
        int toleratedLosses,
        boolean endpointsCheckFencing,
        Duration orderLease,
        Duration heartbeatInterval,
        Duration resultRetention,
        Duration stopTimeout,
        List<String> contracts,
        Optional<ProviderSettings> provider) {
    /** Copies the list. */
    public StoreSettings {
        contracts = List.copyOf(contracts);
    }

    /**
     * Loads a settings file.
     *
     * @param file JSON with comments
     * @return the settings
     * @throws io.rosemarybeam.common.error.SettingsException with file, line and path of every invalid setting
     */
    public static StoreSettings load(Path file) {
        return SettingsFile.parse(
                file, SettingsFile.readText(file), reader -> read(reader, new SharedSettingsReader(reader, file)));
    }

    /** Returns the IP address and port of the protocol between processes. */
    public String protocolAddress() {
        return host + ":" + stores.port();
    }

    private static Optional<StoreSettings> read(SettingsReader reader, SharedSettingsReader keys) {
        Optional<HostName> name = keys.name();
        Optional<FailureDomain> failureDomain = keys.failureDomain();
        Optional<String> host = reader.string("host");
        Optional<String> operators = keys.listenAddress("operatorAddress");
        Optional<String> admin = keys.listenAddress("adminAddress");
        Optional<Path> folder = keys.path("dataFolder");
        Optional<StoreSeeds> stores = StoreSeeds.read(reader);
        boolean firstStart = reader.flag("firstStart");
        int losses = (int) reader.wholeNumber("toleratedLosses", 0, 100);
        boolean fencing = reader.flag("endpointsCheckFencing");
        Duration lease = milliseconds(reader, "orderLeaseMilliseconds");
        Duration heartbeats = milliseconds(reader, "heartbeatMilliseconds");
        Duration resultRetention = seconds(reader, "resultsKeptSeconds");
        Duration stopTimeout = seconds(reader, "stopSeconds");
        List<String> contracts = reader.texts("contracts");
        Optional<ProviderSettings> provider = ProviderSettings.read(reader);
        keys.reportDuplicateAddresses();
        boolean isComplete = List.of(name, failureDomain, host, operators, admin, folder, stores).stream()
                .allMatch(Optional::isPresent);
        return isComplete
                ? Optional.of(new StoreSettings(
                        name.get(),
                        failureDomain.get(),
                        host.get(),
                        operators.get(),
                        admin.get(),
                        folder.get(),
                        stores.get(),
                        firstStart,
                        losses,
                        fencing,
                        lease,
                        heartbeats,
                        resultRetention,
                        stopTimeout,
                        contracts,
                        provider))
                : Optional.empty();
    }

    private static Duration milliseconds(SettingsReader reader, String key) {
        return Duration.ofMillis((long) reader.number(key, 1, 86_400_000));
    }

    private static Duration seconds(SettingsReader reader, String key) {
        return Duration.ofMillis((long) (1_000 * reader.number(key, 0.5, 86_400)));
    }
}
