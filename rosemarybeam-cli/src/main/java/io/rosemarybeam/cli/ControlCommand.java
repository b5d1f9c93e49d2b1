package io.rosemarybeam.cli;

import org.kohsuke.args4j.Option;

/** A command that sends a request to the leading control host. Fields are set by args4j. Confined to the main thread. */
abstract sealed class ControlCommand extends RemoteCommand
        permits ApplyCommand, DiffCommand, HistoryCommand, StatusCommand {
    @Option(
            name = "--control",
            metaVar = "ADDRESS,...",
            required = true,
            usage = "protocol addresses of control hosts; the leader is found from any of them")
    private String control;

    /**
     * Opens a client of the control hosts.
     *
     * @return the client; the caller closes it
     * @throws io.rosemarybeam.common.error.SettingsException if an option or the token file cannot be used
     */
    final ControlClient client() {
        return client(addresses("--control", control));
    }
}
