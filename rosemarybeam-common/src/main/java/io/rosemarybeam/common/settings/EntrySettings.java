package io.rosemarybeam.common.settings;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

import io.rosemarybeam.common.configuration.ControlHostList;
import io.rosemarybeam.common.id.FailureDomain;
import io.rosemarybeam.common.id.HostName;
import io.rosemarybeam.common.wire.Secrets;

/**
 * Settings of an entry process. Immutable and safe for use by several threads.
 *
 * @param name name of the host
 * @param failureDomain failure domain of the host
 * @param callerAddress IP address and port for callers, trainers and endpoints
 * @param peerAddress IP address and port of the protocol between processes
 * @param adminAddress IP address and port of metrics and dump
 * @param controlAddresses protocol addresses of control hosts to try first
 * @param clusterSecretFile file with the secret of control and entry processes
 * @param operatorTokenFile file with the token of operators
 */
public record EntrySettings(
        HostName name,
        FailureDomain failureDomain,
        String callerAddress,
        String peerAddress,
        String adminAddress,
        List<String> controlAddresses,
        Path clusterSecretFile,
        Path operatorTokenFile) {
    public EntrySettings {
        controlAddresses = List.copyOf(controlAddresses);
    }

    /**
     * Loads a settings file.
     *
     * @param file JSON with comments; relative paths in it are resolved against its folder
     * @return the settings
     * @throws io.rosemarybeam.common.error.SettingsException with file, line and path of every invalid setting
     */
    public static EntrySettings load(Path file) {
        return parse(file, SettingsFile.readText(file));
    }

    static EntrySettings parse(Path file, String text) {
        return SettingsFile.parse(file, text, reader -> read(reader, new SharedSettingsReader(reader, file)));
    }

    /**
     * Reads the secrets from their files.
     *
     * @return the secrets that this process accepts
     * @throws io.rosemarybeam.common.error.SettingsException if a secret file cannot be used
     */
    public Secrets secrets() {
        return new Secrets(SecretFile.read(clusterSecretFile), Optional.of(SecretFile.read(operatorTokenFile)));
    }

    private static Optional<EntrySettings> read(SettingsReader reader, SharedSettingsReader keys) {
        Optional<HostName> name = keys.name();
        Optional<FailureDomain> failureDomain = keys.failureDomain();
        Optional<String> callerAddress = keys.listenAddress("callerAddress");
        Optional<String> peerAddress = keys.listenAddress("peerAddress");
        Optional<String> adminAddress = keys.listenAddress("adminAddress");
        Optional<List<String>> controlAddresses = reader.requiredElements("controlAddresses")
                .map(elements -> List.copyOf(
                        reader.distinct(elements, NetworkAddress::check).keySet()));
        Optional<Path> clusterSecretFile = keys.path("clusterSecretFile");
        Optional<Path> operatorTokenFile = keys.path("operatorTokenFile");
        keys.reportDuplicateAddresses();
        if (controlAddresses.isPresent()
                && (controlAddresses.get().isEmpty()
                        || controlAddresses.get().size() > ControlHostList.MAXIMUM_HOSTS)) {
            reader.report(
                    "controlAddresses",
                    "must be 1 to " + ControlHostList.MAXIMUM_HOSTS + " addresses, are "
                            + controlAddresses.get().size());
        }
        if (name.isEmpty()
                || failureDomain.isEmpty()
                || callerAddress.isEmpty()
                || peerAddress.isEmpty()
                || adminAddress.isEmpty()
                || controlAddresses.isEmpty()
                || clusterSecretFile.isEmpty()
                || operatorTokenFile.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(new EntrySettings(
                name.get(),
                failureDomain.get(),
                callerAddress.get(),
                peerAddress.get(),
                adminAddress.get(),
                controlAddresses.get(),
                clusterSecretFile.get(),
                operatorTokenFile.get()));
    }
}
