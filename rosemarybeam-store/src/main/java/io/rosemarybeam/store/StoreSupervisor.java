package io.rosemarybeam.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;

import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.error.StorageException;
import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;
import io.rosemarybeam.common.settings.StoreSettings;
import io.rosemarybeam.consensus.storage.FileSystem;

/**
 * Runs a {@link StoreProcess}, and replaces it when its data folder could not be written.
 *
 * <p>A process that ended for a full disk would start again into the same full disk. This one closes the failed instance
 * instead, waits until it can write a probe file, and opens a new instance, which reads the folder as after a restart: after a
 * failed sync nobody knows what is durable. Invariants: at most one instance uses the data folder; while there is none, this
 * host listens at no port and takes no part in the log; any other failure is reported to the owner, who ends the process. Safe
 * for use by several threads.
 */
final class StoreSupervisor {
    /** Delay before the first probe, in milliseconds; a probe costs two syncs of the folder. */
    private static final long FIRST_DELAY_MILLISECONDS = 500;

    /** Maximum delay between two probes, in milliseconds; also how late a host notices that its disk can be written. */
    private static final long MAXIMUM_DELAY_MILLISECONDS = 5_000;

    /**
     * Time that an instance must have run for the delay to begin anew, in milliseconds. A disk with room for the probe and not
     * for the log would otherwise end one instance after the other.
     */
    private static final long STABLE_MILLISECONDS = 60_000;

    /** Size of the probe file, in bytes; an entry of the log usually has less. */
    private static final int PROBE_BYTES = 65_536;

    /** Name of the probe file; the suffix makes the storage remove one that a crash has left. */
    private static final String PROBE_FILE = "probe.tmp";

    private static final EventLog LOG = EventLog.of(StoreSupervisor.class);

    private final Function<Path, FileSystem> disks;
    private final Consumer<Throwable> onFailure;
    private volatile StoreSettings settings;
    private volatile boolean hasFailed;
    private Optional<StoreProcess> current = Optional.empty();
    private long startedAt = now();
    private long delay = FIRST_DELAY_MILLISECONDS;
    private boolean ended;

    private StoreSupervisor(StoreSettings settings, Function<Path, FileSystem> disks, Consumer<Throwable> onFailure) {
        this.settings = settings;
        this.disks = disks;
        this.onFailure = onFailure;
    }

    /**
     * Opens the data folder and starts to take part in the replicated log, or starts to wait for a disk that can be written.
     *
     * @param settings the settings
     * @param onFailure called after {@code PROCESS_FAILED} was logged, when the process must end
     * @return the supervisor
     * @throws io.rosemarybeam.common.error.RosemarybeamException if the data folder cannot be used for another reason
     */
    static StoreSupervisor start(StoreSettings settings, Consumer<Throwable> onFailure) {
        return start(settings, FileSystem::of, onFailure);
    }

    /** Starts a supervisor with another file system, for tests of storage that fails. */
    static StoreSupervisor start(
            StoreSettings settings, Function<Path, FileSystem> disks, Consumer<Throwable> onFailure) {
        StoreSupervisor supervisor = new StoreSupervisor(settings, disks, onFailure);
        supervisor.startFirst();
        return supervisor;
    }

    private static long now() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    private synchronized void startFirst() {
        try {
            open(disks.apply(settings.dataFolder()));
        } catch (StorageException failure) {
            if (!isUnavailable(failure)) {
                throw failure;
            }
            recoverLater(failure);
        }
    }

    private static boolean isUnavailable(Throwable failure) {
        return failure instanceof StorageException storage && storage.code() == ErrorCode.SYNC_FAILED;
    }

    /** Opens and starts an instance. */
    private void open(FileSystem files) {
        hasFailed = false;
        StoreProcess process = StoreProcess.of(settings, files, this::instanceFailed);
        current = Optional.of(process);
        startedAt = now();
        process.start();
    }

