package io.rosemarybeam.cli;

import org.kohsuke.args4j.Option;

/** A command of the program. Fields are set by args4j. Confined to the main thread. */
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
     * Returns the description of the command for its help text.
     *
     * @return one or more sentences; the first one is also shown in the overview of all commands
     */
    abstract String description();

    /**
     * Runs the command.
     *
     * @param console where results and notes are printed
     * @return the exit code
     * @throws io.rosemarybeam.common.error.RosemarybeamException if the command fails
     */
    abstract ExitCode run(Console console);
}
