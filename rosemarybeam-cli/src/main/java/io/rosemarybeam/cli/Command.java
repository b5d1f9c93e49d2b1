package io.rosemarybeam.cli;

import org.kohsuke.args4j.Option;

/** One command of the program. Filled by the command line; confined to the main thread. */
abstract sealed class Command permits ExplainCommand, RemoteCommand, ValidateCommand {
    @Option(name = "--json", usage = "print the result as JSON")
    private boolean json;

    @Option(name = "--help", help = true, usage = "print this help")
    private boolean help;

    final boolean json() {
        return json;
    }

    final boolean help() {
        return help;
    }

    /**
     * Returns what the command does.
     *
     * @return one or more sentences for the help text
     */
    abstract String description();

    /**
     * Runs the command.
     *
     * @param console where it writes
     * @return how the program ends
     * @throws io.rosemarybeam.common.error.RosemarybeamException if it fails
     */
    abstract ExitCode run(Console console);
}
