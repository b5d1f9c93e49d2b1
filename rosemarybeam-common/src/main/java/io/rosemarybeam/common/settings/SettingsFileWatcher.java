package io.rosemarybeam.common.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;

/**
 * Detects changes of a settings file, by polling it and on SIGHUP.
 *
 * <p>Confined to the daemon thread that it starts.
 */
public final class SettingsFileWatcher implements Runnable {
    /** Polling interval, in seconds; new seeds must take effect within a few seconds. */
    private static final long POLL_SECONDS = 2;

    private final Path file;
    private final Runnable onChange;
    private byte[] lastContent;

    private SettingsFileWatcher(Path file, Runnable onChange) {
        this.file = file;
        this.onChange = onChange;
        this.lastContent = read();
    }

    /**
     * Starts a watcher.
     *
     * @param file the settings file
     * @param onChange called on the thread of the watcher after each change and each SIGHUP
     */
    public static void start(Path file, Runnable onChange) {
        SettingsFileWatcher watch = new SettingsFileWatcher(file, onChange);
        Thread thread = new Thread(watch, "settings-watch");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void run() {
        try {
            while (true) {
                boolean signalled = ProcessSignals.hangUps().tryAcquire(POLL_SECONDS, TimeUnit.SECONDS);
                byte[] newContent = read();
                if (signalled || !Arrays.equals(newContent, lastContent)) {
                    lastContent = newContent;
                    onChange.run();
                }
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** Treats an unreadable file as empty; the loader reports the reason when it reads the file. */
    private byte[] read() {
        try {
            return Files.readAllBytes(file);
        } catch (IOException unreadable) {
            return new byte[0];
        }
    }
}
