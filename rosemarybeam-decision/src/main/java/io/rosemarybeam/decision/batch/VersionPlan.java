package io.rosemarybeam.decision.batch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.ModelName;

/**
 * Decides which endpoint loads which weight version next.
 *
 * <p>Load pattern: several trainers with different demand publish a version every few seconds, concurrent loads slow each
 * other down, and few endpoints are available. Every endpoint is assigned to one model and follows its versions; endpoints
 * are assigned in proportion to the recent demand for each model. A model whose items wait while all its endpoints are full
 * also gets the endpoint with the most free slots, which loads versions of that model only while items wait. Confined to
 * one thread.
 */
public final class VersionPlan {
    /**
     * Maximum fraction of the endpoints that load at once; the weight store slows down when more than 2 of 6 or 9 of 31
     * endpoints load.
     */
    private static final double MAXIMUM_LOADING_FRACTION = 0.3;

    /** Concurrent loads that are allowed however few endpoints there are. */
    private static final int ALWAYS_ALLOWED_LOADS = 2;

    /** Lag from which an endpoint cannot serve the next step of its model; steps allow a lag of one version. */
    private static final long UNUSABLE_LAG_VERSIONS = 2;

    /** Demand added to that of every model, in slots, so that no model loses all its endpoints. */
    private static final double MINIMUM_DEMANDED_SLOTS = 0.5;

    private final Map<EndpointId, ModelName> assignedModels = new HashMap<>();

    /**
     * An order to load a weight version. Immutable.
     *
     * @param endpoint the endpoint
     * @param model the model
     * @param version the version
     */
    public record PlannedLoad(EndpointId endpoint, ModelName model, long version) {}

    /**
     * Plans the next loads.
     *
     * @param endpoints ready endpoints of one service
     * @param demands the demand for each model of the service
     * @return loads to order now
     */
    public List<PlannedLoad> next(Collection<GenerationEndpoint> endpoints, Collection<ModelDemand> demands) {
        if (demands.isEmpty() || endpoints.isEmpty()) {
            return List.of();
        }
        Map<ModelName, ModelDemand> byModel = new TreeMap<>();
        demands.forEach(demand -> byModel.put(demand.model(), demand));
        assignModels(endpoints, byModel);
        long loading = endpoints.stream()
                .filter(endpoint -> !endpoint.loadingModels().isEmpty())
                .count();
        int maximumLoads = Math.max(ALWAYS_ALLOWED_LOADS, (int) (MAXIMUM_LOADING_FRACTION * endpoints.size()));
        List<GenerationEndpoint> free = new ArrayList<>(endpoints.stream()
                .filter(endpoint -> endpoint.loadingModels().isEmpty() && !endpoint.avoided())
                .toList());
        List<PlannedLoad> loads = new ArrayList<>();
        addAssignedLoads(free, byModel, UNUSABLE_LAG_VERSIONS, loads);
        addTemporaryLoads(free, endpoints, byModel, loads);
        addAssignedLoads(free, byModel, 1, loads);
        return loads.subList(0, Math.clamp(maximumLoads - loading, 0, loads.size()));
    }

    /**
     * Adds loads for endpoints that lag behind their assigned model by at least this many versions, the largest lag first,
     * then the endpoint with the fewest running requests.
     */
    private void addAssignedLoads(
            List<GenerationEndpoint> free,
            Map<ModelName, ModelDemand> demands,
            long minimumLag,
            List<PlannedLoad> loads) {
        List<GenerationEndpoint> lagging = free.stream()
                .filter(endpoint -> lag(endpoint, demands) >= minimumLag)
                .sorted(Comparator.<GenerationEndpoint>comparingLong(endpoint -> -lag(endpoint, demands))
                        .thenComparingInt(GenerationEndpoint::running)
                        .thenComparing(GenerationEndpoint::id))
                .toList();
        for (GenerationEndpoint endpoint : lagging) {
            ModelDemand demand = demands.get(assignedModels.get(endpoint.id()));
            loads.add(new PlannedLoad(endpoint.id(), demand.model(), demand.publishedVersion()));
        }
        free.removeAll(lagging);
    }

    private long lag(GenerationEndpoint endpoint, Map<ModelName, ModelDemand> demands) {
        ModelDemand demand = demands.get(assignedModels.get(endpoint.id()));
        return demand == null ? 0 : demand.publishedVersion() - endpoint.version(demand.model());
    }

