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
 * Runs the rollout core in the simulation and measures how long each version takes to reach all endpoints. Confined to one
 * thread.
 */
final class RolloutModel {
    private static final long NETWORK_DELAY_MILLISECONDS = 2;
    private static final long ISSUER_LEASE_MILLISECONDS = 3_000;

    /** The simulation has a single entry, so there is only one issuer of orders and its fencing number never changes. */
    private static final FencingNumber FENCING_NUMBER = FencingNumber.of(1);

    private final VirtualTime time;
    private final Measures measures;
    private final ControlModel control;
    private final EntryModel entry;
    private final RolloutCore core;
    private final Set<EndpointId> outOfService = new HashSet<>();
    private final Map<ServiceName, TreeMap<Long, Long>> unfinishedVersions = new HashMap<>();
    private Runnable onCapacityChange = () -> {};

    RolloutModel(VirtualTime time, Measures measures, ControlModel control, EntryModel entry, RolloutCore core) {
        this.time = time;
        this.measures = measures;
        this.control = control;
        this.entry = entry;
        this.core = core;
    }

    void start(Runnable capacityListener) {
        onCapacityChange = capacityListener;
        entry.addMembershipListener(this::membershipChanged);
        time.every(10, () -> handle(new RolloutInput.Tick()));
    }

    void activate(OperatorConfiguration configuration) {
        handle(new RolloutInput.ConfigurationActivated(configuration));
    }

    void published(ServiceName service, long version, long publishedAt) {
        unfinishedVersions.computeIfAbsent(service, unused -> new TreeMap<>()).put(version, publishedAt);
        handle(new RolloutInput.WeightsPublished(service, WeightVersion.of(version)));
        recordCompletedRollouts(service);
    }

    boolean isOutOfService(EndpointId id) {
        return outOfService.contains(id);
    }

    /** Records the newest unfinished rollout of each service with its duration up to the end of the replay. */
    void finish(long end) {
        unfinishedVersions.values().forEach(versions -> {
            if (!versions.isEmpty()) {
                recordDuration(end - versions.lastEntry().getValue());
            }
        });
    }

    private void membershipChanged(MembershipDelta delta) {
        handle(new RolloutInput.MembershipChanged(delta));
        entry.runWhenNotPaused(onCapacityChange);
    }

    private void handle(RolloutInput input) {
        entry.runWhenNotPaused(() -> core.handle(time.now(), input).forEach(this::execute));
    }

    private void execute(RolloutCommand command) {
        switch (command) {
            case RolloutCommand.AcquireIssuer acquire -> {
                long sentAt = time.now();
                control.call(
                        () -> true,
                        granted -> handle(new RolloutInput.IssuerGranted(
                                acquire.service(), FENCING_NUMBER, sentAt + ISSUER_LEASE_MILLISECONDS)),
                        () -> handle(new RolloutInput.IssuerDenied(acquire.service())));
            }
            case RolloutCommand.SetAvailability availability -> {
                if (availability.inService()) {
                    outOfService.remove(availability.endpoint());
                } else {
                    outOfService.add(availability.endpoint());
                }
                entry.enqueue(new RequestInput.EndpointAvailability(availability.endpoint(), availability.inService()));
                onCapacityChange.run();
            }
            case RolloutCommand.SendOrder order -> time.after(NETWORK_DELAY_MILLISECONDS, () -> executeOrder(order));
        }
    }

    private void executeOrder(RolloutCommand.SendOrder order) {
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
                finishSwap(order, endpoint);
            }
        });
    }

    private void finishSwap(RolloutCommand.SendOrder order, EndpointModel endpoint) {
        if (endpoint.failNextSwap) {
            endpoint.failNextSwap = false;
            endpoint.partiallySwapped = true;
            // The engine keeps running, so its streams end with an error and not with a broken connection.
            endpoint.dropAll().forEach(attempt -> entry.fail(attempt, AttemptFailure.ERROR_ANSWER));
            answer(order, false);
            return;
        }
        endpoint.partiallySwapped = false;
        endpoint.record =
                endpoint.record.withWeightVersion(Optional.of(WeightVersion.of(Long.parseLong(order.argument()))));
        entry.membershipChanged(endpoint);
        answer(order, true);
        recordCompletedRollouts(endpoint.record.service());
    }

    private void answer(RolloutCommand.SendOrder order, boolean succeeded) {
        measures.count(succeeded ? "orders answered" : "orders failed");
        handle(new RolloutInput.OrderAnswered(order.orderId(), order.endpoint(), succeeded));
    }

    /** Records the duration of the newest version that all endpoints of the service have reached. */
    private void recordCompletedRollouts(ServiceName service) {
        long oldest = entry.endpoints.values().stream()
                .filter(endpoint -> endpoint.record.service().equals(service))
                .filter(endpoint -> !endpoint.down && !endpoint.record.leaving())
                .mapToLong(endpoint -> endpoint.record
                        .weightVersion()
                        .map(version -> version.value())
                        .orElse(-1L))
                .min()
                .orElse(-1);
        TreeMap<Long, Long> versions = unfinishedVersions.getOrDefault(service, new TreeMap<>());
        if (versions.headMap(oldest, true).isEmpty()) {
            return;
        }
        // Older versions that all endpoints have passed were superseded, so only the newest reached one is recorded.
        recordDuration(time.now() - versions.headMap(oldest, true).lastEntry().getValue());
        versions.headMap(oldest, true).clear();
    }

    private void recordDuration(long milliseconds) {
        measures.rolloutSecondsMaximum = Math.max(measures.rolloutSecondsMaximum, milliseconds / 1_000.0);
    }
}
