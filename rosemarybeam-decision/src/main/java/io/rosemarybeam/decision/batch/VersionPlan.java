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
 * <p>Load pattern: several trainers of unlike appetite name a version every few seconds, more loads at once slow each other
 * down, and few endpoints are left. Every endpoint is the home of one model, whose versions it follows; homes are shared out
 * by the work that each model had lately. A model whose items wait while all its endpoints are full also gets the endpoint
 * with most free slots, which then loads a version only as long as items wait. Confined to one thread.
 */
public final class VersionPlan {
    /** Part of the endpoints that load at once; the users' stores slow down beyond 2 of 6 and 9 of 31. */
    private static final double LOADING_PART = 0.3;

    /** Loads that are always allowed at once. */
    private static final int LEAST_LOADING = 2;

    /** Lag from which an endpoint cannot serve the next step of its model, in versions; steps allow a lag of one. */
    private static final long USELESS_LAG = 2;

    /** Work that a model counts with even if it had none, in slots, so that no model loses all its homes. */
    private static final double LEAST_WORK = 0.5;

    private final Map<EndpointId, ModelName> homes = new HashMap<>();

    /**
     * A load to order. Immutable.
     *
     * @param endpoint the endpoint
     * @param model the model
     * @param version the version
     */
    public record Load(EndpointId endpoint, ModelName model, long version) {}

    /**
     * Plans the next loads.
     *
     * @param endpoints ready endpoints of one service
     * @param demands the work for each model of the service
     * @return loads to order now
     */
    public List<Load> next(Collection<GenerationEndpoint> endpoints, Collection<ModelDemand> demands) {
        if (demands.isEmpty() || endpoints.isEmpty()) {
            return List.of();
        }
        Map<ModelName, ModelDemand> byModel = new TreeMap<>();
        demands.forEach(demand -> byModel.put(demand.model(), demand));
        assignHomes(endpoints, byModel);
        long loading = endpoints.stream()
                .filter(endpoint -> !endpoint.loading().isEmpty())
                .count();
        int most = Math.max(LEAST_LOADING, (int) (LOADING_PART * endpoints.size()));
        List<GenerationEndpoint> free = new ArrayList<>(endpoints.stream()
                .filter(endpoint -> endpoint.loading().isEmpty() && !endpoint.avoided())
                .toList());
        List<Load> loads = new ArrayList<>();
        addHomes(free, byModel, USELESS_LAG, loads);
        addWaiting(free, endpoints, byModel, loads);
        addHomes(free, byModel, 1, loads);
        return loads.subList(0, Math.clamp(most - loading, 0, loads.size()));
    }

    /** Adds the loads of homes that lag by so many versions, the emptiest endpoints first. */
    private void addHomes(
            List<GenerationEndpoint> free, Map<ModelName, ModelDemand> demands, long leastLag, List<Load> loads) {
        List<GenerationEndpoint> lagging = free.stream()
                .filter(endpoint -> lag(endpoint, demands) >= leastLag)
                .sorted(Comparator.<GenerationEndpoint>comparingLong(endpoint -> -lag(endpoint, demands))
                        .thenComparingInt(GenerationEndpoint::running)
                        .thenComparing(GenerationEndpoint::id))
                .toList();
        for (GenerationEndpoint endpoint : lagging) {
            ModelDemand demand = demands.get(homes.get(endpoint.id()));
            loads.add(new Load(endpoint.id(), demand.model(), demand.named()));
        }
        free.removeAll(lagging);
    }

    private long lag(GenerationEndpoint endpoint, Map<ModelName, ModelDemand> demands) {
        ModelDemand demand = demands.get(homes.get(endpoint.id()));
        return demand == null ? 0 : demand.named() - endpoint.version(demand.model());
    }

    /** Gives the models whose items wait an endpoint with free slots that cannot run them yet. */
    private void addWaiting(
            List<GenerationEndpoint> free,
            Collection<GenerationEndpoint> endpoints,
            Map<ModelName, ModelDemand> demands,
            List<Load> loads) {
        List<ModelDemand> starved = demands.values().stream()
                .filter(demand -> demand.waiting() > freeSlots(endpoints, demand))
                .sorted(Comparator.comparingInt(demand -> -demand.waiting()))
                .toList();
        for (ModelDemand demand : starved) {
            Optional<GenerationEndpoint> helper = free.stream()
                    .filter(endpoint -> endpoint.version(demand.model()) < demand.oldestVersion())
                    .filter(endpoint -> endpoint.running() < endpoint.capacity())
                    .max(Comparator.<GenerationEndpoint>comparingInt(
                                    endpoint -> endpoint.capacity() - endpoint.running())
                            .thenComparing(GenerationEndpoint::id));
            helper.ifPresent(endpoint -> {
                loads.add(new Load(endpoint.id(), demand.model(), demand.named()));
                free.remove(endpoint);
            });
        }
    }

    private static int freeSlots(Collection<GenerationEndpoint> endpoints, ModelDemand demand) {
        return endpoints.stream()
                .filter(endpoint -> endpoint.canStart(demand.model(), demand.oldestVersion()))
                .mapToInt(endpoint -> endpoint.capacity() - endpoint.running())
                .sum();
    }

    // Homes

    /** Gives new endpoints a home, and moves at most one endpoint whose model has more than its share. */
    private void assignHomes(Collection<GenerationEndpoint> endpoints, Map<ModelName, ModelDemand> demands) {
        homes.keySet().retainAll(endpoints.stream().map(GenerationEndpoint::id).toList());
        homes.values().removeIf(model -> !demands.containsKey(model));
        List<GenerationEndpoint> sorted = new ArrayList<>(endpoints);
        sorted.sort(Comparator.comparing(GenerationEndpoint::id));
        for (GenerationEndpoint endpoint : sorted) {
            homes.computeIfAbsent(endpoint.id(), ignored -> neediest(demands, endpoints.size()));
        }
        ModelName neediest = neediest(demands, endpoints.size());
        Map<ModelName, Double> surplus = new TreeMap<>();
        demands.keySet().forEach(model -> surplus.put(model, count(model) - share(model, demands, endpoints.size())));
        ModelName richest = surplus.entrySet().stream()
                .max(Map.Entry.comparingByValue())
                .orElseThrow()
                .getKey();
        if (surplus.get(richest) >= 1 && surplus.get(neediest) <= -1 && count(richest) > 1) {
            sorted.stream()
                    .filter(endpoint -> homes.get(endpoint.id()).equals(richest))
                    .max(Comparator.comparingLong(endpoint -> endpoint.version(neediest)))
                    .ifPresent(endpoint -> homes.put(endpoint.id(), neediest));
        }
    }

    /** The model that is furthest below its share of homes; a model without any comes first. */
    private ModelName neediest(Map<ModelName, ModelDemand> demands, int endpoints) {
        return demands.keySet().stream()
                .min(Comparator.<ModelName>comparingInt(model -> count(model) == 0 ? 0 : 1)
                        .thenComparingDouble(model -> count(model) - share(model, demands, endpoints)))
                .orElseThrow();
    }

    private static double share(ModelName model, Map<ModelName, ModelDemand> demands, int endpoints) {
        double total = demands.values().stream().mapToDouble(VersionPlan::work).sum();
        return endpoints * work(demands.get(model)) / total;
    }

    private static double work(ModelDemand demand) {
        return LEAST_WORK + demand.load();
    }

    private int count(ModelName model) {
        return (int) homes.values().stream().filter(model::equals).count();
    }
}