    /** Called on a thread of the instance, which ends when the instance is closed, perhaps while it is being started. */
    private void instanceFailed(Throwable failure) {
        hasFailed = true;
        if (isUnavailable(failure)) {
            recoverLater(failure);
        } else {
            end(failure);
        }
    }

    private void recoverLater(Throwable failure) {
        Thread.ofPlatform().name("storage-recovery").daemon().start(() -> recover(failure));
    }

    private void end(Throwable failure) {
        try {
            LOG.log(Event.PROCESS_FAILED, failure, "name", settings.name());
        } finally {
            onFailure.accept(failure);
        }
    }

    private synchronized void recover(Throwable reason) {
        try {
            if (ended) {
                return;
            }
            boolean isReleased = current.map(StoreProcess::abort).orElse(true);
            current = Optional.empty();
            if (!isReleased) {
                // A second instance must not use the folder beside a write of the first one that has not returned.
                end(reason);
                return;
            }
            if (now() - startedAt >= STABLE_MILLISECONDS) {
                delay = FIRST_DELAY_MILLISECONDS;
            }
            reopen(reason);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } catch (RuntimeException | Error failure) {
            end(failure);
        }
    }

    private void reopen(Throwable reason) throws InterruptedException {
        long unavailableSince = now();
        Throwable latest = reason;
        while (!ended) {
            LOG.log(Event.STORAGE_UNAVAILABLE, latest, "name", settings.name(), "delay", delay);
            awaitDelay();
            if (ended) {
                return;
            }
            try {
                FileSystem files = openWritable();
                LOG.log(Event.STORAGE_AVAILABLE, "name", settings.name(), "milliseconds", now() - unavailableSince);
                open(files);
                return;
            } catch (StorageException failure) {
                if (!isUnavailable(failure)) {
                    throw failure;
                }
                latest = failure;
            }
        }
    }

    /** Waits without the lock, so that a stop and new settings are not held up; a stop ends the wait. */
    private void awaitDelay() throws InterruptedException {
        long deadline = now() + delay;
        delay = Math.min(2 * delay, MAXIMUM_DELAY_MILLISECONDS);
        for (long left = deadline - now(); left > 0 && !ended; left = deadline - now()) {
            wait(left);
        }
    }

    /**
     * Opens the data folder and proves that a file in it can be written.
     *
     * @throws StorageException with {@link ErrorCode#SYNC_FAILED} if it cannot
     */
    private FileSystem openWritable() {
        FileSystem files;
        try {
            files = disks.apply(settings.dataFolder());
        } catch (StorageException failure) {
            // The folder was usable before, as on a disk that the system has remounted as read-only.
            throw new StorageException(ErrorCode.SYNC_FAILED, "cannot open the data folder", failure);
        }
        try {
            try (FileSystem.AppendFile file = files.openForAppend(PROBE_FILE)) {
                file.write(ByteBuffer.allocate(PROBE_BYTES));
                file.sync();
            } finally {
                files.delete(PROBE_FILE);
            }
            files.syncFolder();
            return files;
        } catch (IOException failure) {
            StorageException unavailable =
                    new StorageException(ErrorCode.SYNC_FAILED, "cannot write a probe file", failure);
            try {
                files.close();
            } catch (IOException unclosed) {
                unavailable.addSuppressed(unclosed);
            }
            throw unavailable;
        }
    }

    /** Returns the current instance; empty while the disk cannot be written. */
    synchronized Optional<StoreProcess> current() {
        return current;
    }

    /**
     * Applies reloaded settings: to the current instance as far as it can, to the next one completely.
     *
     * @param changed the reloaded settings
     */
    synchronized void reload(StoreSettings changed) {
        settings = changed;
        current.ifPresent(process -> process.reload(changed));
    }

    /** Stops the current instance, if any, and opens no other one. Blocks until its storage is closed. */
    synchronized void stop() {
        if (ended) {
            return;
        }
        ended = true;
        notifyAll();
        current.ifPresent(process -> {
            if (hasFailed) {
                process.abort();
            } else {
                process.stop();
            }
        });
        current = Optional.empty();
    }
}
