package io.rosemarybeam.replay;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import io.rosemarybeam.common.configuration.OperatorConfiguration;
import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.FencingNumber;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.id.WeightVersion;
import io.rosemarybeam.common.wire.MembershipDelta;
import io.rosemarybeam.decision.request.RequestInput;
import io.rosemarybeam.decision.request.RequestInput.AttemptFailure;
import io.rosemarybeam.decision.rollout.RolloutCommand;
import io.rosemarybeam.decision.rollout.RolloutCommand.OrderKind;
import io.rosemarybeam.decision.rollout.RolloutCore;
import io.rosemarybeam.decision.rollout.RolloutInput;

/**
 * Drives the rollout core and measures how long each version takes to reach all endpoints.
 *
 * <p>Confined to one thread.
 */
final class RolloutModel {
    private static final long NETWORK_MILLISECONDS = 2;
    private static final long ISSUER_LEASE_MILLISECONDS = 3_000;

    /** Endpoints load weights only from the first issuer here, since one entry runs. */
    private static final FencingNumber FENCING_NUMBER = FencingNumber.of(1);

    private final VirtualTime time;
    private final Measures measures;
    private final ControlModel control;
    private final EntryModel entry;
    private final RolloutCore core;
    private final Set<EndpointId> outOfService = new HashSet<>();
    private final Map<ServiceName, TreeMap<Long, Long>> unfinished = new HashMap<>();
    private Runnable onCapacity = () -> {};

    RolloutModel(VirtualTime time, Measures measures, ControlModel control, EntryModel entry, RolloutCore core) {
        this.time = time;
        this.measures = measures;
        this.control = control;
        this.entry = entry;
        this.core = core;
    }

    void start(Runnable capacityListener) {
        onCapacity = capacityListener;
        entry.onMembership(this::membership);
        time.every(10, () -> input(new RolloutInput.Tick()));
    }

    void activate(OperatorConfiguration configuration) {
        input(new RolloutInput.ConfigurationActivated(configuration));
    }

    void published(ServiceName service, long version, long publishedAt) {
        unfinished.computeIfAbsent(service, unused -> new TreeMap<>()).put(version, publishedAt);
        input(new RolloutInput.WeightsPublished(service, WeightVersion.of(version)));
        observe(service);
    }

    boolean isOutOfService(EndpointId id) {
        return outOfService.contains(id);
    }

    void finish(long end) {
        unfinished.values().forEach(versions -> {
            if (!versions.isEmpty()) {
                finished(end - versions.lastEntry().getValue());
            }
        });
    }

    private void membership(MembershipDelta delta) {
        input(new RolloutInput.MembershipChanged(delta));
        entry.whenRunning(onCapacity);
    }

    private void input(RolloutInput input) {
        entry.whenRunning(() -> core.handle(time.now(), input).forEach(this::execute));
    }

    private void execute(RolloutCommand command) {
        switch (command) {
            case RolloutCommand.AcquireIssuer acquire -> {
                long sentAt = time.now();
                control.call(
                        () -> true,
                        granted -> input(new RolloutInput.IssuerGranted(
                                acquire.service(), FENCING_NUMBER, sentAt + ISSUER_LEASE_MILLISECONDS)),
                        () -> input(new RolloutInput.IssuerDenied(acquire.service())));
            }
            case RolloutCommand.SetAvailability availability -> {
                if (availability.inService()) {
                    outOfService.remove(availability.endpoint());
                } else {
                    outOfService.add(availability.endpoint());
                }
                entry.input(new RequestInput.EndpointAvailability(availability.endpoint(), availability.inService()));
                onCapacity.run();
            }
            case RolloutCommand.SendOrder order -> time.after(NETWORK_MILLISECONDS, () -> take(order));
        }
    }

    private void take(RolloutCommand.SendOrder order) {
        EndpointModel endpoint = entry.endpoints.get(order.endpoint());
        if (endpoint.down || time.now() > order.notAfterMilliseconds()) {
            answer(order, false);
            return;
        }
        if (order.kind() != OrderKind.LOAD_WEIGHTS) {
            answer(order, true);
            return;
        }
        long incarnation = endpoint.record.incarnation();
        endpoint.record = endpoint.record.withWeightVersion(Optional.empty());
        endpoint.swappingUntil = time.now() + endpoint.swapMilliseconds;
        entry.membershipChanged(endpoint);
        time.after(endpoint.swapMilliseconds, () -> {
            if (!endpoint.down && endpoint.record.incarnation() == incarnation) {
                swapped(order, endpoint);
            }
        });
    }

    private void swapped(RolloutCommand.SendOrder order, EndpointModel endpoint) {
        if (endpoint.failNextSwap) {
            endpoint.failNextSwap = false;
            endpoint.partial = true;
            // The engine lives on, so its streams end with an error instead of a broken connection.
            endpoint.dropAll().forEach(attempt -> entry.fail(attempt, AttemptFailure.ERROR_ANSWER));
            answer(order, false);
            return;
        }
        endpoint.partial = false;
        endpoint.record =
                endpoint.record.withWeightVersion(Optional.of(WeightVersion.of(Long.parseLong(order.argument()))));
        entry.membershipChanged(endpoint);
        answer(order, true);
        observe(endpoint.record.service());
    }

    private void answer(RolloutCommand.SendOrder order, boolean succeeded) {
        measures.count(succeeded ? "orders answered" : "orders failed");
        input(new RolloutInput.OrderAnswered(order.orderId(), order.endpoint(), succeeded));
    }

    private void observe(ServiceName service) {
        long oldest = entry.endpoints.values().stream()
                .filter(endpoint -> endpoint.record.service().equals(service))
                .filter(endpoint -> !endpoint.down && !endpoint.record.leaving())
                .mapToLong(endpoint -> endpoint.record
                        .weightVersion()
                        .map(version -> version.value())
                        .orElse(-1L))
                .min()
                .orElse(-1);
        TreeMap<Long, Long> versions = unfinished.getOrDefault(service, new TreeMap<>());
        if (versions.headMap(oldest, true).isEmpty()) {
            return;
        }
        // A version that all endpoints have passed ended when the newer one superseded it.
        finished(time.now() - versions.headMap(oldest, true).lastEntry().getValue());
        versions.headMap(oldest, true).clear();
    }

    private void finished(long milliseconds) {
        measures.rolloutSecondsMaximum = Math.max(measures.rolloutSecondsMaximum, milliseconds / 1_000.0);
    }
}
