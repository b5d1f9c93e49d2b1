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
 * Guards against rollouts that are too slow, overload the weight store, violate the capacity floor, send orders without a
 * lease, or put an endpoint with partially loaded weights back in service.
 */
class RolloutCoreTest {
    private static final EndpointId FIRST = EndpointId.of("endpoint-0000");

    /**
     * With 850 endpoints the last order is sent after 850 / 50 = 17 s, its swap takes 5 s, and the new version is reported
     * within 1 s. The minimum sufficient rate of the store is 850 / (25 - 5 - 1) = 45 fetches per second.
     */
    @Test
    void shouldReachAllReplicasWithinTwentyFiveSecondsWhenStoreServesFiftyFetchesPerSecond() {
        RolloutSimulation simulation = new RolloutSimulation(850, true, 5_000);
        simulation.configure(1, 60, 50, Set.of(), "");
        simulation.publish(2);
        long reached = simulation.runUntilReported(2, 60_000);
        assertTrue(reached <= 25_000, "all replicas report after " + reached + " ms");
        assertTrue(simulation.minimumInService >= 510, "only " + simulation.minimumInService + " of 850 in service");
        for (int index = 50; index < simulation.orderTimes.size(); index++) {
            long window = simulation.orderTimes.get(index) - simulation.orderTimes.get(index - 50);
            assertTrue(window >= 1_000, "51 fetches within " + window + " ms");
        }
        assertEquals(850, simulation.orders.size());
    }

    @Test
    void shouldRespectCapacityFloorWhenStoreIsFast() {
        RolloutSimulation simulation = new RolloutSimulation(6, true, 3_000);
        simulation.configure(1, 60, 100, Set.of(), "");
        simulation.publish(2);
        simulation.runUntilReported(2, 60_000);
        assertTrue(simulation.isReported(2));
        assertEquals(4, simulation.minimumInService);
    }

    @Test
    void shouldSendNoOrderWhenControlDeniesTheLease() {
        RolloutSimulation simulation = new RolloutSimulation(6, true, 1_000);
        simulation.grantsIssuer = false;
        simulation.configure(1, 60, 10, Set.of(), "");
        simulation.publish(2);
        simulation.run(20_000);
        assertTrue(simulation.orders.isEmpty());
    }

    @Test
    void shouldOrderOnlyWhileLeaseOutlastsDeliveryWhenEndpointsIgnoreFencing() {
        RolloutSimulation simulation = new RolloutSimulation(40, false, 1_000);
        simulation.configure(1, 60, 2, Set.of(), "");
        simulation.publish(2);
        simulation.run(3_000);
        simulation.grantsIssuer = false;
        long expiry = simulation.validUntil;
        simulation.run(20_000);
        assertFalse(simulation.orders.isEmpty());
        for (int index = 0; index < simulation.orders.size(); index++) {
            SendOrder order = simulation.orders.get(index);
            assertTrue(simulation.orderTimes.get(index) + 1_000 < Math.max(expiry, simulation.validUntil));
            assertTrue(order.notAfterMilliseconds() + 1_000 < Math.max(expiry, simulation.validUntil));
        }
    }

    @Test
    void shouldLeaveEndpointOutOfServiceAndRetryWhenSwapFailsPartway() {
        RolloutSimulation simulation = new RolloutSimulation(6, true, 1_000);
        simulation.failingPartway.add(FIRST);
        simulation.configure(1, 60, 2, Set.of(), "");
        simulation.publish(2);
        simulation.run(20_000);
        assertTrue(simulation.outOfService.contains(FIRST));
        simulation.run(40_000);
        assertTrue(simulation.isReported(2));
        assertTrue(simulation.outOfService.isEmpty());
        assertEquals(2, ordersTo(simulation, FIRST).size());
    }

    @Test
    void shouldPutEndpointBackInServiceAndRetryWithBackoffWhenItRefusesTheOrder() {
        RolloutSimulation simulation = new RolloutSimulation(6, true, 1_000);
        simulation.refusing.add(FIRST);
        simulation.configure(1, 60, 10, Set.of(), "");
        simulation.publish(2);
        simulation.run(30_000);
        int tries = ordersTo(simulation, FIRST).size();
        assertTrue(tries >= 3 && tries <= 6, tries + " orders in 30 s");
        simulation.refusing.clear();
        simulation.run(40_000);
        assertTrue(simulation.isReported(2));
        assertTrue(simulation.outOfService.isEmpty());
    }

    @Test
    void shouldOrderNewerVersionWhenItSupersedesARunningRollout() {
        RolloutSimulation simulation = new RolloutSimulation(20, true, 2_000);
        simulation.configure(1, 60, 2, Set.of(), "");
        simulation.publish(2);
        simulation.run(4_000);
        int before = simulation.orders.size();
        simulation.publish(3);
        simulation.runUntilReported(3, 60_000);
        assertTrue(simulation.isReported(3));
        assertTrue(simulation.orders.stream()
                .skip(before)
                .allMatch(order -> order.argument().equals("3")));
    }

    @Test
    void shouldSkipDrainingEndpointAndSetRolesOnceWhenConfigured() {
        RolloutSimulation simulation = new RolloutSimulation(6, true, 1_000);
        EndpointId draining = EndpointId.of("endpoint-0005");
        simulation.configure(1, 60, 10, Set.of(draining), "decode");
        simulation.publish(2);
        simulation.run(20_000);
        assertTrue(ordersTo(simulation, draining).isEmpty());
        List<SendOrder> roles = simulation.orders.stream()
                .filter(order -> order.kind() == OrderKind.SET_ROLE)
                .toList();
        assertEquals(1, roles.size());
        assertEquals("decode", roles.getFirst().argument());
        assertEquals(FIRST, roles.getFirst().endpoint());
    }

    private static List<SendOrder> ordersTo(RolloutSimulation simulation, EndpointId endpoint) {
        return simulation.orders.stream()
                .filter(order -> order.endpoint().equals(endpoint))
                .toList();
    }
}
