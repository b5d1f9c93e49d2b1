package io.rosemarybeam.decision.batch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.ModelName;
import io.rosemarybeam.decision.batch.ItemPlacement.Requirements;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against placing items on endpoints with stale weights, without a free slot, or far slower than the others. */
class ItemPlacementTest {
    private static final ModelName MODEL = ModelName.of("m");

    private static GenerationEndpoint endpoint(String id, int running, long version, double eventInterval) {
        return new GenerationEndpoint(
                EndpointId.of(id), "v1", 8, running, Map.of(MODEL, version), Set.of(), false, true, eventInterval);
    }

    private static Requirements requirements(long oldestVersion, long exactVersion) {
        return new Requirements(MODEL, oldestVersion, exactVersion, Optional.empty(), Optional.empty());
    }

    @Test
    void shouldWaitWhenAllFreshEndpointsAreFull() {
        List<GenerationEndpoint> endpoints = List.of(endpoint("full", 8, 5, 0), endpoint("stale", 0, 3, 0));

        assertTrue(ItemPlacement.choose(requirements(4, -1), endpoints).isEmpty());
    }

    @Test
    void shouldWaitWhenEndpointLoadsTheModel() {
        GenerationEndpoint loading = new GenerationEndpoint(
                EndpointId.of("a"), "v1", 8, 0, Map.of(MODEL, 5L), Set.of(MODEL), false, true, 0);

        assertTrue(ItemPlacement.choose(requirements(4, -1), List.of(loading)).isEmpty());
    }

    @Test
    void shouldContinueAtSameVersionWhenTextMustHaveSingleVersion() {
        List<GenerationEndpoint> endpoints = List.of(endpoint("new", 0, 6, 0), endpoint("same", 5, 5, 0));

        assertEquals(
                "same",
                ItemPlacement.choose(requirements(4, 5), endpoints)
                        .orElseThrow()
                        .id()
                        .value());
    }

    @Test
    void shouldContinueOnlyWhenAResponsiveEndpointHasTheVersionOfTheText() {
        GenerationEndpoint crashed = new GenerationEndpoint(
                EndpointId.of("crashed"), "v1", 8, 0, Map.of(MODEL, 5L), Set.of(), true, true, 0);
        GenerationEndpoint newer = endpoint("newer", 0, 6, 0);
        GenerationEndpoint full = endpoint("full", 8, 5, 0);

        assertFalse(ItemPlacement.canContinue(requirements(4, 5), List.of(crashed, newer)));
        assertTrue(ItemPlacement.canContinue(requirements(4, 5), List.of(full, newer)));
        assertTrue(ItemPlacement.canContinue(requirements(4, -1), List.of(newer)));
    }

    /** An item must not wait for the last endpoint of an earlier release, which is assigned to another model. */
    @Test
    void shouldNotWaitForSoftwareVersionWhenItsEndpointsHaveWeightsThatAreTooOld() {
        Requirements started = new Requirements(MODEL, 4, -1, Optional.of("v1"), Optional.empty());
        GenerationEndpoint outdated = endpoint("outdated", 0, 3, 0);
        GenerationEndpoint released =
                new GenerationEndpoint(EndpointId.of("new"), "v2", 8, 0, Map.of(MODEL, 5L), Set.of(), false, true, 0);

        assertTrue(ItemPlacement.choose(started, List.of(outdated, released)).isEmpty());
        assertFalse(ItemPlacement.canContinue(started, List.of(outdated, released)));
        assertTrue(ItemPlacement.canContinue(started, List.of(endpoint("full", 8, 4, 0), released)));
    }

    /** Load pattern: a step of 40 items on four endpoints, one of which is 3.5 times slower. */
    @Test
    void shouldPlaceNothingOnSlowEndpointWhenOthersHaveSlots() {
        Map<String, Integer> running = new HashMap<>(Map.of("a", 0, "b", 0, "c", 0, "slow", 0));
        for (int item = 0; item < 20; item++) {
            List<GenerationEndpoint> endpoints = new ArrayList<>();
            running.forEach((id, count) -> endpoints.add(endpoint(id, count, 5, id.equals("slow") ? 140 : 40)));
            running.merge(
                    ItemPlacement.choose(requirements(4, -1), endpoints)
                            .orElseThrow()
                            .id()
                            .value(),
                    1,
                    Integer::sum);
        }

        assertEquals(0, running.get("slow"), running.toString());
        assertTrue(running.get("a") >= 6 && running.get("a") <= 7, running.toString());
    }

    @Test
    void shouldContinueATextOnlyAtTheSoftwareVersionThatBeganIt() {
        Requirements ofNewer = new Requirements(MODEL, 0, -1, Optional.of("v2"), Optional.empty());
        List<GenerationEndpoint> olderOnly = List.of(endpoint("a", 0, 5, 0));
        GenerationEndpoint newer =
                new GenerationEndpoint(EndpointId.of("busy"), "v2", 8, 7, Map.of(MODEL, 5L), Set.of(), false, true, 0);

        assertTrue(ItemPlacement.choose(ofNewer, olderOnly).isEmpty());
        assertTrue(ItemPlacement.isSoftwareGone(ofNewer, olderOnly));
        assertEquals(
                newer,
                ItemPlacement.choose(ofNewer, List.of(endpoint("a", 0, 5, 0), newer))
                        .orElseThrow());
    }
}
