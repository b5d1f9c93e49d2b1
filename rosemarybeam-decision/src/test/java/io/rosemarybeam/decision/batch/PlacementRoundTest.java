package io.rosemarybeam.decision.batch;

import java.util.ArrayList;
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

/** Guards against a leader that stalls because each item that ends makes it examine all waiting items at all endpoints. */
class PlacementRoundTest {
    private static final int ENDPOINTS = 31;
    private static final int CAPACITY = 6;
    private static final int WAITING = 400;
    private static final List<ModelName> MODELS = List.of(ModelName.of("a"), ModelName.of("b"), ModelName.of("c"));

    private static GenerationEndpoint endpoint(int number, int running, long version) {
        return endpoint(number, running, version, "v1", false);
    }

    private static GenerationEndpoint endpoint(
            int number, int running, long version, String softwareVersion, boolean avoided) {
        return new GenerationEndpoint(
                EndpointId.of("e-" + number),
                softwareVersion,
                CAPACITY,
                running,
                Map.of(MODELS.get(0), version, MODELS.get(1), version, MODELS.get(2), version),
                Set.of(),
                avoided,
                true,
                10);
    }

    private static List<GenerationEndpoint> full() {
        List<GenerationEndpoint> endpoints = new ArrayList<>();
        for (int number = 0; number < ENDPOINTS; number++) {
            endpoints.add(endpoint(number, CAPACITY, 1));
        }
        return endpoints;
    }

    private static Requirements requirements(int item, long oldestVersion) {
        ModelName model = MODELS.get(item % MODELS.size());
        return new Requirements(
                model, oldestVersion, -1, Optional.empty(), Optional.of(EndpointId.of("e-" + item % ENDPOINTS)));
    }

    @Test
    void shouldExamineNoEndpointWhenAllSlotsAreTaken() {
        PlacementRound round = PlacementRound.of(full());
        for (int item = 0; item < WAITING; item++) {
            assertTrue(round.choose(requirements(item, 1)).isEmpty());
        }
        assertFalse(round.hasRoom());
        assertEquals(0, round.examinedEndpoints());
    }

    @Test
    void shouldExamineOnlyTheFreeEndpointWhenManyItemsEndOneAfterTheOther() {
        PlacementRound round = PlacementRound.of(full());
        for (int ended = 0; ended < WAITING; ended++) {
            int number = ended % ENDPOINTS;
            EndpointId id = EndpointId.of("e-" + number);
            round.update(id, Optional.of(endpoint(number, CAPACITY - 1, 1)));
            assertEquals(id, round.choose(requirements(ended, 1)).orElseThrow().id());
            round.recordStart(endpoint(number, CAPACITY, 1));
        }
        assertEquals(WAITING, round.examinedEndpoints());
    }

    @Test
    void shouldExamineUnmetRequirementsOnceWhenWeightsAreTooOld() {
        List<GenerationEndpoint> endpoints = full();
        endpoints.set(0, endpoint(0, 0, 1));
        endpoints.set(1, endpoint(1, 0, 1));
        PlacementRound round = PlacementRound.of(endpoints);
        for (int item = 0; item < WAITING; item++) {
            assertTrue(round.choose(requirements(item, 2)).isEmpty());
        }
        assertEquals(2L * MODELS.size(), round.examinedEndpoints());
    }

    @Test
    void shouldPlaceWaitingItemWhenAnEndpointGetsTheRequiredWeights() {
        List<GenerationEndpoint> endpoints = full();
        endpoints.set(0, endpoint(0, 0, 1));
        PlacementRound round = PlacementRound.of(endpoints);
        assertTrue(round.choose(requirements(0, 2)).isEmpty());

        round.update(EndpointId.of("e-0"), Optional.of(endpoint(0, 0, 2)));

        assertEquals("e-0", round.choose(requirements(0, 2)).orElseThrow().id().value());
    }

    @Test
    void shouldNotPlaceWhenTheEndpointIsNotReadyAnyMore() {
        PlacementRound round = PlacementRound.of(List.of(endpoint(0, 0, 1)));
        round.update(EndpointId.of("e-0"), Optional.empty());
        assertTrue(round.choose(requirements(0, 1)).isEmpty());
        assertFalse(round.hasRoom());
    }

    @Test
    void shouldChooseAsOneItemAtATimeWhenSlotsAreFree() {
        List<GenerationEndpoint> endpoints = List.of(endpoint(0, 3, 1), endpoint(1, 1, 1), endpoint(2, 5, 1));
        Requirements need = requirements(2, 1);
        assertEquals(
                ItemPlacement.choose(need, endpoints),
                PlacementRound.of(endpoints).choose(need));
    }

    @Test
    void shouldKeepTextWhenItsSoftwareRunsAtAFullOrAvoidedEndpoint() {
        // A text is lost for good when it is discarded, so neither a taken slot nor a moment without answers may do
        // that.
        Requirements need = new Requirements(MODELS.get(0), 1, -1, Optional.of("v1"), Optional.empty());
        PlacementRound round =
                PlacementRound.of(List.of(endpoint(0, CAPACITY, 1, "v1", false), endpoint(1, 0, 1, "v2", false)));
        assertFalse(round.isTextLost(need, true));
        PlacementRound onlyAvoided =
                PlacementRound.of(List.of(endpoint(0, 0, 1, "v1", true), endpoint(1, 0, 1, "v2", false)));
        assertFalse(onlyAvoided.isTextLost(need, false));
        assertTrue(onlyAvoided.isTextLost(need, true));
        assertTrue(PlacementRound.of(List.of(endpoint(1, 0, 1, "v2", false))).isTextLost(need, false));
    }

    @Test
    void shouldCountSlotsOfResponsiveEndpointsOnly() {
        PlacementRound round = PlacementRound.of(List.of(endpoint(0, 0, 1), endpoint(1, 0, 1, "v1", true)));
        assertEquals(CAPACITY, round.slots());
    }
}
