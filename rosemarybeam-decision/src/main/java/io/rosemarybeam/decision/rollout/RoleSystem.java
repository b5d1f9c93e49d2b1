package io.rosemarybeam.decision.rollout;

import java.util.List;

import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.decision.rollout.RolloutCommand.OrderKind;
import io.rosemarybeam.decision.rollout.RolloutInput.OrderAnswered;
import io.rosemarybeam.decision.rollout.RolloutTables.EndpointEntity;
import io.rosemarybeam.decision.rollout.RolloutTables.RoleEntity;
import io.rosemarybeam.decision.rollout.RolloutTables.ServiceEntity;

/**
 * Orders endpoints to take the roles set in the operator configuration.
 *
 * <p>Invariant: an endpoint that confirmed a role gets no further order for it until it restarts or the configuration sets
 * another role. Confined to the thread of the core.
 */
final class RoleSystem {
    /** Delay before an order is repeated after its first failure; doubles with each further failure. */
    private static final long FIRST_BACKOFF_MILLISECONDS = 1_000;

    private static final long MAXIMUM_BACKOFF_MILLISECONDS = 30_000;

    private final RolloutTables tables;

    RoleSystem(RolloutTables tables) {
        this.tables = tables;
    }

    boolean isNeeded(List<EndpointEntity> endpoints) {
        return endpoints.stream().anyMatch(endpoint -> isOutdated(endpoint));
    }

    void answered(long now, EndpointEntity endpoint, OrderAnswered answered) {
        RoleEntity role = endpoint.role;
        if (role.orderId != answered.orderId() || role.orderId == 0) {
            return;
        }
        role.orderId = 0;
        if (answered.succeeded()) {
            role.confirmed = role.ordered;
            role.failures = 0;
        } else {
            fail(now, role);
        }
    }

    void run(long now, ServiceName name, List<EndpointEntity> endpoints, List<RolloutCommand> commands) {
        ServiceEntity service = tables.service(name);
        for (EndpointEntity endpoint : endpoints) {
            RoleEntity role = endpoint.role;
            if (role.orderId != 0 && now >= role.deadlineMilliseconds) {
                role.orderId = 0;
                fail(now, role);
            }
            long lastValid = service.validUntilMilliseconds - 1;
            long notAfter = endpoint.record.checksFencing()
                    ? lastValid
                    : lastValid - tables.settings.orderTimeoutMilliseconds();
            boolean isPending = role.orderId != 0 && role.ordered.equals(configuredRole(endpoint));
            if (isOutdated(endpoint) && !isPending && now >= role.notBeforeMilliseconds && now <= notAfter) {
                role.orderId = tables.nextOrderId();
                role.ordered = configuredRole(endpoint);
                role.deadlineMilliseconds = now + 2 * tables.settings.orderTimeoutMilliseconds();
                commands.add(new RolloutCommand.SendOrder(
                        role.orderId,
                        endpoint.record.id(),
                        endpoint.record.address(),
                        OrderKind.SET_ROLE,
                        role.ordered,
                        service.fencingNumber,
                        notAfter));
            }
        }
    }

    private boolean isOutdated(EndpointEntity endpoint) {
        String configured = configuredRole(endpoint);
        return !configured.isEmpty() && !configured.equals(endpoint.role.confirmed);
    }

    private String configuredRole(EndpointEntity endpoint) {
        return tables.configuration
                .map(current -> current.endpointRoles().getOrDefault(endpoint.record.id(), ""))
                .orElse("");
    }

    private static void fail(long now, RoleEntity role) {
        long backoff = FIRST_BACKOFF_MILLISECONDS << Math.min(role.failures, 10);
        role.failures++;
        role.notBeforeMilliseconds = now + Math.min(backoff, MAXIMUM_BACKOFF_MILLISECONDS);
    }
}
