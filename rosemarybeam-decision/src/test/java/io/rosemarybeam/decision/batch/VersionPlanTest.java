package io.rosemarybeam.decision.batch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.ModelName;
import io.rosemarybeam.decision.batch.VersionPlan.PlannedLoad;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against items that wait while endpoints of other models are idle, and against needless or too many loads. */
class VersionPlanTest {
    private static final ModelName SMALL = ModelName.of("small");
    private static final ModelName LARGE = ModelName.of("large");

    private final VersionPlan plan = new VersionPlan();

    private static GenerationEndpoint endpoint(String id, int running, Map<ModelName, Long> versions) {
        return new GenerationEndpoint(EndpointId.of(id), "v1", 8, running, versions, Set.of(), false, true, 0);
    }

    private static List<GenerationEndpoint> fresh(int count) {
        List<GenerationEndpoint> endpoints = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            endpoints.add(endpoint("e" + number, 0, Map.of(SMALL, 1L, LARGE, 1L)));
        }
        return endpoints;
    }

    private static ModelDemand demand(ModelName model, long publishedVersion, int waitingItems, double averageSlots) {
        return new ModelDemand(model, publishedVersion, Math.max(0, publishedVersion - 1), waitingItems, averageSlots);
    }

    @Test
    void shouldLoadNothingWhenNoVersionWasPublished() {
        assertEquals(List.of(), plan.next(fresh(4), List.of(demand(SMALL, 0, 5, 3), demand(LARGE, 0, 5, 9))));
    }

    /** Load pattern: four endpoints for two trainers, one of which uses three times as many slots as the other. */
    @Test
    void shouldAssignEndpointsByDemandWhenTrainersDiffer() {
        Map<EndpointId, ModelName> loaded = new HashMap<>();
        List<ModelDemand> demands = List.of(demand(SMALL, 2, 0, 6), demand(LARGE, 2, 0, 20));
        List<GenerationEndpoint> endpoints = fresh(4);
        for (int round = 0; round < 4; round++) {
            for (PlannedLoad load : plan.next(endpoints, demands)) {
                loaded.put(load.endpoint(), load.model());
            }
            endpoints = fresh(4).stream()
                    .map(endpoint -> loaded.containsKey(endpoint.id())
                            ? endpoint(endpoint.id().value(), 0, Map.of(loaded.get(endpoint.id()), 2L))
                            : endpoint)
                    .toList();
        }

        assertEquals(3, loaded.values().stream().filter(LARGE::equals).count(), loaded.toString());
        assertEquals(1, loaded.values().stream().filter(SMALL::equals).count(), loaded.toString());
    }

    @Test
    void shouldNotExceedConcurrentLoadLimit() {
        List<ModelDemand> demands = List.of(demand(SMALL, 2, 0, 5), demand(LARGE, 2, 0, 5));

        assertEquals(2, plan.next(fresh(6), demands).size());
        assertEquals(9, new VersionPlan().next(fresh(31), demands).size());
    }

    /** Load pattern: the items of one model wait while the endpoint of the other model is idle. */
    @Test
    void shouldLoadOntoIdleEndpointWhenItemsOfAnotherModelWait() {
        List<GenerationEndpoint> endpoints = List.of(
                endpoint("busy", 8, Map.of(LARGE, 5L, SMALL, 1L)), endpoint("idle", 0, Map.of(SMALL, 5L, LARGE, 1L)));
        plan.next(endpoints, List.of(demand(SMALL, 5, 0, 8), demand(LARGE, 5, 0, 8)));

        List<PlannedLoad> loads = plan.next(endpoints, List.of(demand(SMALL, 5, 0, 8), demand(LARGE, 5, 20, 8)));

        assertEquals(List.of(new PlannedLoad(EndpointId.of("idle"), LARGE, 5)), loads);
    }

    @Test
    void shouldNotLoadOntoIdleEndpointWhenFreeSlotsSuffice() {
        List<GenerationEndpoint> endpoints = List.of(
                endpoint("half", 4, Map.of(LARGE, 5L, SMALL, 1L)), endpoint("idle", 0, Map.of(SMALL, 5L, LARGE, 1L)));
        plan.next(endpoints, List.of(demand(SMALL, 5, 0, 8), demand(LARGE, 5, 0, 8)));

        assertEquals(List.of(), plan.next(endpoints, List.of(demand(SMALL, 5, 0, 8), demand(LARGE, 5, 3, 8))));
    }

    @Test
    void shouldReplaceUnusableWeightsBeforeUsableOnes() {
        List<GenerationEndpoint> endpoints = new ArrayList<>();
        for (int number = 0; number < 6; number++) {
            endpoints.add(endpoint("e" + number, 0, Map.of(SMALL, number == 5 ? 3L : 4L)));
        }

        List<PlannedLoad> loads = plan.next(endpoints, List.of(demand(SMALL, 5, 0, 8)));

        assertEquals(EndpointId.of("e5"), loads.getFirst().endpoint());
        assertTrue(new HashSet<>(loads).size() == 2);
    }

    private static List<GenerationEndpoint> withCapacity(int capacity) {
        List<Map<ModelName, Long>> versions =
                List.of(Map.of(SMALL, 5L, LARGE, 5L), Map.of(SMALL, 5L, LARGE, 5L), Map.of(SMALL, 5L, LARGE, 1L));
        List<GenerationEndpoint> endpoints = new ArrayList<>();
        for (int number = 0; number < versions.size(); number++) {
            endpoints.add(new GenerationEndpoint(
                    EndpointId.of("e" + number), "v1", capacity, 0, versions.get(number), Set.of(), false, true, 0));
        }
        return endpoints;
    }

    /** Free slots added up in 32 bits become negative, and the model seems to be short of them. */
    @Test
    void shouldLoadNothingMoreWhenTheSumOfFreeSlotsExceedsAnInteger() {
        List<ModelDemand> demands = List.of(demand(SMALL, 5, 0, 30), demand(LARGE, 5, 2, 8));

        assertEquals(List.of(), new VersionPlan().next(withCapacity(8), demands));
        assertEquals(List.of(), plan.next(withCapacity(Integer.MAX_VALUE), demands));
    }
}
