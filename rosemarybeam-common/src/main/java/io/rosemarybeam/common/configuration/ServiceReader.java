package io.rosemarybeam.common.configuration;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.rosemarybeam.common.configuration.ServiceConfiguration.Deadlines;
import io.rosemarybeam.common.configuration.ServiceConfiguration.IdempotentCall;
import io.rosemarybeam.common.configuration.ServiceConfiguration.Limits;
import io.rosemarybeam.common.configuration.ServiceConfiguration.Retries;
import io.rosemarybeam.common.configuration.ServiceConfiguration.Rollout;
import io.rosemarybeam.common.configuration.ServiceConfiguration.ServiceClass;
import io.rosemarybeam.common.configuration.ServiceConfiguration.Training;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.id.TrainerName;
import io.rosemarybeam.common.settings.JsonValue;
import io.rosemarybeam.common.settings.JsonValue.Position;
import io.rosemarybeam.common.settings.PlainName;
import io.rosemarybeam.common.settings.SettingsReader;

/**
 * Reads one service of an operator configuration.
 *
 * <p>Invariant: a default never contradicts an explicit value; where it would, the default is lowered. Confined to one
 * call of the parser.
 */
final class ServiceReader {
    private static final int MAXIMUM_CONCURRENT_REQUESTS = 1_000_000;
    private static final int MAXIMUM_BODY_BYTES = 64 * 1024 * 1024;
    private static final int MAXIMUM_REQUESTS_PER_ENDPOINT = 10_000;
    private static final long MAXIMUM_DEADLINE_MILLISECONDS = 3_600_000;
    private static final int MAXIMUM_ATTEMPTS = 10;
    private static final int MAXIMUM_STALENESS_VERSIONS = 1_000;

    /** Maximum share of one trainer, relative to the shares of the other trainers; has no unit. */
    private static final int MAXIMUM_TRAINER_SHARE = 1_000;

    private static final int MAXIMUM_FETCHES_PER_SECOND = 10_000;
    private static final int MAXIMUM_PERCENT = 100;
    private static final Set<String> METHODS =
            Set.of("GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE", "TRACE");

    private final SettingsReader reader;
    private final ServiceName name;

    private ServiceReader(SettingsReader reader, ServiceName name) {
        this.reader = reader;
        this.name = name;
    }

    /**
     * A parsed service with the positions that are needed to report violations of rules between services.
     *
     * @param configuration the service
     * @param dependencies its dependencies with their positions
     * @param scoringPosition position of its scoring service, or of the service if it has none
     */
    record ParsedService(
            ServiceConfiguration configuration, Map<ServiceName, Position> dependencies, Position scoringPosition) {}

    /**
     * Reads a service.
     *
     * @param reader reader of its object
     * @param name its name
     * @return the service; placeholder values replace invalid ones
     */
    static ParsedService read(SettingsReader reader, ServiceName name) {
        return new ServiceReader(reader, name).read();
    }

    private ParsedService read() {
        ServiceClass serviceClass =
                reader.converted("class", ServiceReader::serviceClass).orElse(ServiceClass.MODEL);
        Map<ServiceName, Position> dependencies = reader.distinct("dependsOn", ServiceReader::serviceName);
        Optional<ServiceName> scoringService = reader.has("scoringService")
                ? reader.converted("scoringService", ServiceReader::serviceName)
                : Optional.empty();
        ServiceConfiguration defaults =
                ServiceConfiguration.builder(name, serviceClass).build();
        int reserve = reader.integer("customerReservePercent", 0, MAXIMUM_PERCENT, defaults.customerReservePercent());
        ServiceConfiguration configuration = ServiceConfiguration.builder(name, serviceClass)
                .dependsOn(List.copyOf(dependencies.keySet()))
                .scoringService(scoringService)
                .limits(reader.object("limits")
                        .map(limits -> limits(limits, defaults.limits()))
                        .orElse(defaults.limits()))
                .deadlines(reader.object("deadlines")
                        .map(deadlines -> deadlines(deadlines, defaults.deadlines()))
                        .orElse(defaults.deadlines()))
                .retries(reader.object("retries")
                        .map(retries -> retries(retries, defaults.retries()))
                        .orElse(defaults.retries()))
                .customerReservePercent(reserve)
                .training(reader.object("training").map(ServiceReader::training))
                .rollout(reader.object("rollout").map(ServiceReader::rollout))
                .idempotentCalls(idempotentCalls())
                .build();
        reportContradictions(serviceClass, reserve);
        reader.reportUnknownKeys();
        return new ParsedService(configuration, dependencies, reader.positionOf("scoringService"));
    }

    private void reportContradictions(ServiceClass serviceClass, int reserve) {
        if (serviceClass == ServiceClass.PLAIN) {
            for (String key : List.of("training", "rollout", "scoringService")) {
                if (reader.has(key)) {
                    reader.report(key, "only a model service has \"" + key + "\", and the class is plain");
                }
            }
        } else if (!reader.elements("idempotentCalls").isEmpty()) {
            reader.report("idempotentCalls", "only a plain service has \"idempotentCalls\", and the class is model");
        }
        if (reserve == MAXIMUM_PERCENT && reader.has("training")) {
            reader.report("customerReservePercent", "a reserve of 100 leaves nothing for the training of this service");
        }
    }

    static ServiceName serviceName(String text) {
        return ServiceName.of(PlainName.check(text));
    }

    private static ServiceClass serviceClass(String text) {
        for (ServiceClass candidate : ServiceClass.values()) {
            if (candidate.name().toLowerCase(Locale.ROOT).equals(text)) {
                return candidate;
            }
        }
        throw new IllegalArgumentException("must be \"model\" or \"plain\", is \"" + text + "\"");
    }

