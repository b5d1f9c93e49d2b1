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
 * @param failureDomain failure domain of the host
 * @param callerAddress IP address and port for callers
 * @param readyAddress IP address and port of the readiness check, which reports whether callers are served
 * @param lookupAddress IP address and port where callers look up which addresses to use; empty if not served
 * @param peerAddress IP address and port for requests that other edges hand on; empty if they hand none on to this one
 * @param adminAddress IP address and port of metrics and dump
 * @param stores addresses and secret for connections to the store hosts
 * @param stopTimeout time that the platform allows between SIGTERM and SIGKILL
 * @param capacity processor cores of the host that the process may use; 0 if they are not known
 * @param probesEndpoints whether endpoints are asked for their load before a request if no recent load is known; false if the
 *     settings do not say so
 */
public record EdgeSettings(
        HostName name,
        FailureDomain failureDomain,
        String callerAddress,
        String readyAddress,
        Optional<String> lookupAddress,
        Optional<String> peerAddress,
        String adminAddress,
        StoreSeeds stores,
        Duration stopTimeout,
        double capacity,
        boolean probesEndpoints) {
    /** Maximum number of cores of a host. */
    private static final double MAXIMUM_CORES = 10_000;

    /**
     * Loads a settings file.
     *
     * @param file JSON with comments
     * @return the settings
     * @throws io.rosemarybeam.common.error.SettingsException with file, line and path of every invalid setting
     */
    public static EdgeSettings load(Path file) {
        return SettingsFile.parse(
                file, SettingsFile.readText(file), reader -> read(reader, new SharedSettingsReader(reader, file)));
    }

    private static Optional<EdgeSettings> read(SettingsReader reader, SharedSettingsReader keys) {
        Optional<HostName> name = keys.name();
        Optional<FailureDomain> failureDomain = keys.failureDomain();
        Optional<String> callers = keys.listenAddress("callerAddress");
        Optional<String> ready = keys.listenAddress("readyAddress");
        Optional<String> lookup = reader.has("lookupAddress") ? keys.listenAddress("lookupAddress") : Optional.empty();
        Optional<String> peer = reader.has("peerAddress") ? keys.listenAddress("peerAddress") : Optional.empty();
        Optional<String> admin = keys.listenAddress("adminAddress");
        Optional<StoreSeeds> stores = StoreSeeds.read(reader);
        Duration stopTimeout = Duration.ofMillis((long) (1_000 * reader.number("stopSeconds", 0.5, 600)));
        double capacity = readCapacity(reader);
        boolean probes = reader.has("probesEndpoints") && reader.flag("probesEndpoints");
        keys.reportDuplicateAddresses();
        boolean isComplete = List.of(name, failureDomain, callers, ready, admin, stores).stream()
                .allMatch(Optional::isPresent);
        return isComplete
                ? Optional.of(new EdgeSettings(
                        name.get(),
                        failureDomain.get(),
                        callers.get(),
                        ready.get(),
                        lookup,
                        peer,
                        admin.get(),
                        stores.get(),
                        stopTimeout,
                        capacity,
                        probes))
                : Optional.empty();
    }

    /** Reads the cores of the host and the share of them that the process may use; both are optional. */
    private static double readCapacity(SettingsReader reader) {
        double share = reader.has("cpuShare") ? reader.number("cpuShare", 0, MAXIMUM_CORES) : 0;
        double cores = reader.has("cores") ? reader.number("cores", 0, MAXIMUM_CORES) : 0;
        return share * cores;
    }
}
