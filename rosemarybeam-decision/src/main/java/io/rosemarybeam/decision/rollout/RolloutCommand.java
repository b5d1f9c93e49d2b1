package io.rosemarybeam.decision.rollout;

import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.FencingNumber;
import io.rosemarybeam.common.id.ServiceName;

/** What the rollout core wants done. Immutable and safe for use by several threads. */
public sealed interface RolloutCommand {
    /**
     * Acquires or renews the right to send orders for a service.
     *
     * @param service the service
     */
    record AcquireIssuer(ServiceName service) implements RolloutCommand {}

    /**
     * Tells the request core whether an endpoint may get work while its weights are swapped.
     *
     * @param endpoint the endpoint
     * @param inService whether it may get work
     */
    record SetAvailability(EndpointId endpoint, boolean inService) implements RolloutCommand {}

    /** What an endpoint is ordered to do. */
    enum OrderKind {
        /** Load a weight version. */
        LOAD_WEIGHTS,
        /** Load an adapter. */
        LOAD_ADAPTER,
        /** Load a model. */
        LOAD_MODEL,
        /** Take a role. */
        SET_ROLE
    }

    /**
     * Sends an order.
     *
     * @param orderId names this order in its answer
     * @param endpoint the endpoint
     * @param address its base URL
     * @param kind what to do
     * @param argument the weight version, adapter, model or role
     * @param fencingNumber number of this issuer
     * @param notAfterMilliseconds after this time the order must not be sent any more
     */
    record SendOrder(
            long orderId,
            EndpointId endpoint,
            String address,
            OrderKind kind,
            String argument,
            FencingNumber fencingNumber,
            long notAfterMilliseconds)
            implements RolloutCommand {}
}
