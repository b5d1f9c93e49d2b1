package io.rosemarybeam.cli;

import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

import io.rosemarybeam.common.configuration.ConfigurationParser;
import io.rosemarybeam.common.configuration.ConfigurationParser.Problem;
import io.rosemarybeam.common.configuration.ConfigurationParser.Result;
import io.rosemarybeam.common.configuration.OperatorConfiguration;
import io.rosemarybeam.common.configuration.OperatorConfiguration.ControlHost;
import io.rosemarybeam.common.id.FailureDomain;
import io.rosemarybeam.common.settings.SettingsFile;

/**
 * An operator's text in a file, as read and checked. Immutable and safe for use by several threads.
 *
 * @param file the file
 * @param text its content
 * @param result what the parser found
 */
record ConfigurationFile(Path file, String text, Result result) {
    /**
     * Reads and checks a file.
     *
     * @param file the file
     * @return its content and what the parser found
     * @throws io.rosemarybeam.common.error.SettingsException if the file cannot be read
     */
    static ConfigurationFile read(Path file) {
        String text = SettingsFile.readText(file);
        return new ConfigurationFile(file, text, ConfigurationParser.standard().parse(text));
    }

    /**
     * Prints what is wrong.
     *
     * @param console where to print
     * @param problems what is wrong
     * @param json whether a script reads it
     * @return the exit code of a wrong input
     */
    ExitCode printProblems(Console console, List<Problem> problems, boolean json) {
        if (json) {
            Map<String, Object> report = new LinkedHashMap<>();
            report.put("file", file.toString());
            report.put("valid", false);
            report.put(
                    "problems", problems.stream().map(ConfigurationFile::fields).toList());
            console.printJson(report);
        } else {
            problems.forEach(problem -> console.printNote("file " + file + ", " + problem));
            console.printNote("rosemarybeam: " + problems.size() + (problems.size() == 1 ? " problem" : " problems"));
        }
        return ExitCode.USAGE;
    }

    /**
     * Names what is valid but leaves the deployment without a leader after one loss.
     *
     * @param configuration the configuration
     * @return one sentence for each failure domain whose loss leaves no majority of the control hosts
     */
    static List<String> quorumNotes(OperatorConfiguration configuration) {
        int hosts = configuration.controlHosts().size();
        Map<FailureDomain, Long> hostsByDomain = configuration.controlHosts().stream()
                .collect(Collectors.groupingBy(ControlHost::failureDomain, TreeMap::new, Collectors.counting()));
        return hostsByDomain.entrySet().stream()
                .filter(domain -> 2 * (hosts - domain.getValue()) <= hosts)
                .map(domain ->
                        "note: the loss of failure domain " + domain.getKey() + " stops all new work, because it has "
                                + domain.getValue() + " of " + hosts + " control hosts")
                .toList();
    }

    private static Map<String, Object> fields(Problem problem) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("line", problem.line());
        fields.put("path", problem.path());
        fields.put("message", problem.message());
        return fields;
    }
}
