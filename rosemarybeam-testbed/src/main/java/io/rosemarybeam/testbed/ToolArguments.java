package io.rosemarybeam.testbed;

import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;

/** Parses the command lines of the tools of the test bed. Stateless and safe for use by several threads. */
final class ToolArguments {
    private static final int USAGE_EXIT_CODE = 2;

    private ToolArguments() {}

    /**
     * Sets the options of a tool. If the command line is invalid, prints the usage to standard error and exits with 2.
     *
     * @param tool object whose annotated fields receive the options
     * @param arguments command line
     * @return the parser, which can print the help
     */
    static CmdLineParser parse(Object tool, String[] arguments) {
        CmdLineParser parser = new CmdLineParser(tool);
        try {
            parser.parseArgument(arguments);
        } catch (CmdLineException failure) {
            System.err.println(failure.getMessage());
            parser.printUsage(System.err);
            System.exit(USAGE_EXIT_CODE);
        }
        return parser;
    }
}
