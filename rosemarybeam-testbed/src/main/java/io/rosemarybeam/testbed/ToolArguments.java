package io.rosemarybeam.testbed;

import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;

/** Reads the command lines of the tools of the test bed. Stateless and safe for use by several threads. */
final class ToolArguments {
    private static final int USAGE_EXIT_CODE = 2;

    private ToolArguments() {}

    /**
     * Fills the options of a tool; prints the usage and exits with 2 if the command line is wrong.
     *
     * @param tool has the annotated options
     * @param arguments the command line
     * @return the parser, to print the help with
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
