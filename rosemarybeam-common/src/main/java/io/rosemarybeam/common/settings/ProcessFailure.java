package io.rosemarybeam.common.settings;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import io.netty.util.concurrent.EventExecutorGroup;
import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;
import org.apache.logging.log4j.LogManager;

/**
 * Ends a process that cannot do its duty any more, after it has said why, so that others take over.
 *
 * <p>Invariant: a thread that ends with an {@link Error} ends its process. Such a process would otherwise accept work that it
 * neither does nor refuses. Threads whose tasks contain their errors are not affected. Safe for use by several threads.
 */
public final class ProcessFailure {
    private static final EventLog LOG = EventLog.of(ProcessFailure.class);

    /** Time after which the process ends although its last records are not written, in milliseconds; the log is given 1,000. */
    private static final long MAXIMUM_WRITE_MILLISECONDS = 2_000;

    /** Written if there is no memory left for a log record. */
    private static final byte[] OUT_OF_MEMORY_RECORD = ("{\"severity\":\"ERROR\",\"event\":"
                    + Event.PROCESS_FAILED.number()
                    + ",\"name\":\"PROCESS_FAILED\",\"fields\":{\"reason\":\"an error, no memory is left to describe it\"}}\n")
            .getBytes(StandardCharsets.UTF_8);

    private ProcessFailure() {}

    /** Makes a thread that ends with an error end the process; any other failure of a thread is logged. */
    public static void endOnUncaughtErrors() {
        Thread.setDefaultUncaughtExceptionHandler(ProcessFailure::handle);
    }

    private static void handle(Thread thread, Throwable failure) {
        if (failure instanceof Error) {
            end(() -> LOG.log(Event.PROCESS_FAILED, failure, "thread", thread.getName()));
        } else {
            LOG.log(Event.HANDLER_FAILED, failure, "thread", thread.getName());
        }
    }

    /**
     * Reports event loops that end although they were not shut down, as after an error outside of a task. Their process would
     * stay without answering anybody.
     *
     * @param loops the event loops
     * @param isStopping whether the process shuts its event loops down
     * @param onFailure called at most once, on another thread
     */
    public static void watch(EventExecutorGroup loops, BooleanSupplier isStopping, Consumer<Throwable> onFailure) {
        Objects.requireNonNull(isStopping, "isStopping");
        Objects.requireNonNull(onFailure, "onFailure");
        loops.forEach(loop -> loop.terminationFuture().addListener(ended -> {
            if (!isStopping.getAsBoolean()) {
                onFailure.accept(new IllegalStateException("an event loop has ended"));
            }
        }));
    }

    /** Ends this process with {@link ServerProgram#FAILED}, after the records that were logged before are written. */
    public static void end() {
        end(() -> {});
    }

    /** Writes on another thread, because the output blocks for good if nobody reads it. */
    private static void end(Runnable record) {
        try {
            Thread writer = Thread.ofPlatform().name("last-record").daemon().start(() -> write(record));
            writer.join(MAXIMUM_WRITE_MILLISECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } finally {
            Runtime.getRuntime().halt(ServerProgram.FAILED);
        }
    }

    private static void write(Runnable record) {
        try {
            record.run();
            LogManager.shutdown();
        } catch (Error failure) {
            writeOutOfMemoryRecord();
        }
    }

    private static void writeOutOfMemoryRecord() {
        try (FileOutputStream out = new FileOutputStream(FileDescriptor.out)) {
            out.write(OUT_OF_MEMORY_RECORD);
        } catch (IOException closed) {
            // Nobody reads the output of this process; its exit code remains.
        }
    }
}
