package io.rosemarybeam.common.settings;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

import io.rosemarybeam.common.configuration.ControlHostList;
import io.rosemarybeam.common.configuration.OperatorConfiguration.ControlHost;
import io.rosemarybeam.common.id.FailureDomain;
import io.rosemarybeam.common.id.HostName;
import io.rosemarybeam.common.wire.Secrets;

/**
 * Settings of a control process. Immutable and safe for use by several threads.
 *
 * @param name name of the host
 * @param failureDomain failure domain of the host
 * @param protocolAddress IP address and port of the protocol between processes
 * @param adminAddress IP address and port of metrics and dump
 * @param dataFolder folder of all durable files
 * @param clusterSecretFile file with the secret of control and entry processes
 * @param operatorTokenFile file with the token of operators
 * @param initialControlHosts the voters of a new deployment; afterwards the operator configuration determines the
 *     control hosts
 */
public record ControlSettings(
        HostName name,
        FailureDomain failureDomain,
        String protocolAddress,
        String adminAddress,
        Path dataFolder,
        Path clusterSecretFile,
        Path operatorTokenFile,
        List<ControlHost> initialControlHosts) {
    public ControlSettings {
        initialControlHosts = List.copyOf(initialControlHosts);
    }

    /**
     * Loads a settings file.
     *
     * @param file JSON with comments; relative paths in it are resolved against its folder
     * @return the settings
     * @throws io.rosemarybeam.common.error.SettingsException with file, line and path of every invalid setting
     */
    public static ControlSettings load(Path file) {
        return parse(file, SettingsFile.readText(file));
    }

    static ControlSettings parse(Path file, String text) {
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

    private static Optional<ControlSettings> read(SettingsReader reader, SharedSettingsReader keys) {
        Optional<HostName> name = keys.name();
        Optional<FailureDomain> failureDomain = keys.failureDomain();
        Optional<String> protocolAddress = keys.listenAddress("protocolAddress");
        Optional<String> adminAddress = keys.listenAddress("adminAddress");
        Optional<Path> dataFolder = keys.path("dataFolder");
        Optional<Path> clusterSecretFile = keys.path("clusterSecretFile");
        Optional<Path> operatorTokenFile = keys.path("operatorTokenFile");
        List<ControlHost> hosts = ControlHostList.read(reader, "initialControlHosts");
        keys.reportDuplicateAddresses();
        for (ControlHost host : hosts) {
            if (Optional.of(host.name()).equals(name)
                    && !Optional.of(host.address()).equals(protocolAddress)) {
                reader.report(
                        "protocolAddress",
                        "must be the address of \"" + host.name() + "\" in initialControlHosts, which is "
                                + host.address());
            }
        }
        if (name.isEmpty()
                || failureDomain.isEmpty()
                || protocolAddress.isEmpty()
                || adminAddress.isEmpty()
                || dataFolder.isEmpty()
                || clusterSecretFile.isEmpty()
                || operatorTokenFile.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(new ControlSettings(
                name.get(),
                failureDomain.get(),
                protocolAddress.get(),
                adminAddress.get(),
                dataFolder.get(),
                clusterSecretFile.get(),
                operatorTokenFile.get(),
                hosts));
    }
}
