package io.rosemarybeam.control;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;

import io.rosemarybeam.common.configuration.OperatorConfiguration.ControlHost;
import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.error.SettingsException;
import io.rosemarybeam.common.id.FailureDomain;
import io.rosemarybeam.common.id.HostName;
import io.rosemarybeam.common.settings.Findings;
import io.rosemarybeam.common.settings.JsonText;
import io.rosemarybeam.common.settings.NetworkAddress;
import io.rosemarybeam.common.settings.SettingsReader;

/**
 * Settings of a control process. Immutable and safe for use by several threads.
 *
 * @param name name of this host
 * @param address IP number and port to listen on for other processes
 * @param adminAddress IP number and port of the admin pages; empty if they are not served
 * @param failureDomain where the host runs
 * @param dataFolder folder of all files
 * @param clusterSecret secret shared by control and entry processes
 * @param operatorToken token of operators
 * @param controlHosts control hosts before the first configuration is accepted, this one included; the one with the
 *     smallest name starts the first log once all others have reported that they hold none
 */
public record ControlSettings(
        HostName name,
        String address,
        Optional<String> adminAddress,
        FailureDomain failureDomain,
        Path dataFolder,
        String clusterSecret,
        String operatorToken,
        List<ControlHost> controlHosts) {
    /** Shortest accepted secret, in characters. */
    private static final int MINIMUM_SECRET_LENGTH = 8;

    /** Copies the list. */
    public ControlSettings {
        controlHosts = List.copyOf(controlHosts);
    }

    /**
     * Reads a settings file.
     *
     * @param file JSON with comments
     * @return the settings
     * @throws SettingsException with {@link ErrorCode#SETTINGS_UNREADABLE} if the file cannot be read, or with
     *     {@link ErrorCode#SETTINGS_INVALID} and one line for every broken rule
     */
    public static ControlSettings load(Path file) {
        try {
            return parse(file.toString(), Files.readString(file));
        } catch (IOException failure) {
            throw new SettingsException(ErrorCode.SETTINGS_UNREADABLE, file.toString(), failure);
        }
    }

    static ControlSettings parse(String fileName, String text) {
        Findings findings = new Findings();
        Optional<ControlSettings> settings =
                JsonText.read(text, findings).flatMap(root -> read(SettingsReader.of(root, findings)));
        if (settings.isEmpty() || !findings.isEmpty()) {
            String problems = findings.inOrder().stream()
                    .map(finding -> fileName + ": " + finding)
                    .collect(Collectors.joining("\n"));
            throw new SettingsException(ErrorCode.SETTINGS_INVALID, problems);
        }
        return settings.get();
    }

    private static Optional<ControlSettings> read(SettingsReader reader) {
        Optional<HostName> name = reader.converted("name", HostName::of);
        Optional<String> address = reader.converted("address", NetworkAddress::check);
        Optional<String> admin =
                reader.has("adminAddress") ? reader.converted("adminAddress", NetworkAddress::check) : Optional.empty();
        Optional<FailureDomain> domain = reader.converted("failureDomain", FailureDomain::of);
        Optional<Path> folder = reader.converted("dataFolder", Path::of);
        Optional<String> secret = reader.converted("clusterSecret", secretCheck());
        Optional<String> token = reader.converted("operatorToken", secretCheck());
        List<ControlHost> hosts = readHosts(reader);
        reader.refuseUnknownKeys();
        boolean listed =
                name.isEmpty() || hosts.stream().anyMatch(host -> host.name().equals(name.get()));
        if (!hosts.isEmpty() && !listed) {
            reader.report("controlHosts", "does not list this host, " + name.get());
        }
        boolean complete = name.isPresent()
                && address.isPresent()
                && domain.isPresent()
                && folder.isPresent()
                && secret.isPresent()
                && token.isPresent();
        if (!complete) {
            return Optional.empty();
        }
        List<ControlHost> known =
                hosts.isEmpty() ? List.of(new ControlHost(name.get(), address.get(), domain.get())) : hosts;
        return Optional.of(new ControlSettings(
                name.get(), address.get(), admin, domain.get(), folder.get(), secret.get(), token.get(), known));
    }

    private static UnaryOperator<String> secretCheck() {
        return secret -> {
            if (secret.length() < MINIMUM_SECRET_LENGTH) {
                throw new IllegalArgumentException("must have at least " + MINIMUM_SECRET_LENGTH + " characters");
            }
            return secret;
        };
    }

    private static List<ControlHost> readHosts(SettingsReader reader) {
        List<ControlHost> hosts = new ArrayList<>();
        for (var element : reader.elements("controlHosts")) {
            reader.objectOf(element).ifPresent(host -> {
                Optional<HostName> name = host.converted("name", HostName::of);
                Optional<String> address = host.converted("address", NetworkAddress::check);
                Optional<FailureDomain> domain = host.converted("failureDomain", FailureDomain::of);
                host.refuseUnknownKeys();
                if (name.isPresent() && address.isPresent() && domain.isPresent()) {
                    hosts.add(new ControlHost(name.get(), address.get(), domain.get()));
                }
            });
        }
        return hosts;
    }

    @Override
    public String toString() {
        return "ControlSettings[" + name + ", " + address + "]";
    }
}
