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
 * A parsed file with an operator configuration. Immutable and safe for use by several threads.
 *
 * @param file the path of the file
 * @param text the content of the file, unchanged
 * @param result the configuration, or the problems that the parser found
 */
record ConfigurationFile(Path file, String text, Result result) {
    /**
     * Reads and parses a file.
     *
     * @param file the path of the file
     * @return its content and the result of the parser
     * @throws io.rosemarybeam.common.error.SettingsException if the file cannot be read
     */
    static ConfigurationFile read(Path file) {
        String text = SettingsFile.readText(file);
        return new ConfigurationFile(file, text, ConfigurationParser.standard().parse(text));
    }

    /**
     * Prints the problems of an invalid file.
     *
     * @param console where they are printed
     * @param problems the problems
     * @param json whether to print them as JSON
     * @return {@link ExitCode#USAGE}
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
     * Returns notes on failure domains whose loss leaves no majority of the control hosts. Such a configuration is valid,
     * but no leader can be elected after the loss.
     *
     * @param configuration the configuration
     * @return one sentence for each such failure domain
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
