package io.rosemarybeam.cli;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Starts the operators' command line. */
public final class Main {
    /** Below this, records of the transport would appear between the lines that the operator reads. */
    private static final String LOG_LEVEL_PROPERTY = "rosemarybeam.log.level";

    private Main() {}

    /**
     * Runs one command and ends the process with its exit code.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        if (System.getProperty(LOG_LEVEL_PROPERTY) == null) {
            System.setProperty(LOG_LEVEL_PROPERTY, "FATAL");
        }
        PrintStream out = new PrintStream(System.out, false, StandardCharsets.UTF_8);
        PrintStream err = new PrintStream(System.err, true, StandardCharsets.UTF_8);
        ExitCode code = CommandLine.run(List.of(arguments), new Console(out, err));
        out.flush();
        System.exit(code.number());
    }
}
