package io.rosemarybeam.decision.rollout;

import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.FencingNumber;
import io.rosemarybeam.common.id.ServiceName;

/** Action that the rollout core requests from its driver. Immutable and safe for use by several threads. */
public sealed interface RolloutCommand {
    /**
     * Acquires or renews the issuer lease of a service, the right to send orders to its endpoints.
     *
     * @param service the service
     */
    record AcquireIssuer(ServiceName service) implements RolloutCommand {}

    /**
     * Notifies the request core that an endpoint goes out of service for a swap of its weights, or is back in service.
     *
     * @param endpoint the endpoint
     * @param inService whether it may receive requests
     */
    record SetAvailability(EndpointId endpoint, boolean inService) implements RolloutCommand {}

    /** Kind of an order to an endpoint. */
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
     * Sends an order to an endpoint.
     *
     * @param orderId id of this order, returned in its answer
     * @param endpoint the endpoint
     * @param address its base URL
     * @param kind kind of the order
     * @param argument the weight version, adapter, model or role, according to the kind
     * @param fencingNumber fencing number of this issuer
     * @param notAfterMilliseconds latest time at which the order may be sent
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
