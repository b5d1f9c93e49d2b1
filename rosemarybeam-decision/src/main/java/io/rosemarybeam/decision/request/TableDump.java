package io.rosemarybeam.decision.request;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Writes the tables for a state dump.
 *
 * <p>Invariant: equal tables give equal dumps, with a bounded number of requests. Confined to the thread of the core.
 */
final class TableDump {
    /** Requests in a dump, oldest first; bounds its size. */
    private static final int MAXIMUM_LISTED_REQUESTS = 1_000;

    private final Tables tables;

    TableDump(Tables tables) {
        this.tables = tables;
    }

    Map<String, Object> write() {
        Map<String, Object> dump = new LinkedHashMap<>();
        dump.put("nowMilliseconds", tables.now);
        dump.put("holdsLease", tables.holdsLease());
        dump.put("draining", tables.draining);
        dump.put(
                "configuration",
                tables.configuration == null ? 0 : tables.configuration.number().value());
        dump.put("counters", tables.counters.dump());
        Map<String, Object> services = new TreeMap<>();
        tables.services.forEach((name, service) -> services.put(name.value(), service(service)));
        dump.put("services", services);
        dump.put("requests", requests());
        return dump;
    }

    private Map<String, Object> service(ServiceRow service) {
        Map<String, Object> dump = new LinkedHashMap<>();
        dump.put("share", service.share);
        dump.put("open", service.open);
        dump.put("requests", service.requests);
        dump.put("queuedCustomers", service.queue.customers.size());
        dump.put("queuedTraining", service.queue.trainingSize());
        dump.put("servingEndpoints", service.servingEndpoints);
        dump.put("ejectedEndpoints", service.ejected.size());
        dump.put("holdMilliseconds", service.holdTime.value());
        dump.put("millisecondsPerToken", service.timePerToken.value());
        Map<String, Object> trainers = new TreeMap<>();
        service.queue.trainers.forEach((name, queue) -> trainers.put(
                name, Map.of("queued", queue.rows.size(), "open", queue.open, "served", queue.served.total())));
        dump.put("trainers", trainers);
        Map<String, Object> endpoints = new TreeMap<>();
        service.endpoints.rows().forEach(endpoint -> endpoints.put(endpoint.id.value(), endpoint(endpoint)));
        dump.put("endpoints", endpoints);
        return dump;
    }

    private Map<String, Object> endpoint(EndpointRow endpoint) {
        Map<String, Object> dump = new LinkedHashMap<>();
        dump.put("incarnation", endpoint.record.incarnation());
        dump.put("failureDomain", endpoint.record.failureDomain().value());
        dump.put("mayServe", endpoint.mayServe());
        dump.put("health", endpoint.health.state.name());
        dump.put("open", endpoint.open.size());
        dump.put("slots", endpoint.slots());
        dump.put("foreign", endpoint.load.externalLoad(tables.now, endpoint.service.holdTime.value()));
        dump.put("failureRate", endpoint.health.failureRate.value());
        dump.put("millisecondsPerToken", endpoint.health.unitRunTime.value());
        dump.put("prefixes", endpoint.cache.size());
        return dump;
    }

    private List<Map<String, Object>> requests() {
        List<Map<String, Object>> dump = new ArrayList<>();
        tables.requests.values().stream()
                .sorted(Comparator.comparingLong(row -> row.sequence))
                .limit(MAXIMUM_LISTED_REQUESTS)
                .forEach(row -> dump.add(request(row)));
        return dump;
    }

    private Map<String, Object> request(RequestRow row) {
        Map<String, Object> dump = new LinkedHashMap<>();
        dump.put("request", row.arrival.request().value());
        dump.put("service", row.service.name.value());
        dump.put("precedence", row.arrival.precedence().name());
        dump.put("state", row.state.name());
        dump.put("ageMilliseconds", tables.now - row.arrivedAt);
        dump.put("attempts", row.attempts);
        dump.put("tokens", row.tokens);
        dump.put("mayHaveRun", row.mayHaveRun);
        dump.put("endpoint", row.attempt == null ? "" : row.attempt.endpoint.id.value());
        return dump;
    }
}