    private static Limits limits(SettingsReader reader, Limits defaults) {
        int concurrent =
                reader.integer("maximumConcurrent", 1, MAXIMUM_CONCURRENT_REQUESTS, defaults.maximumConcurrent());
        int queued = reader.integer("maximumQueued", 0, MAXIMUM_CONCURRENT_REQUESTS, defaults.maximumQueued());
        int bodyBytes = reader.integer("maximumBodyBytes", 1, MAXIMUM_BODY_BYTES, defaults.maximumBodyBytes());
        int defaultPerEndpoint = Math.min(defaults.concurrentPerEndpoint(), concurrent);
        int perEndpoint = reader.integer("concurrentPerEndpoint", 1, MAXIMUM_REQUESTS_PER_ENDPOINT, defaultPerEndpoint);
        if (perEndpoint > concurrent) {
            reader.report(
                    "concurrentPerEndpoint",
                    "must not exceed maximumConcurrent, which is " + concurrent + ", is " + perEndpoint);
        }
        reader.reportUnknownKeys();
        return new Limits(concurrent, queued, bodyBytes, perEndpoint);
    }

    private static Deadlines deadlines(SettingsReader reader, Deadlines defaults) {
        long total =
                reader.wholeNumber("totalMilliseconds", 1, MAXIMUM_DEADLINE_MILLISECONDS, defaults.totalMilliseconds());
        long progress = partialDeadline(reader, "progressMilliseconds", total, defaults.progressMilliseconds());
        long connect = partialDeadline(reader, "connectMilliseconds", total, defaults.connectMilliseconds());
        reader.reportUnknownKeys();
        return new Deadlines(total, progress, connect);
    }

    private static long partialDeadline(SettingsReader reader, String key, long total, long fallback) {
        long value = reader.wholeNumber(key, 1, MAXIMUM_DEADLINE_MILLISECONDS, Math.min(fallback, total));
        if (value > total) {
            reader.report(key, "must not exceed totalMilliseconds, which is " + total + ", is " + value);
        }
        return value;
    }

    private static Retries retries(SettingsReader reader, Retries defaults) {
        int attempts = reader.integer("maximumAttempts", 1, MAXIMUM_ATTEMPTS, defaults.maximumAttempts());
        int budget = reader.integer("budgetPercent", 0, MAXIMUM_PERCENT, defaults.budgetPercent());
        reader.reportUnknownKeys();
        return new Retries(attempts, budget);
    }

    private static Training training(SettingsReader reader) {
        int bound = (int) reader.wholeNumber("stalenessBoundVersions", 0, MAXIMUM_STALENESS_VERSIONS);
        double idle = reader.number("trainerIdleWeight", 0, 1);
        double staleness = reader.number("stalenessWeight", 0, 1);
        if (idle + staleness == 0) {
            reader.report("stalenessWeight", "trainerIdleWeight and stalenessWeight must not both be 0");
        }
        Map<TrainerName, Integer> shares = new LinkedHashMap<>();
        reader.object("trainerShares")
                .ifPresent(shareReader -> shareReader
                        .members(key -> TrainerName.of(PlainName.check(key)))
                        .forEach((trainer, share) -> shares.put(
                                trainer, (int) shareReader.wholeNumber(share, 1, MAXIMUM_TRAINER_SHARE, 1))));
        reader.reportUnknownKeys();
        return new Training(bound, idle, staleness, shares);
    }

    private static Rollout rollout(SettingsReader reader) {
        int floor = (int) reader.wholeNumber("capacityFloorPercent", 0, MAXIMUM_PERCENT);
        if (floor == MAXIMUM_PERCENT) {
            reader.report("capacityFloorPercent", "a floor of 100 leaves no endpoint to swap weights on");
        }
        int fetches = (int) reader.wholeNumber("storeFetchesPerSecond", 1, MAXIMUM_FETCHES_PER_SECOND);
        reader.reportUnknownKeys();
        return new Rollout(floor, fetches);
    }

    private List<IdempotentCall> idempotentCalls() {
        List<Map.Entry<IdempotentCall, Position>> calls = new ArrayList<>();
        for (JsonValue element : reader.elements("idempotentCalls")) {
            reader.objectOf(element)
                    .flatMap(ServiceReader::idempotentCall)
                    .ifPresent(call -> calls.add(Map.entry(call, element.position())));
        }
        reader.reportDuplicates(calls, "call");
        return calls.stream().map(Map.Entry::getKey).toList();
    }

    private static Optional<IdempotentCall> idempotentCall(SettingsReader reader) {
        Optional<String> method = reader.converted("method", ServiceReader::method);
        Optional<String> path = reader.converted("path", ServiceReader::path);
        reader.reportUnknownKeys();
        return method.flatMap(methodText -> path.map(pathText -> new IdempotentCall(methodText, pathText)));
    }

    private static String method(String text) {
        if (!METHODS.contains(text)) {
            throw new IllegalArgumentException("must be an HTTP method in capitals, is \"" + text + "\"");
        }
        return text;
    }

    private static String path(String text) {
        String fixed = text.endsWith("/**") ? text.substring(0, text.length() - "**".length()) : text;
        if (!text.startsWith("/") || fixed.contains("*") || fixed.contains("?") || fixed.contains("#")) {
            throw new IllegalArgumentException(
                    "must start with a slash, may end with \"/**\" and has no other asterisk and no query, is \"" + text
                            + "\"");
        }
        return text;
    }
}
