package io.rosemarybeam.decision.step;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import static org.junit.jupiter.api.Assertions.assertEquals;

/**
 * Guards against orders of losses, repetitions, takeovers and publications that deliver a sample twice, too old, wrongly
 * labelled or never. The checks are made by {@link StepSimulation}.
 */
class StepCoreInterleavingTest {
    private static final int RANDOM_INPUTS = 400;
    private static final int MAXIMUM_ROUNDS = 4_000;

    @Property(tries = 1000, seed = "20261")
    void shouldDeliverSameContentWhenOwnersChangeAndAnswersAreLost(@ForAll long seed) {
        run(new StepSimulation(seed, true));
    }

    @Property(tries = 1000, seed = "20262")
    void shouldDeliverEachSampleOnceWhenBodiesAreLostToo(@ForAll long seed) {
        run(new StepSimulation(seed, false));
    }

    private static void run(StepSimulation world) {
        for (int input = 0; input < RANDOM_INPUTS; input++) {
            randomInput(world);
        }
        world.faultFree = true;
        int rounds = 0;
        while (world.received.size() < StepSimulation.SAMPLES && rounds < MAXIMUM_ROUNDS) {
            rounds++;
            world.endAttempt();
            world.deliver();
            world.deliver();
            world.deliver();
            world.tick(100);
            if (rounds % 10 == 0) {
                world.capacity();
                world.acknowledge();
                world.read();
            }
        }
        assertEquals(StepSimulation.SAMPLES, world.received.size(), "samples delivered after " + rounds + " rounds");
    }

    private static void randomInput(StepSimulation world) {
        int choice = world.random.nextInt(100);
        if (choice < 30) {
            world.deliver();
        } else if (choice < 50) {
            world.endAttempt();
        } else if (choice < 65) {
            world.tick(world.random.nextInt(500));
        } else if (choice < 80) {
            world.read();
        } else if (choice < 85) {
            world.acknowledge();
        } else if (choice < 88) {
            world.publish();
        } else if (choice < 93) {
            world.capacity();
        } else if (choice < 95) {
            world.repeatSnapshot();
        } else if (choice < 97) {
            world.losePeerBodies();
        } else if (choice < 98) {
            world.takeOver();
        } else {
            world.tick(4_000);
        }
    }
}
