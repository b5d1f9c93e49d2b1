package io.rosemarybeam.cli;

import java.nio.file.Path;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.error.SettingsException;
import io.rosemarybeam.common.settings.NetworkAddress;
import io.rosemarybeam.common.settings.SecretFile;
import org.kohsuke.args4j.Option;

/** A command that sends a request to a host. Fields are set by args4j. Confined to the main thread. */
abstract sealed class RemoteCommand extends Command permits ControlCommand, DumpCommand {
    private static final int DEFAULT_TIMEOUT_SECONDS = 10;
    private static final int MAXIMUM_TIMEOUT_SECONDS = 3_600;

    @Option(
            name = "--token-file",
            metaVar = "FILE",
            required = true,
            usage = "file with the operator token; only its owner may read it")
    private Path tokenFile;

    @Option(
            name = "--timeout",
            metaVar = "SECONDS",
            usage = "how long to look for a control host that answers (default 10)")
    private int timeoutSeconds = DEFAULT_TIMEOUT_SECONDS;

    /**
     * Opens a client.
     *
     * @param addresses protocol addresses, tried in order
     * @return the client; the caller closes it
     * @throws SettingsException if the token file cannot be used or an option is out of range
     */
    final ControlClient client(List<String> addresses) {
        if (timeoutSeconds < 1 || timeoutSeconds > MAXIMUM_TIMEOUT_SECONDS) {
            throw new SettingsException(
                    ErrorCode.USAGE,
                    "--timeout must be from 1 to " + MAXIMUM_TIMEOUT_SECONDS + " seconds, is " + timeoutSeconds);
        }
        return ControlClient.open(addresses, SecretFile.read(tokenFile), Duration.ofSeconds(timeoutSeconds));
    }

    /**
     * Parses a comma-separated list of addresses.
     *
     * @param option name of the option, for error messages
     * @param list the addresses
     * @return the distinct addresses in the order of the list
     * @throws SettingsException with {@link ErrorCode#USAGE} if an address is not an IP address with a port
     */
    final List<String> addresses(String option, String list) {
        Set<String> addresses = new LinkedHashSet<>();
        for (String address : list.split(",", -1)) {
            try {
                addresses.add(NetworkAddress.check(address.strip()));
            } catch (IllegalArgumentException refusal) {
                throw new SettingsException(ErrorCode.USAGE, option + " " + refusal.getMessage(), refusal);
            }
        }
        return List.copyOf(addresses);
    }
}
