package io.rosemarybeam.common.settings;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against planned stops that a supervisor takes for failures, and against signals that end a process that starts. */
@Timeout(3 * ProcessSignalsTest.REACTION_SECONDS)
class ProcessSignalsTest {
    /** Time in which a process starts, reacts and ends, in seconds. */
    static final long REACTION_SECONDS = 20;

    @TempDir
    Path folder;

    /** A server program that prints its state, and loads its settings only when the file {@code loadable} exists. */
    static final class Program {
        private Program() {}

        public static void main(String[] arguments) {
            ServerProgram.run("program", arguments, Program::load, Program::serve);
        }

        private static Path load(Path file) {
            System.out.println("loading");
            try {
                while (!Files.exists(file.resolveSibling("loadable"))) {
                    Thread.sleep(20);
                }
                return file;
            } catch (InterruptedException interrupted) {
                throw new IllegalStateException(interrupted);
            }
        }

        private static void serve(Path file) {
            Runtime.getRuntime().addShutdownHook(new Thread(() -> System.out.println("stopped")));
            SettingsFileWatcher.start(file, () -> System.out.println("reloaded"));
            System.out.println("serving");
            try {
                new CountDownLatch(1).await();
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private Process start() throws IOException {
        Path settings = Files.writeString(folder.resolve("settings.json"), "{}");
        // A test that runs in the background of a shell, or below nohup, hands on signals that are ignored.
        return new ProcessBuilder(
                        "env",
                        "--default-signal=HUP,INT",
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        Program.class.getName(),
                        "--settings",
                        settings.toString())
                .redirectErrorStream(true)
                .start();
    }

    private void makeLoadable() throws IOException {
        Files.createFile(folder.resolve("loadable"));
    }

    private static void signal(String name, Process process) throws IOException, InterruptedException {
        Process kill = new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start();
        assertEquals(0, kill.waitFor());
    }

    /** Reads the output up to a line; a process that ends before it prints the line fails the test. */
    private static void awaitLine(BufferedReader output, String expected) {
        assertTrue(
                output.lines().anyMatch(line -> line.equals(expected)), () -> "the process ended without " + expected);
    }

    private static int exitCode(Process process) throws InterruptedException {
        assertTrue(process.waitFor(REACTION_SECONDS, TimeUnit.SECONDS), "the process has not ended");
        return process.exitValue();
    }

    @ParameterizedTest
    @ValueSource(strings = {"TERM", "INT"})
    void shouldExitWithZeroAfterItsShutdownHooksWhenItIsTerminated(String signal) throws Exception {
        makeLoadable();
        Process process = start();
        try (BufferedReader output = process.inputReader()) {
            awaitLine(output, "serving");

            signal(signal, process);

            awaitLine(output, "stopped");
            assertEquals(0, exitCode(process));
        } finally {
            process.destroyForcibly();
        }
    }

    @Test
    void shouldExitWithZeroWhenItIsTerminatedWhileItLoadsItsSettings() throws Exception {
        Process process = start();
        try (BufferedReader output = process.inputReader()) {
            awaitLine(output, "loading");

            signal("TERM", process);

            assertEquals(0, exitCode(process));
        } finally {
            process.destroyForcibly();
        }
    }

    @Test
    void shouldReloadAfterTheStartWhenAHangUpArrivesWhileItLoadsItsSettings() throws Exception {
        Process process = start();
        try (BufferedReader output = process.inputReader()) {
            awaitLine(output, "loading");

            signal("HUP", process);
            makeLoadable();

            awaitLine(output, "serving");
            awaitLine(output, "reloaded");
        } catch (UncheckedIOException closed) {
            throw closed.getCause();
        } finally {
            process.destroyForcibly();
        }
    }
}
