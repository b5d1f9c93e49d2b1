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

/**
 * The newest accepted configuration in its parsed form. Confined to the control executor.
 */
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

    /** Parses the newest text if it is new; returns whether it was. */
    boolean refresh(ConfigurationTable table) {
        long known = parsed.map(configuration -> configuration.number().value()).orElse(0L);
        if (table.newestNumber() == known) {
            return false;
        }
        Optional<ConfigurationText> newest = table.newest();
        parsed = newest.flatMap(text -> switch (parser.parse(text.text())) {
            case ConfigurationParser.Result.Valid valid -> Optional.of(valid.configuration());
            // A text that an older program accepted may break a newer rule; the last parsed one stays.
            case ConfigurationParser.Result.Invalid ignored -> parsed;
        });
        return true;
    }

    List<ControlHost> controlHosts() {
        return parsed.map(OperatorConfiguration::controlHosts)
                .filter(hosts -> !hosts.isEmpty())
                .orElse(initialHosts);
    }

    Map<String, Integer> limits() {
        Map<String, Integer> limits = new TreeMap<>();
        parsed.ifPresent(configuration -> configuration
                .services()
                .forEach((name, service) ->
                        limits.put(name.value(), service.limits().maximumConcurrent())));
        return limits;
    }
}
