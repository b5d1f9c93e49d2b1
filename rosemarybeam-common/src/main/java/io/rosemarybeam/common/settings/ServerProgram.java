package io.rosemarybeam.common.settings;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.function.Consumer;
import java.util.function.Function;

import io.rosemarybeam.common.error.RosemarybeamException;
import io.rosemarybeam.common.error.SettingsException;
import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/**
 * The command line of all server programs: the settings file, an option that only checks it, and help.
 *
 * <p>Invariant: exits with 0 after SIGTERM or SIGINT, also while it starts, with {@link #FAILED} if the process fails and with
 * {@link #USAGE} for an invalid command line or invalid settings, in which case nothing is started. Confined to the main thread.
 */
public final class ServerProgram {
    /** Exit code of a process that failed. */
    public static final int FAILED = 1;

    /** Exit code for an invalid command line or invalid settings. */
    public static final int USAGE = 2;

    /** Environment variable with the path of the settings file, for platforms that pass it in the environment. */
    public static final String SETTINGS_VARIABLE = "ROSEMARYBEAM_SETTINGS";

    private static final EventLog LOG = EventLog.of(ServerProgram.class);

    private final String name;

    @Option(name = "--settings", metaVar = "FILE", usage = "settings file, JSON with comments")
    private Path settingsFile;

    @Option(name = "--check", usage = "check the settings file and exit")
    private boolean checkOnly;

    @Option(
            name = "--help",
            aliases = {"-h"},
            help = true,
            usage = "print this text and exit")
    private boolean help;

    private ServerProgram(String name) {
        this.name = name;
    }

    /**
     * Runs a program.
     *
     * @param name name of the program, shown in its help
     * @param arguments the command line
     * @param load loads and checks the settings; throws {@link SettingsException}
     * @param serve starts the process and returns when it has stopped; may throw {@link RosemarybeamException}
     * @param <S> type of the settings
     */
    public static <S> void run(String name, String[] arguments, Function<Path, S> load, Consumer<S> serve) {
        ProcessFailure.endOnUncaughtErrors();
        ProcessSignals.install();
        ServerProgram program = new ServerProgram(name);
        CmdLineParser parser = new CmdLineParser(program);
        try {
            parser.parseArgument(arguments);
        } catch (CmdLineException failure) {
            program.exitWithUsage(parser, failure.getMessage());
            return;
        }
        if (program.settingsFile == null && System.getenv(SETTINGS_VARIABLE) != null) {
            program.settingsFile = Path.of(System.getenv(SETTINGS_VARIABLE));
        }
        if (program.help) {
            program.printUsage(parser, System.out);
        } else if (program.settingsFile == null) {
            program.exitWithUsage(parser, "option --settings is missing");
        } else {
            program.start(load, serve);
        }
    }

    private <S> void start(Function<Path, S> load, Consumer<S> serve) {
        S settings;
        try {
            settings = load.apply(settingsFile);
        } catch (SettingsException failure) {
            System.err.println(failure.getMessage());
            System.exit(USAGE);
            return;
        }
        if (checkOnly) {
            return;
        }
        try {
            serve.accept(settings);
        } catch (RosemarybeamException failure) {
            LOG.log(Event.PROCESS_FAILED, failure);
            ProcessFailure.end();
        }
    }

    private void exitWithUsage(CmdLineParser parser, String reason) {
        System.err.println(reason);
        printUsage(parser, System.err);
        System.exit(USAGE);
    }

    private void printUsage(CmdLineParser parser, PrintStream out) {
        out.println("usage: " + name + " --settings FILE");
        parser.printUsage(out);
        out.println("exit codes: 0 stopped by SIGTERM or checked, 1 failed, 2 usage or invalid settings");
    }
}
