package io.rosemarybeam.replay;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;

import io.rosemarybeam.common.error.TraceException;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** Entry point of the program {@code rosemarybeam-replay}. Fields are set by args4j. Confined to one thread. */
public final class ReplayProgram {
    static final int EXIT_SUCCESS = 0;
    static final int EXIT_MISSED = 1;
    static final int EXIT_BAD_INPUT = 2;

    @Argument(metaVar = "TRACE", usage = "trace file, one JSON object per line")
    private Path trace;

    @Option(name = "--seed", metaVar = "NUMBER", usage = "seed of arrivals, lengths and decisions (default 1)")
    private long seed = 1;

    @Option(name = "--policy", metaVar = "NAME", usage = "baseline or standard (default standard)")
    private String policy = "standard";

    @Option(name = "--without", metaVar = "POLICY", usage = "leave out one policy by its name, may be repeated")
    private List<String> without = new ArrayList<>();

    @Option(name = "--json", usage = "print the report as JSON")
    private boolean json;

    @Option(name = "--help", aliases = "-h", help = true, usage = "print this help")
    private boolean help;

    private ReplayProgram() {}

    /**
     * Replays a trace. The process exits with 0 if every outcome is met, 1 if one is missed, and 2 for bad input.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        System.exit(run(arguments, System.out, System.err));
    }

    /** Parses the arguments, replays the trace and returns the exit code. */
    static int run(String[] arguments, PrintStream output, PrintStream errors) {
        ReplayProgram program = new ReplayProgram();
        CmdLineParser parser = new CmdLineParser(program);
        try {
            parser.parseArgument(arguments);
        } catch (CmdLineException exception) {
            errors.println(exception.getMessage());
            usage(parser, errors);
            return EXIT_BAD_INPUT;
        }
        if (program.help) {
            usage(parser, output);
            return EXIT_SUCCESS;
        }
        return program.replay(parser, output, errors);
    }

    private int replay(CmdLineParser parser, PrintStream output, PrintStream errors) {
        if (trace == null || !policy.equals("baseline") && !policy.equals("standard")) {
            errors.println(trace == null ? "TRACE is missing" : "policy \"" + policy + "\" does not exist");
            usage(parser, errors);
            return EXIT_BAD_INPUT;
        }
        for (String name : without) {
            if (!Replay.POLICIES.contains(name)) {
                errors.println("policy \"" + name + "\" does not exist; there are " + Replay.POLICIES);
                return EXIT_BAD_INPUT;
            }
        }
        try {
            Replay.PolicyChoice choice = Replay.PolicyChoice.valueOf(policy.toUpperCase(Locale.ROOT));
            Report report = Replay.run(Trace.read(trace), seed, choice, Set.copyOf(without));
            output.print(json ? report.toJson() : report.toText());
            return report.isMet() ? EXIT_SUCCESS : EXIT_MISSED;
        } catch (TraceException exception) {
            errors.println(exception.getMessage());
            return EXIT_BAD_INPUT;
        }
    }

    private static void usage(CmdLineParser parser, PrintStream output) {
        output.println("Usage: rosemarybeam-replay TRACE [options]");
        output.println("Replays a trace through the decision cores and judges its stated outcomes.");
        parser.printUsage(output);
        output.println("Exit codes: 0 every outcome met, 1 an outcome missed, 2 usage or bad input");
    }
}