    /** Gives each model with more waiting items than free slots one endpoint whose weights are too old to run them yet. */
    private void addTemporaryLoads(
            List<GenerationEndpoint> free,
            Collection<GenerationEndpoint> endpoints,
            Map<ModelName, ModelDemand> demands,
            List<PlannedLoad> loads) {
        List<ModelDemand> starved = demands.values().stream()
                .filter(demand -> demand.waitingItems() > freeSlots(endpoints, demand))
                .sorted(Comparator.comparingInt(demand -> -demand.waitingItems()))
                .toList();
        for (ModelDemand demand : starved) {
            Optional<GenerationEndpoint> additional = free.stream()
                    .filter(endpoint -> endpoint.version(demand.model()) < demand.oldestVersion())
                    .filter(endpoint -> endpoint.running() < endpoint.capacity())
                    .max(Comparator.<GenerationEndpoint>comparingInt(
                                    endpoint -> endpoint.capacity() - endpoint.running())
                            .thenComparing(GenerationEndpoint::id));
            additional.ifPresent(endpoint -> {
                loads.add(new PlannedLoad(endpoint.id(), demand.model(), demand.publishedVersion()));
                free.remove(endpoint);
            });
        }
    }

    private static long freeSlots(Collection<GenerationEndpoint> endpoints, ModelDemand demand) {
        return endpoints.stream()
                .filter(endpoint -> endpoint.canStart(demand.model(), demand.oldestVersion()))
                .mapToLong(endpoint -> (long) endpoint.capacity() - endpoint.running())
                .sum();
    }

    /** Assigns new endpoints to models, and moves at most one endpoint from a model that has more than its share. */
    private void assignModels(Collection<GenerationEndpoint> endpoints, Map<ModelName, ModelDemand> demands) {
        assignedModels
                .keySet()
                .retainAll(endpoints.stream().map(GenerationEndpoint::id).toList());
        assignedModels.values().removeIf(model -> !demands.containsKey(model));
        List<GenerationEndpoint> sorted = new ArrayList<>(endpoints);
        sorted.sort(Comparator.comparing(GenerationEndpoint::id));
        for (GenerationEndpoint endpoint : sorted) {
            assignedModels.computeIfAbsent(endpoint.id(), ignored -> furthestBelowShare(demands, endpoints.size()));
        }
        ModelName lowest = furthestBelowShare(demands, endpoints.size());
        Map<ModelName, Double> surplus = new TreeMap<>();
        demands.keySet()
                .forEach(model ->
                        surplus.put(model, assignedEndpoints(model) - share(model, demands, endpoints.size())));
        ModelName highest = surplus.entrySet().stream()
                .max(Map.Entry.comparingByValue())
                .orElseThrow()
                .getKey();
        if (surplus.get(highest) >= 1 && surplus.get(lowest) <= -1 && assignedEndpoints(highest) > 1) {
            sorted.stream()
                    .filter(endpoint -> assignedModels.get(endpoint.id()).equals(highest))
                    .max(Comparator.comparingLong(endpoint -> endpoint.version(lowest)))
                    .ifPresent(endpoint -> assignedModels.put(endpoint.id(), lowest));
        }
    }

    /** Returns the model that is furthest below its share of endpoints; a model without any comes first. */
    private ModelName furthestBelowShare(Map<ModelName, ModelDemand> demands, int endpoints) {
        return demands.keySet().stream()
                .min(Comparator.<ModelName>comparingInt(model -> assignedEndpoints(model) == 0 ? 0 : 1)
                        .thenComparingDouble(model -> assignedEndpoints(model) - share(model, demands, endpoints)))
                .orElseThrow();
    }

    private static double share(ModelName model, Map<ModelName, ModelDemand> demands, int endpoints) {
        double total = demands.values().stream()
                .mapToDouble(VersionPlan::demandedSlots)
                .sum();
        return endpoints * demandedSlots(demands.get(model)) / total;
    }

    private static double demandedSlots(ModelDemand demand) {
        return MINIMUM_DEMANDED_SLOTS + demand.averageSlots();
    }

    private int assignedEndpoints(ModelName model) {
        return (int) assignedModels.values().stream().filter(model::equals).count();
    }
}
