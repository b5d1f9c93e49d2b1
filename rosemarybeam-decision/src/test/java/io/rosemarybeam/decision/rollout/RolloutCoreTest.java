package io.rosemarybeam.decision.rollout;

import java.util.List;
import java.util.Set;

import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.decision.rollout.RolloutCommand.OrderKind;
import io.rosemarybeam.decision.rollout.RolloutCommand.SendOrder;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against rollouts that are too slow, overload the weight store, take away the customers' capacity, send orders
 * without the right to, or put an endpoint with partial weights back in service.
 */
class RolloutCoreTest {
    private static final EndpointId FIRST = EndpointId.of("endpoint-0000");

    /**
     * At target size the last of 850 orders goes out after 850 / 50 = 17 s, swaps for 5 s and is reported within 1 s. The
     * slowest sufficient store rate is 850 / (25 - 5 - 1) = 45 fetches per second.
     */
    @Test
    void shouldReachAllReplicasWithinTwentyFiveSecondsWhenStoreServesFiftyFetchesPerSecond() {
        RolloutSimulation world = new RolloutSimulation(850, true, 5_000);
        world.configure(1, 60, 50, Set.of(), "");
        world.publish(2);
        long reached = world.runUntilReported(2, 60_000);
        assertTrue(reached <= 25_000, "all replicas report after " + reached + " ms");
        assertTrue(world.minimumInService >= 510, "only " + world.minimumInService + " of 850 in service");
        for (int index = 50; index < world.orderTimes.size(); index++) {
            long window = world.orderTimes.get(index) - world.orderTimes.get(index - 50);
            assertTrue(window >= 1_000, "51 fetches within " + window + " ms");
        }
        assertEquals(850, world.orders.size());
    }

    @Test
    void shouldRespectCapacityFloorWhenStoreIsFast() {
        RolloutSimulation world = new RolloutSimulation(6, true, 3_000);
        world.configure(1, 60, 100, Set.of(), "");
        world.publish(2);
        world.runUntilReported(2, 60_000);
        assertTrue(world.isReported(2));
        assertEquals(4, world.minimumInService);
    }

    @Test
    void shouldSendNoOrderWhenControlDeniesTheLease() {
        RolloutSimulation world = new RolloutSimulation(6, true, 1_000);
        world.grantsIssuer = false;
        world.configure(1, 60, 10, Set.of(), "");
        world.publish(2);
        world.run(20_000);
        assertTrue(world.orders.isEmpty());
    }

    @Test
    void shouldOrderOnlyWhileLeaseOutlastsDeliveryWhenEndpointsIgnoreFencing() {
        RolloutSimulation world = new RolloutSimulation(40, false, 1_000);
        world.configure(1, 60, 2, Set.of(), "");
        world.publish(2);
        world.run(3_000);
        world.grantsIssuer = false;
        long lapse = world.validUntil;
        world.run(20_000);
        assertFalse(world.orders.isEmpty());
        for (int index = 0; index < world.orders.size(); index++) {
            SendOrder order = world.orders.get(index);
            assertTrue(world.orderTimes.get(index) + 1_000 < Math.max(lapse, world.validUntil));
            assertTrue(order.notAfterMilliseconds() + 1_000 < Math.max(lapse, world.validUntil));
        }
    }

    @Test
    void shouldKeepEndpointOutAndRetryWhenSwapFailsPartway() {
        RolloutSimulation world = new RolloutSimulation(6, true, 1_000);
        world.failingPartway.add(FIRST);
        world.configure(1, 60, 2, Set.of(), "");
        world.publish(2);
        world.run(20_000);
        assertTrue(world.outOfService.contains(FIRST));
        world.run(40_000);
        assertTrue(world.isReported(2));
        assertTrue(world.outOfService.isEmpty());
        assertEquals(2, ordersTo(world, FIRST).size());
    }

    @Test
    void shouldPutEndpointBackAndRetryWithBackoffWhenItRefusesTheOrder() {
        RolloutSimulation world = new RolloutSimulation(6, true, 1_000);
        world.refusing.add(FIRST);
        world.configure(1, 60, 10, Set.of(), "");
        world.publish(2);
        world.run(30_000);
        int tries = ordersTo(world, FIRST).size();
        assertTrue(tries >= 3 && tries <= 6, tries + " orders in 30 s");
        world.refusing.clear();
        world.run(40_000);
        assertTrue(world.isReported(2));
        assertTrue(world.outOfService.isEmpty());
    }

    @Test
    void shouldOrderNewerVersionWhenItSupersedesARunningRollout() {
        RolloutSimulation world = new RolloutSimulation(20, true, 2_000);
        world.configure(1, 60, 2, Set.of(), "");
        world.publish(2);
        world.run(4_000);
        int before = world.orders.size();
        world.publish(3);
        world.runUntilReported(3, 60_000);
        assertTrue(world.isReported(3));
        assertTrue(world.orders.stream()
                .skip(before)
                .allMatch(order -> order.argument().equals("3")));
    }

    @Test
    void shouldSkipDrainingEndpointAndSetRolesOnceWhenConfigured() {
        RolloutSimulation world = new RolloutSimulation(6, true, 1_000);
        EndpointId draining = EndpointId.of("endpoint-0005");
        world.configure(1, 60, 10, Set.of(draining), "decode");
        world.publish(2);
        world.run(20_000);
        assertTrue(ordersTo(world, draining).isEmpty());
        List<SendOrder> roles = world.orders.stream()
                .filter(order -> order.kind() == OrderKind.SET_ROLE)
                .toList();
        assertEquals(1, roles.size());
        assertEquals("decode", roles.getFirst().argument());
        assertEquals(FIRST, roles.getFirst().endpoint());
    }

    private static List<SendOrder> ordersTo(RolloutSimulation world, EndpointId endpoint) {
        return world.orders.stream()
                .filter(order -> order.endpoint().equals(endpoint))
                .toList();
    }
}
