package io.rosemarybeam.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import io.rosemarybeam.common.configuration.ConfigurationParser;
import io.rosemarybeam.common.configuration.OperatorConfiguration;
import io.rosemarybeam.common.configuration.ServiceConfiguration;
import io.rosemarybeam.common.configuration.ServiceConfiguration.ServiceClass;
import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;
import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.id.WeightVersion;
import io.rosemarybeam.common.wire.ControlReply.ConfigurationText;
import io.rosemarybeam.common.wire.ControlReply.EntryLease;
import io.rosemarybeam.common.wire.ControlReply.EntryState;
import io.rosemarybeam.common.wire.EndpointRecord;
import io.rosemarybeam.common.wire.EntryRequest;
import io.rosemarybeam.common.wire.EntryRequest.EndpointRenewal;
import io.rosemarybeam.common.wire.MembershipDelta;
import io.rosemarybeam.common.wire.Message;
import io.rosemarybeam.decision.request.RequestInput;
import io.rosemarybeam.decision.rollout.RolloutInput;
import io.rosemarybeam.decision.step.StepInput;

/**
 * Renews the configuration lease of this entry and applies the state that the control process sends.
 *
 * <p>Invariant: a state with a smaller leader term, or a configuration with an older number, than already applied is
 * ignored. The lease runs from the time at which the renewal was sent, so a process that was paused finds its lease
 * lapsed when it resumes. Confined to the decision thread, except for {@link #view}.
 */
final class EntryStateController {
    private static final EventLog LOG = EventLog.of(EntryStateController.class);
    private static final long RENEW_INTERVAL_MILLISECONDS = 1_000;
    private static final long RETRY_DELAY_MILLISECONDS = 100;
    private static final Duration RENEW_TIMEOUT = Duration.ofMillis(1_500);

    private final EntryIdentity identity;
    private final ControlGateway control;
    private final ConfigurationParser parser;
    private final DecisionLoop loop;
    private final Membership membership;
    private final Drivers drivers;
    private final EntryMetrics metrics;
    private final Map<EndpointId, EndpointRenewal> pendingRenewals = new HashMap<>();
    private final Map<ServiceName, Integer> shares = new HashMap<>();
    private final Map<ServiceName, WeightVersion> publishedVersions = new HashMap<>();
    private final Map<ServiceName, StepInput.CapacityChanged> capacities = new HashMap<>();
    private Runnable onDrainConfigured = () -> {};
    private Optional<OperatorConfiguration> configuration = Optional.empty();
    private boolean configurationInvalid;
    private long leaderTerm;
    private long leaseValidUntil;
    private boolean leaseHeld;
    private boolean draining;
    private boolean renewing;
    private long nextRenewal;
    private volatile EntryView view = EntryView.initial();

    /**
     * The drivers of the decision cores, and the availability that they share.
     *
     * @param request drives the request core
     * @param step drives the step core
     * @param rollout drives the rollout core
     * @param availability combines the reasons for which an endpoint receives no requests
     */
    record Drivers(RequestDriver request, StepDriver step, RolloutDriver rollout, Availability availability) {}

    EntryStateController(
            EntryIdentity identity,
            ControlGateway control,
            ConfigurationParser parser,
            DecisionLoop loop,
            Membership membership,
            Drivers drivers,
            EntryMetrics metrics) {
        this.identity = identity;
        this.control = control;
        this.parser = parser;
        this.loop = loop;
        this.membership = membership;
        this.drivers = drivers;
        this.metrics = metrics;
    }

    void onDrainConfigured(Runnable task) {
        onDrainConfigured = task;
    }

    EntryView view() {
        return view;
    }

    Membership membership() {
        return membership;
    }

    Optional<OperatorConfiguration> configuration() {
        return configuration;
    }

    long leaderTerm() {
        return leaderTerm;
    }

    /**
     * Renews the lease when it is due, and logs when it is gained or lapses.
     *
     * @param now current time in milliseconds
     */
    void tick(long now) {
        if (!renewing && now >= nextRenewal) {
            renew(now);
        }
        boolean holdsLease = now < leaseValidUntil;
        if (holdsLease != leaseHeld) {
            leaseHeld = holdsLease;
            LOG.log(holdsLease ? Event.LEASE_HELD : Event.LEASE_LAPSED, "entry", identity.name());
        }
        metrics.leaseRemaining(leaseValidUntil - now);
    }

