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
 * Brings the endpoints of a service to the published version in successive batches.
 *
 * <p>Invariant: orders do not exceed the rate of the weight store, and no order takes an endpoint out of service that the
 * capacity floor needs. An endpoint is back in service only when it reports a whole version. Confined to the thread of the
 * core.
 */
final class SwapSystem {
    private static final long FIRST_BACKOFF_MILLISECONDS = 1_000;
    private static final long MAXIMUM_BACKOFF_MILLISECONDS = 30_000;

    /** Two intervals of endpoint reports: after a failed swap the reported version is at most this old. */
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

    /** Ends the swaps whose effect is reported and those that take too long. */
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
        Map<FailureDomain, Integer> missing = new HashMap<>();
        endpoints.stream()
                .filter(endpoint -> !isInService(endpoint))
                .forEach(endpoint -> missing.merge(endpoint.record.failureDomain(), 1, Integer::sum));
        while (service.fetchRateLimiter.isPermitted(now, rules.storeFetchesPerSecond())) {
            int removable = inService - floor;
            EndpointEntity next = endpoints.stream()
                    .filter(endpoint -> isDue(now, service, endpoint))
                    .filter(endpoint -> removable > 0 || !isInService(endpoint))
                    .min(Comparator.comparing(SwapSystem::isInService)
                            .thenComparing(endpoint -> missing.getOrDefault(endpoint.record.failureDomain(), 0))
                            .thenComparing(EndpointEntity::version)
                            .thenComparing(endpoint -> endpoint.record.id()))
                    .orElse(null);
            if (next == null) {
                return;
            }
            if (isInService(next)) {
                inService--;
                missing.merge(next.record.failureDomain(), 1, Integer::sum);
            }
            order(now, service, next, commands);
            service.fetchRateLimiter.recordFetch(now, rules.storeFetchesPerSecond());
        }
    }

    private static boolean isInService(EndpointEntity endpoint) {
        return endpoint.hasCompleteWeights() && !endpoint.outOfService;
    }

    private boolean isDue(long now, ServiceEntity service, EndpointEntity endpoint) {
        boolean lags = endpoint.version() < service.publishedVersion;
        boolean ordered = endpoint.swap != null && endpoint.swap.version >= service.publishedVersion;
        return lags && !ordered && now >= endpoint.notBeforeMilliseconds && now <= notAfter(service, endpoint);
    }

    /** An endpoint that ignores fencing numbers gets an order only while the right outlasts its delivery. */
    private long notAfter(ServiceEntity service, EndpointEntity endpoint) {
        long lapse = service.validUntilMilliseconds - 1;
        return endpoint.record.checksFencing() ? lapse : lapse - tables.settings.orderTimeoutMilliseconds();
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
