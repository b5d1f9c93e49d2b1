package io.rosemarybeam.cli;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import io.rosemarybeam.common.configuration.OperatorConfiguration;
import io.rosemarybeam.common.configuration.OperatorConfiguration.ControlHost;
import io.rosemarybeam.common.configuration.ServiceConfiguration;
import io.rosemarybeam.common.configuration.ServiceConfiguration.IdempotentCall;

/**
 * The difference between two configurations, by part and key. A part is a service or a section of the whole deployment.
 *
 * <p>Invariant: parts and keys are in a fixed order, so equal differences have equal texts. Immutable and safe for use by
 * several threads.
 */
final class ConfigurationDifference {
    private static final ObjectMapper MAPPER =
            new ObjectMapper().registerModule(new Jdk8Module()).enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS);

    /** Value of a key that is either present or absent, such as a draining host. */
    private static final String PRESENT = "yes";

    private static final String SERVICE = "service ";

    private final List<Part> parts;

    private ConfigurationDifference(List<Part> parts) {
        this.parts = parts;
    }

    /** The changes in one part. */
    private record Part(String name, boolean added, boolean removed, List<Change> changes) {
        boolean isRemovedService() {
            return removed && name.startsWith(SERVICE);
        }

        boolean isAddedService() {
            return added && name.startsWith(SERVICE);
        }
    }

    /** The change of one key; empty on the side on which the key is absent. */
    private record Change(String key, Optional<String> before, Optional<String> after) {}

    /**
     * Compares two configurations.
     *
     * @param before the accepted one, or empty if there is none
     * @param after the proposed one
     * @return the difference
     */
    static ConfigurationDifference between(Optional<OperatorConfiguration> before, OperatorConfiguration after) {
        Map<String, Map<String, String>> oldParts =
                before.map(ConfigurationDifference::parts).orElse(Map.of());
        Map<String, Map<String, String>> newParts = parts(after);
        Set<String> names = new LinkedHashSet<>(newParts.keySet());
        names.addAll(oldParts.keySet());
        List<Part> parts = new ArrayList<>();
        for (String name : names) {
            Map<String, String> left = oldParts.getOrDefault(name, Map.of());
            Map<String, String> right = newParts.getOrDefault(name, Map.of());
            List<Change> changes = changes(left, right);
            if (!changes.isEmpty()) {
                parts.add(new Part(name, left.isEmpty(), right.isEmpty(), changes));
            }
        }
        return new ConfigurationDifference(parts);
    }

    private static List<Change> changes(Map<String, String> left, Map<String, String> right) {
        Set<String> keys = new LinkedHashSet<>(right.keySet());
        keys.addAll(left.keySet());
        return keys.stream()
                .filter(key -> !Objects.equals(left.get(key), right.get(key)))
                .map(key -> new Change(key, Optional.ofNullable(left.get(key)), Optional.ofNullable(right.get(key))))
                .toList();
    }

    /**
     * Returns the difference as text.
     *
     * @return a line for each changed part and key; {@code +} marks an added key, {@code -} a removed one and {@code ~} a
     *     changed one; the keys of a removed service are not listed
     */
    String text() {
        if (parts.isEmpty()) {
            return "no effective difference\n";
        }
        StringBuilder text = new StringBuilder();
        for (Part part : parts) {
            text.append(part.name()).append(serviceSuffix(part)).append('\n');
            if (!part.isRemovedService()) {
                part.changes()
                        .forEach(
                                change -> text.append("  ").append(line(change)).append('\n'));
            }
        }
        return text.toString();
    }

    private static String serviceSuffix(Part part) {
        if (part.isAddedService()) {
            return " (new)";
        }
        return part.isRemovedService() ? " (removed)" : "";
    }

    private static String line(Change change) {
        if (change.before().isEmpty()) {
            return "+ " + change.key() + valueSuffix(change.after().orElseThrow());
        }
        if (change.after().isEmpty()) {
            return "- " + change.key() + valueSuffix(change.before().orElseThrow());
        }
        return "~ " + change.key() + ": " + change.before().get() + " -> "
                + change.after().get();
    }

    private static String valueSuffix(String value) {
        return value.equals(PRESENT) ? "" : ": " + value;
    }

    /**
     * Returns the difference as a tree that can be written as JSON.
     *
     * @return a list of changes under {@code changes}, each with {@code part}, {@code key}, {@code before} and
     *     {@code after}; null on the side on which the key is absent
     */
    Map<String, Object> fields() {
        List<Map<String, Object>> changes = new ArrayList<>();
        for (Part part : parts) {
            for (Change change : part.changes()) {
                Map<String, Object> fields = new LinkedHashMap<>();
                fields.put("part", part.name());
                fields.put("key", change.key());
                fields.put("before", change.before().orElse(null));
                fields.put("after", change.after().orElse(null));
                changes.add(fields);
            }
        }
        return Map.of("changes", changes);
    }

    /** Returns the values of each part by key; defaults are filled in. */
    private static Map<String, Map<String, String>> parts(OperatorConfiguration configuration) {
        Map<String, Map<String, String>> parts = new LinkedHashMap<>();
        parts.put("configuration", Map.of("number", configuration.number().toString()));
        Map<String, String> hosts = new TreeMap<>();
        for (ControlHost host : configuration.controlHosts()) {
            hosts.put(host.name().value(), host.address() + " in " + host.failureDomain());
        }
        parts.put("control hosts", hosts);
        Map<String, String> entries = new TreeMap<>();
        configuration.drainingEntryHosts().forEach(host -> entries.put(host.value(), PRESENT));
        parts.put("draining entry hosts", entries);
        Map<String, String> endpoints = new TreeMap<>();
        configuration.drainingEndpoints().forEach(endpoint -> endpoints.put(endpoint.value(), PRESENT));
        parts.put("draining endpoints", endpoints);
        Map<String, String> roles = new TreeMap<>();
        configuration.endpointRoles().forEach((endpoint, role) -> roles.put(endpoint.value(), role));
        parts.put("endpoint roles", roles);
        new TreeMap<>(configuration.services()).forEach((name, service) -> parts.put(SERVICE + name, keys(service)));
        return parts;
    }

    private static Map<String, String> keys(ServiceConfiguration service) {
        Map<String, String> keys = new LinkedHashMap<>();
        for (Map.Entry<String, JsonNode> member : MAPPER.valueToTree(service).properties()) {
            switch (member.getKey()) {
                case "name" -> {}
                case "serviceClass" ->
                    keys.put("class", member.getValue().asText().toLowerCase(Locale.ROOT));
                case "idempotentCalls" ->
                    service.idempotentCalls().stream()
                            .map(ConfigurationDifference::call)
                            .sorted()
                            .forEach(call -> keys.put("idempotentCalls " + call, PRESENT));
                default -> flatten(member.getKey(), member.getValue(), keys);
            }
        }
        return keys;
    }

    private static String call(IdempotentCall call) {
        return call.method() + " " + call.path();
    }

    /** Adds a value under its path, with dots between the names; arrays become one value, nulls and empty arrays none. */
    private static void flatten(String key, JsonNode value, Map<String, String> keys) {
        if (value.isObject()) {
            value.properties().forEach(member -> flatten(key + "." + member.getKey(), member.getValue(), keys));
        } else if (value.isArray()) {
            List<String> elements = new ArrayList<>();
            value.forEach(element -> elements.add(element.asText()));
            if (!elements.isEmpty()) {
                keys.put(key, String.join(", ", elements));
            }
        } else if (!value.isNull()) {
            keys.put(key, value.asText());
        }
    }
}
