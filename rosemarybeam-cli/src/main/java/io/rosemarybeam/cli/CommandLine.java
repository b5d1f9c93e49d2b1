package io.rosemarybeam.cli;

import java.io.StringWriter;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

import io.rosemarybeam.common.error.ControlException;
import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.error.RosemarybeamException;
import io.rosemarybeam.common.error.SettingsException;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.ParserProperties;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommands;

/** Parses the command line and runs the command. Confined to the main thread. */
final class CommandLine {
    private static final String PROGRAM = "rosemarybeam";

    /** Maximum line length of the help texts, in characters. */
    private static final int USAGE_WIDTH = 100;

    /** Arguments that start with {@code @} are values here, not names of files with further arguments. */
    static final ParserProperties PROPERTIES = ParserProperties.defaults()
            .withAtSyntax(false)
            .withShowDefaults(false)
            .withUsageWidth(USAGE_WIDTH);

    private static final List<Command> COMMANDS = List.of(
            new ValidateCommand(),
            new DiffCommand(),
            new ApplyCommand(),
            new StatusCommand(),
            new HistoryCommand(),
            new DumpCommand(),
            new ExplainCommand());

    private CommandLine() {}

    /** The options before the command, and the command itself. Fields are set by args4j. */
    private static final class Arguments {
        @Argument(metaVar = "COMMAND", required = true, handler = CommandHandler.class)
        @SubCommands({
            @SubCommand(name = "validate", impl = ValidateCommand.class),
            @SubCommand(name = "diff", impl = DiffCommand.class),
            @SubCommand(name = "apply", impl = ApplyCommand.class),
            @SubCommand(name = "status", impl = StatusCommand.class),
            @SubCommand(name = "history", impl = HistoryCommand.class),
            @SubCommand(name = "dump", impl = DumpCommand.class),
            @SubCommand(name = "explain", impl = ExplainCommand.class)
        })
        private Command command;

        @Option(name = "--help", help = true, usage = "print this help")
        private boolean help;
    }

    /**
     * Parses the arguments and runs the command. Failures are printed to the console and mapped to an exit code.
     *
     * @param arguments the arguments, without the name of the program
     * @param console where results and failures are printed
     * @return the exit code
     */
    static ExitCode run(List<String> arguments, Console console) {
        boolean json = arguments.contains("--json");
        Arguments parsed = new Arguments();
        try {
            new CmdLineParser(parsed, PROPERTIES).parseArgument(arguments);
        } catch (CmdLineException failure) {
            console.printFailure(new SettingsException(ErrorCode.USAGE, failure.getMessage()), json);
            console.printNote("Try \"" + PROGRAM + " --help\".");
            return ExitCode.USAGE;
        }
        if (parsed.help || parsed.command.help()) {
            console.printText(parsed.command == null ? help() : help(parsed.command));
            return ExitCode.SUCCESS;
        }
        try {
            return parsed.command.run(console);
        } catch (RosemarybeamException failure) {
            console.printFailure(failure, json);
            return ExitCode.of(failure.code());
        } catch (RuntimeException failure) {
            console.printFailure(new ControlException(ErrorCode.INTERNAL, String.valueOf(failure), failure), json);
            return ExitCode.REFUSED;
        }
    }

    private static String name(Command command) {
        return command.getClass().getSimpleName().replace("Command", "").toLowerCase(Locale.ROOT);
    }

    private static String help() {
        StringBuilder text = new StringBuilder("usage: " + PROGRAM + " COMMAND ...\n\nCommands:\n");
        for (Command command : COMMANDS) {
            String padded = (name(command) + "          ").substring(0, 10);
            text.append("  ").append(padded).append(firstSentence(command)).append('\n');
        }
        text.append('\n').append("\"").append(PROGRAM).append(" COMMAND --help\" explains a command.\n");
        return text.append(exitCodes()).toString();
    }

    /** Returns the first sentence of the description, for the overview of all commands. */
    private static String firstSentence(Command command) {
        String description = command.description();
        return description.substring(0, description.indexOf('.') + 1);
    }

    private static String help(Command command) {
        CmdLineParser parser = new CmdLineParser(command, PROPERTIES);
        StringWriter line = new StringWriter();
        parser.printSingleLineUsage(line, null);
        StringWriter options = new StringWriter();
        parser.printUsage(options, null);
        return "usage: " + PROGRAM + " " + name(command) + line.toString().stripTrailing() + "\n\n"
                + wrapped(command.description()) + "\n" + options + exitCodes();
    }

    private static String wrapped(String text) {
        StringBuilder wrapped = new StringBuilder();
        int column = 0;
        for (String word : Arrays.asList(text.split(" "))) {
            if (column > 0 && column + 1 + word.length() > USAGE_WIDTH) {
                wrapped.append('\n');
                column = 0;
            }
            wrapped.append(column == 0 ? "" : " ").append(word);
            column += word.length() + (column == 0 ? 0 : 1);
        }
        return wrapped.append('\n').toString();
    }

    private static String exitCodes() {
        return """

                Exit codes:
                  0  success
                  1  refused, or the outcome was missed
                  2  wrong usage or bad input
                  3  no control host answered
                  4  another text was accepted under the same number
                """;
    }
}