    /** Sends the next renewal at the next tick, because it carries an update. */
    void renewSoon() {
        nextRenewal = 0;
    }

    /** Does the same as {@link #renewSoon}, on the decision thread. May be called by any thread. */
    void renewAfterUpdate() {
        loop.execute(this::renewSoon);
    }

    private void renew(long now) {
        renewing = true;
        nextRenewal = now + RENEW_INTERVAL_MILLISECONDS;
        List<EndpointRenewal> sent = new ArrayList<>(pendingRenewals.values());
        pendingRenewals.clear();
        EntryRequest.RenewEntryLease request = new EntryRequest.RenewEntryLease(
                identity.asRecord(draining),
                configuration.map(current -> current.number().value()).orElse(0L),
                leaderTerm,
                membership.version(),
                sent,
                drivers.request().core().demandByService(),
                sharesByName());
        control.request(request, RENEW_TIMEOUT)
                .whenComplete((reply, failure) -> loop.execute(() -> onRenewed(now, sent, reply)));
    }

    private Map<String, Integer> sharesByName() {
        Map<String, Integer> result = new HashMap<>();
        shares.forEach((service, share) -> result.put(service.value(), share));
        return result;
    }

    private void onRenewed(long sentAt, List<EndpointRenewal> sent, Message reply) {
        renewing = false;
        if (reply instanceof EntryLease lease) {
            onLease(sentAt, lease);
        } else {
            sent.forEach(renewal -> pendingRenewals.putIfAbsent(renewal.id(), renewal));
            nextRenewal = Math.min(nextRenewal, loop.now() + RETRY_DELAY_MILLISECONDS);
        }
    }

    private void onLease(long sentAt, EntryLease lease) {
        if (!apply(lease.state()) || configurationInvalid) {
            return;
        }
        leaseValidUntil = Math.max(leaseValidUntil, sentAt + lease.leaseMilliseconds());
        drivers.request().handle(new RequestInput.LeaseRenewed(leaseValidUntil));
        publishView();
    }

    /**
     * Applies a state of the control process.
     *
     * @param state the state
     * @return false if its leader term is older than the known one
     */
    boolean apply(EntryState state) {
        if (state.leaderTerm() < leaderTerm) {
            LOG.log(Event.STALE_STATE_IGNORED, "term", state.leaderTerm(), "known", leaderTerm);
            return false;
        }
        leaderTerm = state.leaderTerm();
        state.configuration().ifPresent(this::activate);
        state.membership().ifPresent(this::applyMembership);
        if (!state.limitShares().isEmpty()) {
            state.limitShares().forEach((service, share) -> shares.put(ServiceName.of(service), share));
            drivers.request().handle(new RequestInput.SharesAssigned(Map.copyOf(shares)));
        }
        if (drivers.request().quarantine().addListed(state.quarantined(), loop.now())) {
            drivers.request().handle(drivers.request().quarantine().asInput());
        }
        state.weightVersions().forEach((service, version) -> publishWeights(ServiceName.of(service), version));
        updateCapacities();
        publishView();
        return true;
    }

    private void activate(ConfigurationText text) {
        long known = configuration.map(current -> current.number().value()).orElse(0L);
        if (text.number() <= known) {
            return;
        }
        ConfigurationParser.Result result = parser.parse(text.text());
        switch (result) {
            case ConfigurationParser.Result.Valid valid -> activate(valid.configuration());
            case ConfigurationParser.Result.Invalid invalid -> {
                configurationInvalid = true;
                LOG.log(Event.CONFIGURATION_UNREADABLE, "number", text.number(), "problems", invalid.problems());
            }
        }
    }

    private void activate(OperatorConfiguration accepted) {
        configurationInvalid = false;
        configuration = Optional.of(accepted);
        metrics.configurationNumber(accepted.number().value());
        LOG.log(Event.CONFIGURATION_ACTIVATED, "number", accepted.number());
        drivers.request().handle(new RequestInput.ConfigurationActivated(accepted));
        drivers.step().handle(new StepInput.ConfigurationActivated(accepted));
        drivers.rollout().handle(new RolloutInput.ConfigurationActivated(accepted));
        renewSoon();
        if (accepted.drainingEntryHosts().contains(identity.name())) {
            onDrainConfigured.run();
        }
    }

