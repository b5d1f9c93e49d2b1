package io.rosemarybeam.control;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import io.rosemarybeam.common.configuration.ConfigurationParser;
import io.rosemarybeam.common.configuration.OperatorConfiguration;
import io.rosemarybeam.common.configuration.OperatorConfiguration.ControlHost;
import io.rosemarybeam.common.wire.ControlReply.ConfigurationText;
import io.rosemarybeam.control.state.ConfigurationTable;

/** The newest accepted configuration in parsed form. Confined to the control executor. */
final class CurrentConfiguration {
    private final ConfigurationParser parser;
    private final List<ControlHost> initialHosts;
    private Optional<OperatorConfiguration> parsed = Optional.empty();

    CurrentConfiguration(ConfigurationParser parser, List<ControlHost> initialHosts) {
        this.parser = parser;
        this.initialHosts = initialHosts;
    }

    ConfigurationParser parser() {
        return parser;
    }

    /** Parses the newest accepted text if its number differs from the parsed one; returns whether it differed. */
    boolean refresh(ConfigurationTable table) {
        long parsedNumber =
                parsed.map(configuration -> configuration.number().value()).orElse(0L);
        if (table.newestNumber() == parsedNumber) {
            return false;
        }
        Optional<ConfigurationText> newest = table.newest();
        parsed = newest.flatMap(text -> switch (parser.parse(text.text())) {
            case ConfigurationParser.Result.Valid valid -> Optional.of(valid.configuration());
            // An older release may have accepted a text that violates a newer rule; the last parsed one stays in use.
            case ConfigurationParser.Result.Invalid ignored -> parsed;
        });
        return true;
    }

    /** Returns the configured control hosts, or those of the settings if no configuration lists any. */
    List<ControlHost> controlHosts() {
        return parsed.map(OperatorConfiguration::controlHosts)
                .filter(hosts -> !hosts.isEmpty())
                .orElse(initialHosts);
    }

    /** Returns the maximum number of concurrent requests of every service. */
    Map<String, Integer> limits() {
        Map<String, Integer> limits = new TreeMap<>();
        parsed.ifPresent(configuration -> configuration
                .services()
                .forEach((name, service) ->
                        limits.put(name.value(), service.limits().maximumConcurrent())));
        return limits;
    }
}
