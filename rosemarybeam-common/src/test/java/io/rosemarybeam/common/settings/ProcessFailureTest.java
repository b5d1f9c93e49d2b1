package io.rosemarybeam.common.settings;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import io.netty.channel.nio.NioEventLoopGroup;
import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against processes that stay although one of their threads has ended, so that nobody takes over their work. */
class ProcessFailureTest {
    /** Time in which a process ends after an error, in seconds: the log is given one second, the rest starts the process. */
    private static final long END_SECONDS = 20;

    /** Records that are longer together than the 64 KiB that a pipe holds. */
    private static final int UNREAD_RECORDS = 4_000;

    private static final EventLog LOG = EventLog.of(ProcessFailureTest.class);

    private final BlockingQueue<Throwable> failures = new LinkedBlockingQueue<>();

    /** A process whose thread ends as its argument says, and whose main thread waits for good. */
    static final class Program {
        private Program() {}

        public static void main(String[] arguments) throws InterruptedException {
            ProcessFailure.endOnUncaughtErrors();
            Thread thread = new Thread(
                    () -> {
                        switch (arguments[0]) {
                            case "heap" -> throw new OutOfMemoryError("Java heap space");
                            case "unread" -> {
                                for (int record = 0; record < UNREAD_RECORDS; record++) {
                                    LOG.log(Event.HANDLER_FAILED, "record", record);
                                }
                                throw new OutOfMemoryError("Java heap space");
                            }
                            case "class" -> throw new NoClassDefFoundError("a class");
                            default -> throw new IllegalStateException("a failed task");
                        }
                    },
                    "storage");
            thread.start();
            thread.join();
            Thread.sleep(TimeUnit.SECONDS.toMillis(2));
            Runtime.getRuntime().halt(0);
        }
    }

    private record Ended(int code, String output) {}

    private static Process start(String failure) throws IOException {
        return new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        Program.class.getName(),
                        failure)
                .redirectErrorStream(true)
                .start();
    }

    private static Ended run(String failure) throws IOException, InterruptedException {
        Process process = start(failure);
        try {
            assertTrue(process.waitFor(END_SECONDS, TimeUnit.SECONDS), "the process has not ended");
            return new Ended(
                    process.exitValue(), new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8));
        } finally {
            process.destroyForcibly();
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"heap", "class"})
    void shouldEndTheProcessAndSayWhyWhenAThreadEndsWithAnError(String failure) throws Exception {
        Ended ended = run(failure);

        assertEquals(ServerProgram.FAILED, ended.code, ended.output);
        assertTrue(ended.output.contains("PROCESS_FAILED") && ended.output.contains("storage"), ended.output);
    }

    /** Records that nobody reads fill the pipe, after which each write blocks for good. */
    @Test
    void shouldEndTheProcessWhenNobodyReadsItsOutput() throws Exception {
        Process process = start("unread");
        try {
            assertTrue(process.waitFor(END_SECONDS, TimeUnit.SECONDS), "the process has not ended");
            assertEquals(ServerProgram.FAILED, process.exitValue());
        } finally {
            process.destroyForcibly();
        }
    }

    @Test
    void shouldGoOnWhenATaskFailsWithAnException() throws Exception {
        Ended ended = run("task");

        assertEquals(0, ended.code, ended.output);
        assertTrue(ended.output.contains("HANDLER_FAILED"), ended.output);
    }

    @Test
    void shouldReportAnEventLoopThatEndsWhileTheProcessRuns() throws InterruptedException {
        NioEventLoopGroup loops = new NioEventLoopGroup(1);
        ProcessFailure.watch(loops, () -> false, failures::add);

        loops.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);

        assertNotNull(failures.poll(END_SECONDS, TimeUnit.SECONDS), "nobody was told");
    }

    @Test
    void shouldNotReportAnEventLoopThatIsShutDown() throws InterruptedException {
        NioEventLoopGroup loops = new NioEventLoopGroup(1);
        ProcessFailure.watch(loops, () -> true, failures::add);

        assertTrue(loops.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).await(END_SECONDS, TimeUnit.SECONDS));

        assertFalse(failures.poll(200, TimeUnit.MILLISECONDS) != null, "a shutdown was reported");
    }
}