    private void applyMembership(MembershipDelta delta) {
        if (!membership.apply(delta)) {
            if (membership.version() == 0) {
                renewSoon();
            }
            return;
        }
        notifyCores(delta);
        if (!delta.entryHosts().isEmpty() || !delta.removedEntryHosts().isEmpty()) {
            drivers.step().handle(new StepInput.EntryHostsChanged(membership.entryHosts()));
        }
    }

    private void notifyCores(MembershipDelta delta) {
        drivers.request().handle(new RequestInput.MembershipChanged(delta));
        drivers.rollout().handle(new RolloutInput.MembershipChanged(delta));
        delta.removedEndpoints().forEach(drivers.availability()::remove);
        delta.endpoints().forEach(this::updateAvailability);
    }

    /** A model endpoint that reports no weight version is loading one and must not receive requests. */
    private void updateAvailability(EndpointRecord endpoint) {
        boolean model = configuration
                .flatMap(current -> current.service(endpoint.service()))
                .map(service -> service.serviceClass() == ServiceClass.MODEL)
                .orElse(false);
        if (!model) {
            return;
        }
        drivers.availability()
                .reportComplete(endpoint.id(), endpoint.weightVersion().isPresent());
    }

    private void publishWeights(ServiceName service, WeightVersion version) {
        WeightVersion known = publishedVersions.get(service);
        if (known == null || known.compareTo(version) < 0) {
            publishedVersions.put(service, version);
            drivers.step().handle(new StepInput.WeightsPublished(service, version));
            drivers.rollout().handle(new RolloutInput.WeightsPublished(service, version));
        }
    }

    private void updateCapacities() {
        configuration.ifPresent(current -> current.services().values().stream()
                .filter(service -> service.training().isPresent())
                .forEach(this::updateCapacity));
    }

    private void updateCapacity(ServiceConfiguration service) {
        Set<EndpointId> drained = configuration.orElseThrow().drainingEndpoints();
        int capacity = 0;
        TreeMap<WeightVersion, Integer> versions = new TreeMap<>();
        for (EndpointRecord endpoint : membership.endpoints()) {
            boolean serves = endpoint.service().equals(service.name())
                    && endpoint.weightVersion().isPresent()
                    && !endpoint.leaving()
                    && !drained.contains(endpoint.id());
            if (serves) {
                int usable = Math.min(endpoint.capacity(), service.limits().concurrentPerEndpoint());
                capacity += usable * (100 - service.customerReservePercent()) / 100;
                versions.merge(endpoint.weightVersion().get(), 1, Integer::sum);
            }
        }
        if (versions.isEmpty() && !capacities.containsKey(service.name())) {
            return;
        }
        int share = shares.getOrDefault(service.name(), Integer.MAX_VALUE);
        StepInput.CapacityChanged changed = versions.isEmpty()
                ? withoutCapacity(capacities.get(service.name()))
                : new StepInput.CapacityChanged(
                        service.name(), Math.min(capacity, share), versions.firstKey(), versions.lastKey());
        if (!changed.equals(capacities.put(service.name(), changed))) {
            drivers.step().handle(changed);
        }
    }

    private static StepInput.CapacityChanged withoutCapacity(StepInput.CapacityChanged last) {
        return new StepInput.CapacityChanged(last.service(), 0, last.oldestVersion(), last.newestVersion());
    }

    /**
     * Queues the renewal of an endpoint for the next renewal of this entry.
     *
     * @param endpoint the record as the endpoint reported it
     * @param record the record in the membership
     */
    void renewEndpoint(EndpointRecord endpoint, EndpointRecord record) {
        pendingRenewals.put(
                endpoint.id(), new EndpointRenewal(endpoint.id(), endpoint.incarnation(), endpoint.weightVersion()));
        if (!endpoint.weightVersion().equals(record.weightVersion())) {
            applyReported(record.withWeightVersion(endpoint.weightVersion()));
            renewSoon();
        }
    }

    /**
     * Applies a record that an endpoint reported, ahead of the membership update of the control process.
     *
     * @param endpoint the endpoint
     */
    void applyReported(EndpointRecord endpoint) {
        notifyCores(membership.applyReported(endpoint));
        updateCapacities();
    }

    /** Marks this entry as draining in its renewals and its view. */
    void startDrain() {
        draining = true;
        renewSoon();
        publishView();
    }

    boolean isDraining() {
        return draining;
    }

    private void publishView() {
        view = new EntryView(configuration, membership.entryHosts(), leaseValidUntil, draining);
    }
}
