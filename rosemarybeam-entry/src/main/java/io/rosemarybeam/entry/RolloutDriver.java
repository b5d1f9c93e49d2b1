package io.rosemarybeam.entry;

import java.time.Duration;

import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.wire.ControlReply.IssuerLease;
import io.rosemarybeam.common.wire.EntryRequest;
import io.rosemarybeam.decision.rollout.RolloutCommand;
import io.rosemarybeam.decision.rollout.RolloutCore;
import io.rosemarybeam.decision.rollout.RolloutInput;

/** Feeds the rollout core and executes its commands. Confined to the decision thread, except for {@link #feed}. */
final class RolloutDriver {
    private static final Duration ACQUIRE_TIMEOUT = Duration.ofSeconds(2);

    private final RolloutCore core;
    private final DecisionLoop loop;
    private final ControlGateway control;
    private final EntryIdentity identity;
    private final Availability availability;
    private EndpointClient endpoints;

    RolloutDriver(
            RolloutCore core,
            DecisionLoop loop,
            ControlGateway control,
            EntryIdentity identity,
            Availability availability) {
        this.core = core;
        this.loop = loop;
        this.control = control;
        this.identity = identity;
        this.availability = availability;
    }

    void connect(EndpointClient client) {
        endpoints = client;
    }

    RolloutCore core() {
        return core;
    }

    /** Passes an input to the core on the decision thread. May be called by any thread. */
    void feed(RolloutInput input) {
        loop.execute(() -> handle(input));
    }

    void handle(RolloutInput input) {
        for (RolloutCommand command : core.handle(loop.now(), input)) {
            switch (command) {
                case RolloutCommand.AcquireIssuer acquire -> acquire(acquire.service());
                case RolloutCommand.SendOrder order -> send(order);
                case RolloutCommand.SetAvailability set -> availability.set(set.endpoint(), set.inService());
            }
        }
    }

    private void acquire(ServiceName service) {
        long sentAt = loop.now();
        control.request(
                        new EntryRequest.AcquireIssuer(service, identity.name(), identity.incarnation()),
                        ACQUIRE_TIMEOUT)
                .whenComplete((reply, failure) -> {
                    if (reply instanceof IssuerLease lease) {
                        feed(new RolloutInput.IssuerGranted(
                                service, lease.fencingNumber(), sentAt + lease.leaseMilliseconds()));
                    } else {
                        feed(new RolloutInput.IssuerDenied(service));
                    }
                });
    }

    private void send(RolloutCommand.SendOrder order) {
        endpoints
                .order(order)
                .thenAccept(
                        accepted -> feed(new RolloutInput.OrderAnswered(order.orderId(), order.endpoint(), accepted)));
    }
}
