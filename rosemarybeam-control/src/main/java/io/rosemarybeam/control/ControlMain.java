package io.rosemarybeam.control;

import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;

import io.rosemarybeam.common.configuration.ConfigurationParser;
import io.rosemarybeam.common.settings.ControlSettings;
import io.rosemarybeam.common.settings.ProcessFailure;
import io.rosemarybeam.common.settings.ServerProgram;

/** Main class of a control process. Confined to the main thread, except for the shutdown hook. */
public final class ControlMain {
    private ControlMain() {}

    /**
     * Runs a control process until it is stopped or fails.
     *
     * @param arguments command line, described by {@code --help}
     */
    public static void main(String[] arguments) {
        ServerProgram.run("rosemarybeam-control", arguments, ControlMain::load, ControlMain::serve);
    }

    private static ControlSettings load(Path file) {
        ControlSettings settings = ControlSettings.load(file);
        settings.secrets();
        return settings;
    }

    private static void serve(ControlSettings settings) {
        AtomicBoolean failed = new AtomicBoolean();
        CountDownLatch stopped = new CountDownLatch(1);
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
        try {
            stopped.await();
            ProcessFailure.end();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
