package io.rosemarybeam.decision.rollout;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.rosemarybeam.common.configuration.ServiceConfiguration.Rollout;
import io.rosemarybeam.common.id.FailureDomain;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.decision.rollout.RolloutCommand.OrderKind;
import io.rosemarybeam.decision.rollout.RolloutInput.OrderAnswered;
import io.rosemarybeam.decision.rollout.RolloutTables.EndpointEntity;
import io.rosemarybeam.decision.rollout.RolloutTables.ServiceEntity;
import io.rosemarybeam.decision.rollout.RolloutTables.SwapEntity;

/**
 * Brings the endpoints of a service to the published weight version, a few at a time.
 *
 * <p>Invariant: orders do not exceed the fetch rate of the weight store, and no order takes an endpoint out of service that
 * the capacity floor needs. An endpoint is back in service only when it reports a completely loaded version. Confined to the
 * thread of the core.
 */
final class SwapSystem {
    /** Delay before a swap is ordered again after its first failure; doubles with each further failure. */
    private static final long FIRST_BACKOFF_MILLISECONDS = 1_000;

    private static final long MAXIMUM_BACKOFF_MILLISECONDS = 30_000;

    /**
     * Delay after a failed swap before the endpoint can return to service. The version that it reports may be as old as
     * two intervals of endpoint reports.
     */
    private static final long REPORT_DELAY_MILLISECONDS = 2_000;

    private static final int PERCENT = 100;

    private final RolloutTables tables;

    SwapSystem(RolloutTables tables) {
        this.tables = tables;
    }

    boolean isNeeded(ServiceName name, List<EndpointEntity> endpoints) {
        long published = tables.service(name).publishedVersion;
        return published >= 0 && endpoints.stream().anyMatch(endpoint -> endpoint.version() < published);
    }

    void answered(long now, EndpointEntity endpoint, OrderAnswered answered) {
        if (endpoint.swap != null && endpoint.swap.orderId == answered.orderId() && !answered.succeeded()) {
            fail(now, endpoint);
        }
    }

    /** Completes the swaps whose version is reported, fails those that take too long, and puts endpoints back in service. */
    void observe(long now, List<RolloutCommand> commands) {
        for (EndpointEntity endpoint : tables.endpoints.values()) {
            SwapEntity swap = endpoint.swap;
            if (swap != null && endpoint.hasCompleteWeights() && endpoint.version() >= swap.version) {
                endpoint.swap = null;
                endpoint.swapFailures = 0;
                endpoint.notBeforeMilliseconds = now;
                endpoint.inServiceNotBeforeMilliseconds = now;
            } else if (swap != null && now >= swap.deadlineMilliseconds) {
                fail(now, endpoint);
            }
            boolean usable = endpoint.swap == null && endpoint.hasCompleteWeights();
            if (endpoint.outOfService && usable && now >= endpoint.inServiceNotBeforeMilliseconds) {
                endpoint.outOfService = false;
                commands.add(new RolloutCommand.SetAvailability(endpoint.record.id(), true));
            }
        }
    }

    void run(long now, ServiceName name, List<EndpointEntity> endpoints, Rollout rules, List<RolloutCommand> commands) {
        ServiceEntity service = tables.service(name);
        int floor = (endpoints.size() * rules.capacityFloorPercent() + PERCENT - 1) / PERCENT;
        int inService = (int) endpoints.stream().filter(SwapSystem::isInService).count();
        Map<FailureDomain, Integer> outOfServiceByDomain = new HashMap<>();
        endpoints.stream()
                .filter(endpoint -> !isInService(endpoint))
                .forEach(endpoint -> outOfServiceByDomain.merge(endpoint.record.failureDomain(), 1, Integer::sum));
        while (service.fetchRateLimiter.isPermitted(now, rules.storeFetchesPerSecond())) {
            int permittedRemovals = inService - floor;
            EndpointEntity next = endpoints.stream()
                    .filter(endpoint -> isDue(now, service, endpoint))
                    .filter(endpoint -> permittedRemovals > 0 || !isInService(endpoint))
                    .min(Comparator.comparing(SwapSystem::isInService)
                            .thenComparing(
                                    endpoint -> outOfServiceByDomain.getOrDefault(endpoint.record.failureDomain(), 0))
                            .thenComparing(EndpointEntity::version)
                            .thenComparing(endpoint -> endpoint.record.id()))
                    .orElse(null);
            if (next == null) {
                return;
            }
            if (isInService(next)) {
                inService--;
                outOfServiceByDomain.merge(next.record.failureDomain(), 1, Integer::sum);
            }
            order(now, service, next, commands);
            service.fetchRateLimiter.recordFetch(now, rules.storeFetchesPerSecond());
        }
    }

    private static boolean isInService(EndpointEntity endpoint) {
        return endpoint.hasCompleteWeights() && !endpoint.outOfService;
    }

    private boolean isDue(long now, ServiceEntity service, EndpointEntity endpoint) {
        boolean isOutdated = endpoint.version() < service.publishedVersion;
        boolean isOrdered = endpoint.swap != null && endpoint.swap.version >= service.publishedVersion;
        return isOutdated && !isOrdered && now >= endpoint.notBeforeMilliseconds && now <= notAfter(service, endpoint);
    }

    /**
     * Returns the latest time at which an order may be sent. An endpoint that ignores fencing numbers gets an order only
     * while the lease outlasts the delivery of the order.
     */
    private long notAfter(ServiceEntity service, EndpointEntity endpoint) {
        long lastValid = service.validUntilMilliseconds - 1;
        return endpoint.record.checksFencing() ? lastValid : lastValid - tables.settings.orderTimeoutMilliseconds();
    }

    private void order(long now, ServiceEntity service, EndpointEntity endpoint, List<RolloutCommand> commands) {
        long version = service.publishedVersion;
        endpoint.swap = new SwapEntity(tables.nextOrderId(), version, now + tables.settings.swapTimeoutMilliseconds());
        if (!endpoint.outOfService) {
            endpoint.outOfService = true;
            commands.add(new RolloutCommand.SetAvailability(endpoint.record.id(), false));
        }
        commands.add(new RolloutCommand.SendOrder(
                endpoint.swap.orderId,
                endpoint.record.id(),
                endpoint.record.address(),
                OrderKind.LOAD_WEIGHTS,
                Long.toString(version),
                service.fencingNumber,
                notAfter(service, endpoint)));
    }

    private void fail(long now, EndpointEntity endpoint) {
        long backoff = FIRST_BACKOFF_MILLISECONDS << Math.min(endpoint.swapFailures, 10);
        endpoint.swap = null;
        endpoint.swapFailures++;
        endpoint.notBeforeMilliseconds = now + Math.min(backoff, MAXIMUM_BACKOFF_MILLISECONDS);
        endpoint.inServiceNotBeforeMilliseconds = now + REPORT_DELAY_MILLISECONDS;
    }
}
