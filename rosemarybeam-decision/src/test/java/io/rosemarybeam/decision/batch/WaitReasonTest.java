package io.rosemarybeam.decision.batch;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.ModelName;
import io.rosemarybeam.decision.batch.ItemPlacement.Requirements;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against a log that does not tell what an item waits for while too little is served. */
class WaitReasonTest {
    private static final ModelName MODEL = ModelName.of("m");
    private static final int CAPACITY = 4;

    private static GenerationEndpoint endpoint(
            String software, int running, long version, boolean loading, boolean avoided, boolean withinRateLimit) {
        Set<ModelName> loadingModels = loading ? Set.of(MODEL) : Set.of();
        return new GenerationEndpoint(
                EndpointId.of("e-" + software + running + version + loading + avoided + withinRateLimit),
                software,
                CAPACITY,
                running,
                Map.of(MODEL, version),
                loadingModels,
                avoided,
                withinRateLimit,
                0);
    }

    private static Requirements requirements(String software) {
        return new Requirements(MODEL, 4, -1, Optional.of(software).filter(text -> !text.isEmpty()), Optional.empty());
    }

    @Test
    void shouldNameTheConditionThatExcludesTheLastEndpointWhenOthersFailEarlierOnes() {
        GenerationEndpoint otherSoftware = endpoint("v2", 0, 4, false, false, true);
        GenerationEndpoint stale = endpoint("v1", 0, 3, false, false, true);
        GenerationEndpoint loading = endpoint("v1", 0, 4, true, false, true);
        GenerationEndpoint avoided = endpoint("v1", 0, 4, false, true, true);
        GenerationEndpoint limited = endpoint("v1", 0, 4, false, false, false);
        GenerationEndpoint full = endpoint("v1", CAPACITY, 4, false, false, true);
        Requirements need = requirements("v1");

        assertEquals(WaitReason.NO_ENDPOINT, WaitReason.of(need, List.of()));
        assertEquals(WaitReason.SOFTWARE_VERSION, WaitReason.of(need, List.of(otherSoftware)));
        assertEquals(WaitReason.WEIGHTS, WaitReason.of(need, List.of(otherSoftware, stale)));
        assertEquals(WaitReason.LOADING, WaitReason.of(need, List.of(stale, loading)));
        assertEquals(WaitReason.AVOIDED, WaitReason.of(need, List.of(stale, loading, avoided)));
        assertEquals(WaitReason.RATE_LIMIT, WaitReason.of(need, List.of(loading, avoided, limited)));
        assertEquals(WaitReason.NO_SLOT, WaitReason.of(need, List.of(avoided, limited, full)));
        assertEquals(WaitReason.NO_SLOT, WaitReason.of(requirements(""), List.of(full)));
    }
}
