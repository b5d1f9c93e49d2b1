package io.rosemarybeam.decision.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import io.rosemarybeam.common.configuration.OperatorConfiguration;
import io.rosemarybeam.common.configuration.ServiceConfiguration;
import io.rosemarybeam.common.configuration.ServiceConfiguration.Rollout;
import io.rosemarybeam.common.configuration.ServiceConfiguration.ServiceClass;
import io.rosemarybeam.common.id.ConfigurationNumber;
import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.FailureDomain;
import io.rosemarybeam.common.id.FencingNumber;
import io.rosemarybeam.common.id.HostName;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.id.WeightVersion;
import io.rosemarybeam.common.wire.EndpointRecord;
import io.rosemarybeam.common.wire.MembershipDelta;
import io.rosemarybeam.decision.rollout.RolloutCommand.OrderKind;

/**
 * Simulated environment of a rollout core in virtual time: endpoints that swap weights and report once a second, and a
 * control process that grants issuer leases.
 *
 * <p>Confined to one thread.
 */
final class RolloutSimulation {
    static final ServiceName SERVICE = ServiceName.of("brailler-lm");
    static final long LEASE_MILLISECONDS = 5_000;
    private static final long TICK_MILLISECONDS = 10;
    /** Interval between two reports of an endpoint. */
    private static final long REPORT_MILLISECONDS = 1_000;

    final RolloutCore core =
            RolloutCore.of(RolloutCoreSettings.builder(HostName.of("entry-1")).build());
    final TreeMap<EndpointId, EndpointRecord> reported = new TreeMap<>();
    final List<RolloutCommand.SendOrder> orders = new ArrayList<>();
    final List<Long> orderTimes = new ArrayList<>();
    final Set<EndpointId> outOfService = new HashSet<>();
    final Set<EndpointId> failingPartway = new HashSet<>();
    final Set<EndpointId> refusing = new HashSet<>();
    boolean grantsIssuer = true;
    long validUntil = -1;
    long now;
    int minimumInService = Integer.MAX_VALUE;
    private final long swapMilliseconds;
    private final TreeMap<Long, List<Runnable>> scheduled = new TreeMap<>();
    private final Map<EndpointId, EndpointRecord> actual = new HashMap<>();
    private long membershipVersion = 1;

    RolloutSimulation(int endpoints, boolean fencing, long swapMilliseconds) {
        this.swapMilliseconds = swapMilliseconds;
        for (int number = 0; number < endpoints; number++) {
            EndpointId id = EndpointId.of(String.format("endpoint-%04d", number));
            EndpointRecord record = new EndpointRecord(
                    id,
                    1,
                    SERVICE,
                    "http://127.0.0.1:9001",
                    FailureDomain.of("domain-" + number % 6),
                    8,
                    fencing,
                    true,
                    true,
                    false,
                    Optional.of(WeightVersion.of(1)),
                    false);
            actual.put(id, record);
            reported.put(id, record);
        }
        feed(new RolloutInput.MembershipChanged(
                new MembershipDelta(0, 1, List.copyOf(reported.values()), List.of(), List.of(), List.of())));
    }

    void configure(long number, int floorPercent, int fetchesPerSecond, Set<EndpointId> draining, String role) {
        ServiceConfiguration service = ServiceConfiguration.builder(SERVICE, ServiceClass.MODEL)
                .rollout(Optional.of(new Rollout(floorPercent, fetchesPerSecond)))
                .build();
        Map<EndpointId, String> roles = role.isEmpty() ? Map.of() : Map.of(reported.firstKey(), role);
        feed(new RolloutInput.ConfigurationActivated(new OperatorConfiguration(
                ConfigurationNumber.of(number), List.of(), Set.of(), draining, roles, Map.of(SERVICE, service))));
    }

    void publish(long version) {
        feed(new RolloutInput.WeightsPublished(SERVICE, WeightVersion.of(version)));
    }

    /** Advances the time until every reported version is at least the given one, or until the end; returns the time. */
    long runUntilReported(long version, long endMilliseconds) {
        while (now < endMilliseconds && !isReported(version)) {
            advance();
        }
        return now;
    }

    boolean isReported(long version) {
        return reported.values().stream()
                .allMatch(record -> record.weightVersion()
                        .map(loaded -> loaded.value() >= version)
                        .orElse(false));
    }

    void run(long milliseconds) {
        long end = now + milliseconds;
        while (now < end) {
            advance();
        }
    }

    private void advance() {
        now += TICK_MILLISECONDS;
        while (!scheduled.isEmpty() && scheduled.firstKey() <= now) {
            scheduled.pollFirstEntry().getValue().forEach(Runnable::run);
        }
        if (now % REPORT_MILLISECONDS == 0) {
            report();
        }
        feed(new RolloutInput.Tick());
        int inService = (int) reported.values().stream()
                .filter(record -> record.weightVersion().isPresent() && !outOfService.contains(record.id()))
                .count();
        minimumInService = Math.min(minimumInService, inService);
    }

    private void report() {
        List<EndpointRecord> changed = new ArrayList<>();
        actual.forEach((id, record) -> {
            if (!record.equals(reported.put(id, record))) {
                changed.add(record);
            }
        });
        if (!changed.isEmpty()) {
            feed(new RolloutInput.MembershipChanged(new MembershipDelta(
                    membershipVersion, membershipVersion + 1, changed, List.of(), List.of(), List.of())));
            membershipVersion++;
        }
    }

    private void feed(RolloutInput input) {
        core.handle(now, input).forEach(this::execute);
    }

    private void after(long milliseconds, Runnable body) {
        scheduled
                .computeIfAbsent(now + milliseconds, unused -> new ArrayList<>())
                .add(body);
    }

    private void execute(RolloutCommand command) {
        switch (command) {
            case RolloutCommand.AcquireIssuer acquire -> {
                long sentAt = now;
                after(20, () -> {
                    if (grantsIssuer) {
                        validUntil = sentAt + LEASE_MILLISECONDS;
                        feed(new RolloutInput.IssuerGranted(SERVICE, FencingNumber.of(1), validUntil));
                    } else {
                        feed(new RolloutInput.IssuerDenied(SERVICE));
                    }
                });
            }
            case RolloutCommand.SetAvailability availability -> {
                if (availability.inService()) {
                    outOfService.remove(availability.endpoint());
                } else {
                    outOfService.add(availability.endpoint());
                }
            }
            case RolloutCommand.SendOrder order -> {
                orders.add(order);
                orderTimes.add(now);
                after(TICK_MILLISECONDS, () -> receive(order));
            }
        }
    }

    private void receive(RolloutCommand.SendOrder order) {
        if (refusing.contains(order.endpoint())) {
            feed(new RolloutInput.OrderAnswered(order.orderId(), order.endpoint(), false));
            return;
        }
        feed(new RolloutInput.OrderAnswered(order.orderId(), order.endpoint(), true));
        if (order.kind() != OrderKind.LOAD_WEIGHTS) {
            return;
        }
        setActualVersion(order.endpoint(), Optional.empty());
        boolean fails = failingPartway.remove(order.endpoint());
        after(swapMilliseconds, () -> {
            if (!fails) {
                setActualVersion(order.endpoint(), Optional.of(WeightVersion.of(Long.parseLong(order.argument()))));
            }
        });
    }

    private void setActualVersion(EndpointId id, Optional<WeightVersion> version) {
        actual.computeIfPresent(id, (key, record) -> record.withWeightVersion(version));
    }
}
