package io.rosemarybeam.decision.rollout;

import io.rosemarybeam.common.configuration.OperatorConfiguration;
import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.FencingNumber;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.id.WeightVersion;
import io.rosemarybeam.common.wire.MembershipDelta;

/** What the rollout core learns from outside. Immutable and safe for use by several threads. */
public sealed interface RolloutInput {
    /** The timer fired. */
    record Tick() implements RolloutInput {}

    /**
     * A configuration takes effect.
     *
     * @param configuration the configuration
     */
    record ConfigurationActivated(OperatorConfiguration configuration) implements RolloutInput {}

    /**
     * The known endpoints changed, including the weight versions that they report.
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
     * This entry may send orders to the endpoints of a service.
     *
     * @param service the service
     * @param fencingNumber larger than that of every former issuer
     * @param validUntilMilliseconds when the right lapses, counted from the moment the request was sent
     */
    record IssuerGranted(ServiceName service, FencingNumber fencingNumber, long validUntilMilliseconds)
            implements RolloutInput {}

    /**
     * Another entry may send orders, or the control process could not be reached.
     *
     * @param service the service
     */
    record IssuerDenied(ServiceName service) implements RolloutInput {}

    /**
     * An order was answered or failed. The answer only ends the wait; the reported version is what counts.
     *
     * @param orderId the order
     * @param endpoint the endpoint
     * @param succeeded whether the endpoint said that it took the order
     */
    record OrderAnswered(long orderId, EndpointId endpoint, boolean succeeded) implements RolloutInput {}

    /** This entry is draining: it sends no further orders and lets its rights lapse. */
    record DrainStarted() implements RolloutInput {}
}
