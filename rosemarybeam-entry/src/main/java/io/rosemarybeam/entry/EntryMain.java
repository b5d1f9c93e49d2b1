package io.rosemarybeam.entry;

import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;

import io.rosemarybeam.common.configuration.ConfigurationParser;
import io.rosemarybeam.common.error.RosemarybeamException;
import io.rosemarybeam.common.error.SettingsException;
import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;
import io.rosemarybeam.common.settings.EntrySettings;
import io.rosemarybeam.decision.request.RequestCore;
import io.rosemarybeam.decision.request.RequestCoreSettings;
import io.rosemarybeam.decision.rollout.RolloutCore;
import io.rosemarybeam.decision.rollout.RolloutCoreSettings;
import io.rosemarybeam.decision.step.StepCore;
import io.rosemarybeam.decision.step.StepCoreSettings;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** Starts an entry process. Confined to the main thread, apart from the stop hook. */
public final class EntryMain {
    private static final EventLog LOG = EventLog.of(EntryMain.class);
    private static final int SUCCESS = 0;
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

    private EntryMain() {}

    /**
     * Runs the program.
     *
     * @param arguments see {@code --help}
     */
    public static void main(String[] arguments) {
        EntryMain main = new EntryMain();
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
        System.err.println("usage: rosemarybeam-entry --settings FILE");
        parser.printUsage(System.err);
        System.err.println("exit codes: 0 stopped or checked, 1 failed, 2 usage or invalid settings");
    }

    private void run() {
        EntrySettings settings;
        try {
            settings = EntrySettings.load(settingsFile);
            settings.secrets();
            if (checkOnly) {
                return;
            }
        } catch (SettingsException failure) {
            System.err.println(failure.getMessage());
            System.exit(USAGE);
            return;
        }
        try {
            EntryProcess process = EntryProcess.start(settings, cores(settings), ConfigurationParser.standard());
            LOG.log(Event.PROCESS_STARTED, "entry", settings.name(), "address", settings.callerAddress());
            Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(process)));
            // A drain by the operator's text leaves the process running: exiting would have a supervisor restart it.
            new CountDownLatch(1).await();
        } catch (InterruptedException interrupted) {
            System.exit(SUCCESS);
        } catch (RosemarybeamException failure) {
            LOG.log(Event.PROCESS_FAILED, failure);
            Runtime.getRuntime().halt(FAILED);
        }
    }

    /** Drains, unless the operator's text has had the process drained already, and exits as a success. */
    private static void stop(EntryProcess process) {
        LOG.log(Event.PROCESS_STOPPING);
        process.drain().join();
        process.close();
        LOG.log(Event.PROCESS_STOPPED);
        Runtime.getRuntime().halt(SUCCESS);
    }

    private static EntryProcess.Cores cores(EntrySettings settings) {
        return new EntryProcess.Cores(
                RequestCore.of(RequestCoreSettings.builder(settings.name(), settings.failureDomain())
                        .seed(ThreadLocalRandom.current().nextLong())
                        .build()),
                StepCore.of(StepCoreSettings.builder(settings.name(), settings.failureDomain())
                        .seed(ThreadLocalRandom.current().nextLong())
                        .build()),
                RolloutCore.of(RolloutCoreSettings.builder(settings.name()).build()));
    }
}
