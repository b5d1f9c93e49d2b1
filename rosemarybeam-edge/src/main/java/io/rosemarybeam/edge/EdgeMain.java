package io.rosemarybeam.edge;

import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;

import io.rosemarybeam.common.error.SettingsException;
import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;
import io.rosemarybeam.common.settings.EdgeSettings;
import io.rosemarybeam.common.settings.ProcessFailure;
import io.rosemarybeam.common.settings.ServerProgram;
import io.rosemarybeam.common.settings.SettingsFileWatcher;

/** Main class of the edge process. Confined to the main thread, apart from the shutdown hook and the reload of settings. */
public final class EdgeMain {
    private static final EventLog LOG = EventLog.of(EdgeMain.class);

    private EdgeMain() {}

    /**
     * Runs the edge until the process is terminated.
     *
     * @param arguments command line, see {@code --help}
     */
    public static void main(String[] arguments) {
        ServerProgram.run("rosemarybeam-edge", arguments, EdgeMain::load, EdgeMain::serve);
    }

    private static Loaded load(Path file) {
        return new Loaded(file, EdgeSettings.load(file));
    }

    private static void serve(Loaded loaded) {
        EdgeProcess process = new EdgeProcess(loaded.settings);
        process.onFailure(failure -> {
            LOG.log(Event.PROCESS_FAILED, failure, "name", loaded.settings.name());
            ProcessFailure.end();
        });
        process.start();
        Runtime.getRuntime().addShutdownHook(new Thread(process::stop));
        SettingsFileWatcher.start(loaded.file, () -> reload(process, loaded.file));
        try {
            new CountDownLatch(1).await();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private static void reload(EdgeProcess process, Path file) {
        try {
            process.reload(EdgeSettings.load(file));
        } catch (SettingsException refused) {
            LOG.log(Event.SETTINGS_REFUSED, "reason", refused.getMessage());
        }
    }

    /** Settings and the file that they were read from. Immutable. */
    private record Loaded(Path file, EdgeSettings settings) {}
}
