package io.rosemarybeam.cli;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

/** Entry point of the operators' command line. */
public final class Main {
    /**
     * System properties that turn logging off. Log records of the transport would be mixed with the output of the command,
     * and loading the full logging library takes a quarter of the run time of a command.
     */
    private static final Map<String, String> NO_LOGGING = Map.of(
            "log4j2.loggerContextFactory",
            "org.apache.logging.log4j.simple.SimpleLoggerContextFactory",
            "org.apache.logging.log4j.simplelog.level",
            "OFF");

    private Main() {}

    /**
     * Runs one command and ends the process with its exit code.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        NO_LOGGING.forEach(System::setProperty);
        PrintStream out = new PrintStream(System.out, false, StandardCharsets.UTF_8);
        PrintStream err = new PrintStream(System.err, true, StandardCharsets.UTF_8);
        ExitCode code = CommandLine.run(List.of(arguments), new Console(out, err));
        out.flush();
        System.exit(code.number());
    }
}
