package io.rosemarybeam.cli;

import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;

import io.rosemarybeam.common.configuration.ConfigurationParser.Result;
import io.rosemarybeam.common.configuration.OperatorConfiguration;
import org.kohsuke.args4j.Argument;

/** Checks an operator configuration without connecting to a host. Fields are set by args4j. Confined to the main thread. */
final class ValidateCommand extends Command {
    @Argument(metaVar = "FILE", required = true, usage = "operator text")
    private Path file;

    @Override
    String description() {
        return "Checks an operator text and names line and path of every problem. Asks no control host.";
    }

    @Override
    ExitCode run(Console console) {
        ConfigurationFile read = ConfigurationFile.read(file);
        return switch (read.result()) {
            case Result.Invalid invalid -> read.printProblems(console, invalid.problems(), json());
            case Result.Valid valid -> {
                report(console, valid.configuration());
                yield ExitCode.SUCCESS;
            }
        };
    }

    private void report(Console console, OperatorConfiguration configuration) {
        if (!json()) {
            console.print("valid: number " + configuration.number() + ", "
                    + configuration.controlHosts().size() + " control hosts, "
                    + configuration.services().size() + " services");
            ConfigurationFile.quorumNotes(configuration).forEach(console::printNote);
            return;
        }
        Map<String, Object> report = new LinkedHashMap<>();
        report.put("file", file.toString());
        report.put("valid", true);
        report.put("number", configuration.number().value());
        report.put("controlHosts", configuration.controlHosts().size());
        report.put("services", configuration.services().size());
        report.put("notes", ConfigurationFile.quorumNotes(configuration));
        console.printJson(report);
    }
}
