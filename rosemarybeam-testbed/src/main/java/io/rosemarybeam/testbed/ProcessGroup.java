package io.rosemarybeam.testbed;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Java processes that run programs of one class path, each with a settings file and a log of its name.
 *
 * <p>Invariant: signals go only to processes that this object started. Safe for use by several threads, except that one
 * process is started or stopped by one thread at a time.
 */
final class ProcessGroup implements AutoCloseable {
    private final Path folder;
    private final String java;
    private final String classPath;
    private final Map<String, Process> processes = new ConcurrentHashMap<>();

    /** The processes that this object was told to end. */
    private final Set<Process> toEnd = ConcurrentHashMap.newKeySet();

    private volatile OwnEndListener ownEndListener = (name, code) -> {};

    /** Is notified of processes that end without being stopped or killed by this object. */
    interface OwnEndListener {
        void ended(String name, int exitCode);
    }

    /**
     * Creates an empty group that uses the runtime and the class path of this process.
     *
     * @param folder holds the settings NAME.json, and receives the logs NAME.log
     */
    ProcessGroup(Path folder) {
        this(
                folder,
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                System.getProperty("java.class.path"));
    }

    /**
     * Creates an empty group.
     *
     * @param folder holds the settings NAME.json, and receives the logs NAME.log
     * @param java the command that starts the runtime
     * @param classPath the class path, as the command line is to name it
     */
    ProcessGroup(Path folder, String java, String classPath) {
        this.folder = folder;
        this.java = java;
        this.classPath = classPath;
    }

    /** Starts a process; a log of an earlier process of the same name is continued. */
    void start(String name, List<String> flags, String mainClass) {
        List<String> command = new ArrayList<>();
        command.add(java);
        command.addAll(flags);
        command.addAll(List.of("-cp", classPath, mainClass));
        command.addAll(List.of("--settings", folder.resolve(name + ".json").toString()));
        File log = folder.resolve(name + ".log").toFile();
        try {
            ProcessBuilder builder = new ProcessBuilder(command)
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(log));
            builder.environment().put("MALLOC_ARENA_MAX", "1");
            Process process = builder.start();
            processes.put(name, process);
            process.onExit().thenAccept(ended -> {
                if (!toEnd.contains(ended)) {
                    ownEndListener.ended(name, ended.exitValue());
                }
            });
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    /** Sets the listener for processes that end by themselves; it is called on any thread. */
    void onOwnEnd(OwnEndListener listener) {
        ownEndListener = listener;
    }

    Process process(String name) {
        return processes.get(name);
    }

    /** Sends a signal to a process; the name has no SIG prefix, as in {@code STOP}. */
    void signal(String name, String signal) {
        try {
            new ProcessBuilder(
                            "kill",
                            "-" + signal,
                            Long.toString(processes.get(name).pid()))
                    .start()
                    .waitFor();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** Kills a process without a graceful stop and waits until it has exited. */
    void kill(String name) {
        Process process = processes.get(name);
        toEnd.add(process);
        process.destroyForcibly().onExit().join();
    }

    /** Requests a graceful stop and returns whether the process exited within the timeout. */
    boolean stop(String name, Duration timeout) {
        Process process = processes.get(name);
        toEnd.add(process);
        process.destroy();
        try {
            return process.waitFor(timeout.toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    String readLog(String name) {
        try {
            return Files.readString(folder.resolve(name + ".log"));
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    /** Kills all processes and waits until they have exited. */
    @Override
    public void close() {
        toEnd.addAll(processes.values());
        processes.values().forEach(Process::destroyForcibly);
        processes.values().forEach(process -> process.onExit().join());
    }
}
