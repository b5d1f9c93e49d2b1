package io.rosemarybeam.decision.step;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.FailureDomain;
import io.rosemarybeam.common.id.RequestId;
import io.rosemarybeam.common.id.StepId;
import io.rosemarybeam.common.id.TrainerName;
import io.rosemarybeam.common.id.WeightVersion;
import io.rosemarybeam.common.wire.StepRecords.GroupSpecification;
import io.rosemarybeam.common.wire.StepRecords.StepSnapshot;
import io.rosemarybeam.common.wire.StepRecords.StepSpecification;
import io.rosemarybeam.common.wire.StepRecords.VersionSpan;
import io.rosemarybeam.decision.step.StepCommand.CancelSample;
import io.rosemarybeam.decision.step.StepCommand.SubmitSample;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against stragglers that delay a step, trainers that starve, and samples that start with stale weights. */
class StepCoreTest {
    private static final EndpointId SLOW = EndpointId.of("slow");
    private static final EndpointId FAST = EndpointId.of("fast");

    private final StepCore core =
            StepCore.of(StepCoreSettings.builder(StepSimulation.OWNER, FailureDomain.of("amman-a"))
                    .build());
    private final List<StepCommand> commands = new ArrayList<>();

    private void feed(long now, StepInput input) {
        commands.addAll(core.handle(now, input));
    }

    private void open(String trainer, int samples) {
        StepSpecification specification = new StepSpecification(
                TrainerName.of(trainer),
                StepId.of("step-1"),
                StepSimulation.SERVICE,
                WeightVersion.of(5),
                List.of(new GroupSpecification("prompt", samples, 400)));
        feed(
                0,
                new StepInput.StepOwned(new StepSnapshot(
                        specification,
                        Optional.of(StepSimulation.OWNER),
                        1,
                        List.of(),
                        List.of(),
                        WeightVersion.of(5))));
    }

    private void capacity(int samples, long newestVersion) {
        feed(
                0,
                new StepInput.CapacityChanged(
                        StepSimulation.SERVICE, samples, WeightVersion.of(1), WeightVersion.of(newestVersion)));
    }

    private List<SubmitSample> submitted() {
        return commands.stream()
                .filter(SubmitSample.class::isInstance)
                .map(SubmitSample.class::cast)
                .toList();
    }

    @Test
    void shouldDuplicateSlowSampleAndCancelSlowerAttemptWhenTheTailIsSlow() {
        feed(0, new StepInput.ConfigurationActivated(StepSimulation.configuration()));
        capacity(8, 5);
        open("trainer-a", 2);
        List<SubmitSample> first = submitted();
        assertEquals(2, first.size());
        for (long now = 250; now <= 5_000; now += 250) {
            feed(now, new StepInput.SampleProgressed(first.get(0).request(), FAST, (int) now / 25));
            feed(now, new StepInput.SampleProgressed(first.get(1).request(), SLOW, (int) now / 500));
        }
        feed(5_000, generated(first.get(0).request(), 200));
        feed(5_300, new StepInput.Tick());
        assertEquals(3, submitted().size());
        SubmitSample second = submitted().get(2);
        assertEquals(first.get(1).index(), second.index());
        assertEquals(Set.of(SLOW), second.avoid());
        feed(9_000, generated(second.request(), 200));
        assertTrue(commands.contains(new CancelSample(first.get(1).request())));
    }

    @Test
    void shouldServeEveryTrainerWhenCapacityIsScarce() {
        feed(0, new StepInput.ConfigurationActivated(StepSimulation.configuration()));
        capacity(0, 5);
        open("trainer-a", 20);
        open("trainer-b", 20);
        capacity(8, 5);
        Map<TrainerName, List<SubmitSample>> byTrainer =
                submitted().stream().collect(Collectors.groupingBy(SubmitSample::trainer));
        assertEquals(4, byTrainer.get(TrainerName.of("trainer-a")).size());
        assertEquals(4, byTrainer.get(TrainerName.of("trainer-b")).size());
    }

    @Test
    void shouldSubmitNothingWhenNoEndpointHasAFreshVersion() {
        feed(0, new StepInput.ConfigurationActivated(StepSimulation.configuration()));
        capacity(8, 2);
        open("trainer-a", 2);
        assertTrue(submitted().isEmpty());
        capacity(8, 3);
        assertFalse(submitted().isEmpty());
        assertEquals(WeightVersion.of(3), submitted().getFirst().minimumVersion());
    }

    private static StepInput generated(RequestId request, int tokens) {
        String text = "text of " + request;
        return new StepInput.SampleGenerated(
                request, text, text, List.of(new VersionSpan(WeightVersion.of(5), tokens)));
    }
}
