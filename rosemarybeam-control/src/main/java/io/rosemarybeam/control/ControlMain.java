package io.rosemarybeam.control;

import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;

import io.rosemarybeam.common.configuration.ConfigurationParser;
import io.rosemarybeam.common.error.RosemarybeamException;
import io.rosemarybeam.common.error.SettingsException;
import io.rosemarybeam.common.settings.ControlSettings;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** Starts a control process. Confined to the main thread, apart from the stop hook. */
public final class ControlMain {
    private static final int FAILED = 1;
    private static final int USAGE = 2;

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

    private ControlMain() {}

    /**
     * Runs the program.
     *
     * @param arguments see {@code --help}
     */
    public static void main(String[] arguments) {
        ControlMain main = new ControlMain();
        CmdLineParser parser = new CmdLineParser(main);
        try {
            parser.parseArgument(arguments);
        } catch (CmdLineException failure) {
            System.err.println(failure.getMessage());
            printUsage(parser);
            System.exit(USAGE);
        }
        if (main.help) {
            printUsage(parser);
            return;
        }
        if (main.settingsFile == null) {
            System.err.println("option --settings is missing");
            printUsage(parser);
            System.exit(USAGE);
        }
        main.run();
    }

    private static void printUsage(CmdLineParser parser) {
        System.err.println("usage: rosemarybeam-control --settings FILE");
        parser.printUsage(System.err);
        System.err.println("exit codes: 0 stopped by SIGTERM or checked, 1 failed, 2 usage or invalid settings");
    }

    private void run() {
        ControlSettings settings;
        try {
            settings = ControlSettings.load(settingsFile);
            settings.secrets();
            if (checkOnly) {
                return;
            }
        } catch (SettingsException failure) {
            System.err.println(failure.getMessage());
            System.exit(USAGE);
            return;
        }
        AtomicBoolean failed = new AtomicBoolean();
        CountDownLatch stopped = new CountDownLatch(1);
        try {
            ControlProcess process = ControlProcess.of(settings, ConfigurationParser.standard(), failure -> {
                failed.set(true);
                stopped.countDown();
            });
            process.start();
            Runtime.getRuntime().addShutdownHook(new Thread(() -> {
                if (!failed.get()) {
                    process.stop();
                }
            }));
            stopped.await();
            Runtime.getRuntime().halt(FAILED);
        } catch (RosemarybeamException failure) {
            System.err.println(failure.getMessage());
            Runtime.getRuntime().halt(FAILED);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
