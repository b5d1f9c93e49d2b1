package io.rosemarybeam.cli;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.List;

/** Runs commands in this process and captures their output. Not safe for use by several threads. */
final class CommandRunner {
    private final Path folder;
    private final Path tokenFile;

    CommandRunner(Path folder) throws IOException {
        this.folder = folder;
        this.tokenFile = writeTokenFile("token", FakeControlHost.TOKEN);
    }

    /** Exit code and output of a command. */
    record Run(ExitCode code, String out, String err) {}

    Path writeTokenFile(String name, String token) throws IOException {
        Path file = Files.writeString(folder.resolve(name), token);
        return Files.setPosixFilePermissions(file, PosixFilePermissions.fromString("rw-------"));
    }

    String write(String name, String content) throws IOException {
        return Files.writeString(folder.resolve(name), content).toString();
    }

    Run run(String... arguments) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        Console console = new Console(
                new PrintStream(out, true, StandardCharsets.UTF_8), new PrintStream(err, true, StandardCharsets.UTF_8));
        ExitCode code = CommandLine.run(List.of(arguments), console);
        return new Run(code, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
    }

    Run runRemote(String control, String... arguments) {
        return runRemote(control, tokenFile, arguments);
    }

    Run runRemote(String control, Path token, String... arguments) {
        List<String> all = new ArrayList<>(List.of(arguments));
        all.addAll(List.of("--control", control, "--token-file", token.toString()));
        if (!all.contains("--timeout")) {
            all.addAll(List.of("--timeout", "5"));
        }
        return run(all.toArray(String[]::new));
    }

    Path tokenFile() {
        return tokenFile;
    }
}
