package io.rosemarybeam.decision.rollout;

import io.rosemarybeam.common.configuration.OperatorConfiguration;
import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.FencingNumber;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.id.WeightVersion;
import io.rosemarybeam.common.wire.MembershipDelta;

/** Event that the rollout core handles. Immutable and safe for use by several threads. */
public sealed interface RolloutInput {
    /** The timer fired. */
    record Tick() implements RolloutInput {}

    /**
     * A configuration was activated; ignored if it is older than the current one.
     *
     * @param configuration the configuration
     */
    record ConfigurationActivated(OperatorConfiguration configuration) implements RolloutInput {}

    /**
     * The endpoints or entry hosts changed, including the weight versions that the endpoints report.
     *
     * @param delta the change
     */
    record MembershipChanged(MembershipDelta delta) implements RolloutInput {}

    /**
     * A weight version was published.
     *
     * @param service the service
     * @param version the version
     */
    record WeightsPublished(ServiceName service, WeightVersion version) implements RolloutInput {}

    /**
     * This entry host holds the issuer lease of a service and may send orders to its endpoints.
     *
     * @param service the service
     * @param fencingNumber larger than that of every former issuer
     * @param validUntilMilliseconds time at which the lease expires, counted from the moment the request was sent
     */
    record IssuerGranted(ServiceName service, FencingNumber fencingNumber, long validUntilMilliseconds)
            implements RolloutInput {}

    /**
     * Another entry host holds the issuer lease, or the control process could not be reached.
     *
     * @param service the service
     */
    record IssuerDenied(ServiceName service) implements RolloutInput {}

    /**
     * An order was answered or failed. An answer to a load order does not confirm the load; only the version that the
     * endpoint reports does.
     *
     * @param orderId id of the order
     * @param endpoint the endpoint
     * @param succeeded whether the endpoint accepted the order
     */
    record OrderAnswered(long orderId, EndpointId endpoint, boolean succeeded) implements RolloutInput {}

    /** This entry host is draining: it sends no further orders and lets its leases expire. */
    record DrainStarted() implements RolloutInput {}
}
