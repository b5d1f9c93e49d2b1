package io.rosemarybeam.decision.step;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import static org.junit.jupiter.api.Assertions.assertEquals;

/**
 * Guards against interleavings of lost answers, repeated answers, takeovers and weight publications in which a sample is
 * delivered twice, too old, with wrong version labels, or never. {@link StepSimulation} makes the checks.
 */
class StepCoreInterleavingTest {
    private static final int RANDOM_INPUTS = 400;
    private static final int MAXIMUM_FAULT_FREE_ROUNDS = 4_000;

    @Property(tries = 1000, seed = "20261")
    void shouldDeliverSameContentWhenOwnersChangeAndAnswersAreLost(@ForAll long seed) {
        run(new StepSimulation(seed, true));
    }

    @Property(tries = 1000, seed = "20262")
    void shouldDeliverEachSampleOnceWhenBodiesAreLostToo(@ForAll long seed) {
        run(new StepSimulation(seed, false));
    }

    private static void run(StepSimulation simulation) {
        for (int input = 0; input < RANDOM_INPUTS; input++) {
            randomInput(simulation);
        }
        simulation.faultFree = true;
        int rounds = 0;
        while (simulation.received.size() < StepSimulation.SAMPLES && rounds < MAXIMUM_FAULT_FREE_ROUNDS) {
            rounds++;
            simulation.endAttempt();
            simulation.deliver();
            simulation.deliver();
            simulation.deliver();
            simulation.tick(100);
            if (rounds % 10 == 0) {
                simulation.capacity();
                simulation.acknowledge();
                simulation.read();
            }
        }
        assertEquals(
                StepSimulation.SAMPLES, simulation.received.size(), "samples delivered after " + rounds + " rounds");
    }

    private static void randomInput(StepSimulation simulation) {
        int choice = simulation.random.nextInt(100);
        if (choice < 30) {
            simulation.deliver();
        } else if (choice < 50) {
            simulation.endAttempt();
        } else if (choice < 65) {
            simulation.tick(simulation.random.nextInt(500));
        } else if (choice < 80) {
            simulation.read();
        } else if (choice < 85) {
            simulation.acknowledge();
        } else if (choice < 88) {
            simulation.publish();
        } else if (choice < 93) {
            simulation.capacity();
        } else if (choice < 95) {
            simulation.repeatSnapshot();
        } else if (choice < 97) {
            simulation.losePeerBodies();
        } else if (choice < 98) {
            simulation.takeOver();
        } else {
            simulation.tick(4_000);
        }
    }
}
