package io.rosemarybeam.store;

import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;

import io.rosemarybeam.common.error.SettingsException;
import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;
import io.rosemarybeam.common.settings.ProcessFailure;
import io.rosemarybeam.common.settings.ServerProgram;
import io.rosemarybeam.common.settings.SettingsFileWatcher;
import io.rosemarybeam.common.settings.StoreSettings;

/** Starts a store process. Confined to the main thread, apart from the shutdown hook. */
public final class StoreMain {
    private static final EventLog LOG = EventLog.of(StoreMain.class);

    private StoreMain() {}

    /**
     * Runs the program.
     *
     * @param arguments see {@code --help}
     */
    public static void main(String[] arguments) {
        ServerProgram.run("rosemarybeam-store", arguments, StoreMain::load, StoreMain::serve);
    }

    private static Loaded load(Path file) {
        return new Loaded(file, StoreSettings.load(file));
    }

    private static void serve(Loaded loaded) {
        CountDownLatch failed = new CountDownLatch(1);
        StoreSupervisor supervisor = StoreSupervisor.start(loaded.settings, failure -> failed.countDown());
        Runtime.getRuntime().addShutdownHook(new Thread(supervisor::stop));
        SettingsFileWatcher.start(loaded.file, () -> reload(supervisor, loaded.file));
        try {
            failed.await();
            ProcessFailure.end();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private static void reload(StoreSupervisor supervisor, Path file) {
        try {
            supervisor.reload(StoreSettings.load(file));
        } catch (SettingsException refused) {
            LOG.log(Event.SETTINGS_REFUSED, "reason", refused.getMessage());
        }
    }

    /** Settings and the file that they were loaded from. Immutable. */
    private record Loaded(Path file, StoreSettings settings) {}
}
