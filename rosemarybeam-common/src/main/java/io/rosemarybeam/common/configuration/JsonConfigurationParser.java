package io.rosemarybeam.common.configuration;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import io.rosemarybeam.common.configuration.OperatorConfiguration.ControlHost;
import io.rosemarybeam.common.configuration.ServiceReader.ParsedService;
import io.rosemarybeam.common.id.ConfigurationNumber;
import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.HostName;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.settings.Findings;
import io.rosemarybeam.common.settings.JsonTreeReader;
import io.rosemarybeam.common.settings.JsonValue.ObjectValue;
import io.rosemarybeam.common.settings.PlainName;
import io.rosemarybeam.common.settings.SettingsReader;

/** Parses operator configurations written as JSON with comments. Stateless and safe for use by several threads. */
final class JsonConfigurationParser implements ConfigurationParser {
    /** Maximum configuration number: the largest integer that every JSON parser represents exactly. */
    private static final long MAXIMUM_NUMBER = (1L << 53) - 1;

    private static final int MAXIMUM_SERVICES = 1_000;
    private static final int MAXIMUM_ROLE_CHARACTERS = 200;

    @Override
    public Result parse(String text) {
        if (text.length() > MAXIMUM_CHARACTERS) {
            return new Result.Invalid(List.of(new Problem(
                    1, "/", "the text has " + text.length() + " characters, more than " + MAXIMUM_CHARACTERS)));
        }
        Findings findings = new Findings();
        Optional<OperatorConfiguration> configuration =
                JsonTreeReader.read(text, findings).map(root -> read(root, findings));
        if (configuration.isPresent() && findings.isEmpty()) {
            return new Result.Valid(configuration.get());
        }
        return new Result.Invalid(findings.inOrder().stream()
                .map(finding -> new Problem(
                        finding.position().line(), finding.position().path(), finding.message()))
                .toList());
    }

    private static OperatorConfiguration read(ObjectValue root, Findings findings) {
        SettingsReader reader = SettingsReader.of(root, findings);
        long number = reader.wholeNumber("number", 1, MAXIMUM_NUMBER);
        List<ControlHost> controlHosts = ControlHostList.read(reader, "controlHosts");
        Set<HostName> drainingEntries = reader.object("entryHosts")
                .map(JsonConfigurationParser::drainingEntries)
                .orElse(Set.of());
        Set<EndpointId> drainingEndpoints = reader.object("endpoints")
                .map(endpoints -> endpoints.distinct("draining", EndpointId::of).keySet())
                .orElse(Set.of());
        Map<EndpointId, String> roles =
                reader.object("endpoints").map(JsonConfigurationParser::roles).orElse(Map.of());
        Map<ServiceName, ParsedService> services =
                reader.requiredObject("services").map(found -> services(found)).orElse(Map.of());
        if (services.size() > MAXIMUM_SERVICES) {
            reader.report("services", "must have at most " + MAXIMUM_SERVICES + " services, has " + services.size());
        }
        reader.reportUnknownKeys();
        ServiceGraph.check(services, findings);
        return new OperatorConfiguration(
                ConfigurationNumber.of(number),
                controlHosts,
                drainingEntries,
                drainingEndpoints,
                roles,
                services.entrySet().stream()
                        .collect(Collectors.toMap(
                                Map.Entry::getKey, entry -> entry.getValue().configuration())));
    }

    private static HostName hostName(String text) {
        return HostName.of(PlainName.check(text));
    }

    private static Set<HostName> drainingEntries(SettingsReader reader) {
        Set<HostName> draining =
                reader.distinct("draining", JsonConfigurationParser::hostName).keySet();
        reader.reportUnknownKeys();
        return draining;
    }

    private static Map<EndpointId, String> roles(SettingsReader reader) {
        Map<EndpointId, String> roles = new LinkedHashMap<>();
        reader.has("draining");
        reader.object("roles")
                .ifPresent(roleReader -> roleReader
                        .members(EndpointId::of)
                        .forEach((endpoint, value) -> roleReader
                                .converted(value, JsonConfigurationParser::role)
                                .ifPresent(role -> roles.put(endpoint, role))));
        reader.reportUnknownKeys();
        return roles;
    }

    private static String role(String text) {
        if (text.isBlank() || text.length() > MAXIMUM_ROLE_CHARACTERS) {
            throw new IllegalArgumentException(
                    "must be a role of 1 to " + MAXIMUM_ROLE_CHARACTERS + " characters, is \"" + text + "\"");
        }
        return text;
    }

    private static Map<ServiceName, ParsedService> services(SettingsReader reader) {
        Map<ServiceName, ParsedService> services = new LinkedHashMap<>();
        reader.members(ServiceReader::serviceName)
                .forEach((name, value) -> reader.objectOf(value)
                        .ifPresent(service -> services.put(name, ServiceReader.read(service, name))));
        return services;
    }
}
