package io.rosemarybeam.decision.batch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.ModelName;

/**
 * Decides which endpoint loads which weight version next.
 *
 * <p>Load pattern: several trainers name a version every few seconds, and more loads at once slow each other down. Every
 * endpoint serves one model, so that a version is loaded as often as a trainer has endpoints and not as often as there are
 * endpoints. The oldest weights are replaced first. An endpoint keeps its model while the shares stay even. Confined to one
 * thread.
 */
public final class VersionPlan {
    /** Part of the endpoints that load at once; the users' stores slow down beyond 2 of 6 and 9 of 31. */
    private static final double LOADING_PART = 0.3;

    /** Loads that are always allowed at once. */
    private static final int LEAST_LOADING = 2;

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
     * @param models models of the service
     * @param named newest named version of each model
     * @return loads to order now
     */
    public List<Load> next(
            Collection<GenerationEndpoint> endpoints, Collection<ModelName> models, Map<ModelName, Long> named) {
        assignHomes(endpoints, models);
        int loading =
                (int) endpoints.stream().filter(GenerationEndpoint::loading).count();
        int most = Math.max(LEAST_LOADING, (int) (LOADING_PART * endpoints.size()));
        List<Load> loads = endpoints.stream()
                .filter(endpoint -> !endpoint.loading() && !endpoint.avoided())
                .filter(endpoint -> lag(endpoint, named) > 0)
                .sorted(Comparator.<GenerationEndpoint>comparingLong(endpoint -> -lag(endpoint, named))
                        .thenComparingInt(GenerationEndpoint::running)
                        .thenComparing(GenerationEndpoint::id))
                .limit(Math.max(0, most - loading))
                .map(endpoint -> load(endpoint, named))
                .toList();
        return loads;
    }

    private Load load(GenerationEndpoint endpoint, Map<ModelName, Long> named) {
        ModelName model = homes.get(endpoint.id());
        return new Load(endpoint.id(), model, named.get(model));
    }

    private long lag(GenerationEndpoint endpoint, Map<ModelName, Long> named) {
        ModelName model = homes.get(endpoint.id());
        Long version = model == null ? null : named.get(model);
        return version == null ? 0 : version - endpoint.version(model);
    }

    /** Gives every endpoint the model that has fewest, and moves one at a time while the shares differ by two or more. */
    private void assignHomes(Collection<GenerationEndpoint> endpoints, Collection<ModelName> models) {
        homes.keySet().retainAll(endpoints.stream().map(GenerationEndpoint::id).toList());
        homes.values().removeIf(model -> !models.contains(model));
        if (models.isEmpty()) {
            return;
        }
        List<GenerationEndpoint> sorted = new ArrayList<>(endpoints);
        sorted.sort(Comparator.comparing(GenerationEndpoint::id));
        for (GenerationEndpoint endpoint : sorted) {
            homes.computeIfAbsent(endpoint.id(), ignored -> rarest(endpoint, models));
        }
        Map<ModelName, List<EndpointId>> byModel = byModel(models);
        List<EndpointId> largest = byModel.values().stream()
                .max(Comparator.comparingInt(List::size))
                .orElseThrow();
        ModelName smallest = byModel.entrySet().stream()
                .min(Comparator.comparingInt(entry -> entry.getValue().size()))
                .orElseThrow()
                .getKey();
        if (largest.size() - byModel.get(smallest).size() >= 2) {
            homes.put(largest.getFirst(), smallest);
        }
    }

    /** Of the models with fewest endpoints, the one whose weights are newest at this endpoint. */
    private ModelName rarest(GenerationEndpoint endpoint, Collection<ModelName> models) {
        Map<ModelName, List<EndpointId>> byModel = byModel(models);
        return models.stream()
                .min(Comparator.<ModelName>comparingInt(
                                model -> byModel.get(model).size())
                        .thenComparingLong(model -> -endpoint.version(model))
                        .thenComparing(model -> model))
                .orElseThrow();
    }

    private Map<ModelName, List<EndpointId>> byModel(Collection<ModelName> models) {
        Map<ModelName, List<EndpointId>> byModel = new TreeMap<>();
        models.forEach(model -> byModel.put(model, new ArrayList<>()));
        homes.entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .forEach(entry -> byModel.get(entry.getValue()).add(entry.getKey()));
        return byModel;
    }
}
