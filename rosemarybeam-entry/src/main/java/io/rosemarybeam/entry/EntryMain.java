package io.rosemarybeam.entry;

import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;

import io.rosemarybeam.common.configuration.ConfigurationParser;
import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;
import io.rosemarybeam.common.settings.EntrySettings;
import io.rosemarybeam.common.settings.ServerProgram;
import io.rosemarybeam.decision.request.RequestCore;
import io.rosemarybeam.decision.request.RequestCoreSettings;
import io.rosemarybeam.decision.rollout.RolloutCore;
import io.rosemarybeam.decision.rollout.RolloutCoreSettings;
import io.rosemarybeam.decision.step.StepCore;
import io.rosemarybeam.decision.step.StepCoreSettings;

/** Main class of the entry process. Confined to the main thread, apart from the shutdown hook. */
public final class EntryMain {
    private static final EventLog LOG = EventLog.of(EntryMain.class);
    private static final int SUCCESS = 0;

    private EntryMain() {}

    /**
     * Runs the entry until the process is terminated.
     *
     * @param arguments command line, see {@code --help}
     */
    public static void main(String[] arguments) {
        ServerProgram.run("rosemarybeam-entry", arguments, EntryMain::load, EntryMain::serve);
    }

    private static EntrySettings load(Path file) {
        EntrySettings settings = EntrySettings.load(file);
        settings.secrets();
        return settings;
    }

    private static void serve(EntrySettings settings) {
        EntryProcess process = EntryProcess.start(settings, cores(settings), ConfigurationParser.standard());
        LOG.log(Event.PROCESS_STARTED, "entry", settings.name(), "address", settings.callerAddress());
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(process)));
        try {
            // A drain by the configuration leaves the process running: if it exited, a supervisor would restart it.
            new CountDownLatch(1).await();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** Drains the process, unless the configuration has already had it drained, and exits with a success status. */
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
