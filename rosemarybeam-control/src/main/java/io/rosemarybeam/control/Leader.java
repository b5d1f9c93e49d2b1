package io.rosemarybeam.control;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;

import io.rosemarybeam.common.configuration.ConfigurationParser;
import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;
import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.HostName;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.wire.CommonReply.DumpReply;
import io.rosemarybeam.common.wire.CommonReply.Refused;
import io.rosemarybeam.common.wire.ControlReply;
import io.rosemarybeam.common.wire.ControlReply.ApplyOutcome;
import io.rosemarybeam.common.wire.ControlReply.ApplyReply;
import io.rosemarybeam.common.wire.EndpointRecord;
import io.rosemarybeam.common.wire.EntryHostRecord;
import io.rosemarybeam.common.wire.EntryRequest;
import io.rosemarybeam.common.wire.Message;
import io.rosemarybeam.common.wire.OperatorRequest;
import io.rosemarybeam.common.wire.StepRecords.StepSnapshot;
import io.rosemarybeam.common.wire.WireConnection;
import io.rosemarybeam.control.state.Command;
import io.rosemarybeam.control.state.CommandCodec;
import io.rosemarybeam.control.state.ConfigurationTable;
import io.rosemarybeam.control.state.ControlState;
import io.rosemarybeam.control.state.IssuerTable.Issuer;

/**
 * Serves entry hosts and operators while this host leads, and holds the state that is not replicated: leases, allocated
 * limit shares and the versions that entries have received.
 *
 * <p>Invariants: a new leader assumes that every registered holder renewed its lease at the moment of the election. A
 * lease is granted only after a majority confirmed that this host still led when the request was received. Confined to
 * the control executor.
 */
final class Leader {
    /** Duration of the lease of an entry host, in milliseconds. */
    static final long ENTRY_LEASE_MILLISECONDS = 3_000;

    /** Duration of the lease of an endpoint, in milliseconds. */
    static final long ENDPOINT_LEASE_MILLISECONDS = 5_000;

    /** Time for which the leader counts a lease as live beyond the holder's view of it, in milliseconds. */
    static final long LEASE_MARGIN_MILLISECONDS = 500;

    /** Time for which an entry host stays registered after its lease lapsed, in milliseconds. */
    static final long ENTRY_REMOVAL_DELAY_MILLISECONDS = 60_000;

    /** Maximum size of a configuration, in characters. */
    static final int MAXIMUM_TEXT_CHARACTERS = 262_144;

    private static final EventLog LOG = EventLog.of(Leader.class);

    /** Delay after which a client may retry while too few control hosts have joined, in milliseconds. */
    private static final long RETRY_DELAY_MILLISECONDS = 500;

    private static final long LEASE_CHECK_INTERVAL_MILLISECONDS = 200;

    private final LogDriver driver;
    private final ControlState state;
    private final CurrentConfiguration configuration;
    private final LeaderClock clock;
    private final EntryNotifier notifier;
    private final InForceTracker inForce = new InForceTracker();
    private final LimitAllocator<EntryId> limitAllocator = new LimitAllocator<>();
    private final LeaseTable<EntryId> entryLeases =
            new LeaseTable<>(ENTRY_LEASE_MILLISECONDS, LEASE_MARGIN_MILLISECONDS);
    private final LeaseTable<EndpointKey> endpointLeases =
            new LeaseTable<>(ENDPOINT_LEASE_MILLISECONDS, LEASE_MARGIN_MILLISECONDS);
    private final LeaseTable<ServiceName> issuerLeases =
            new LeaseTable<>(ControlState.ISSUER_LEASE_MILLISECONDS, LEASE_MARGIN_MILLISECONDS);
    private final TreeSet<EntryId> lapsedEntries = new TreeSet<>();
    private boolean expiryProposed;
    private long nextLeaseCheck;

    Leader(LogDriver driver, ControlState state, CurrentConfiguration configuration, LeaderClock clock) {
        this.driver = driver;
        this.state = state;
        this.configuration = configuration;
        this.clock = clock;
        this.notifier = new EntryNotifier(state, driver.log().term());
        long now = clock.now();
        limitAllocator.setLimits(configuration.limits());
        for (EntryHostRecord entry : state.entryHosts().all()) {
            EntryId id = new EntryId(entry.name(), entry.incarnation());
            entryLeases.renew(id, now);
            inForce.addPending(id);
            limitAllocator.markAwaitingReport(id);
        }
        state.endpoints().all().forEach(endpoint -> endpointLeases.renew(EndpointKey.of(endpoint), now));
        state.issuers().all().forEach(issuer -> issuerLeases.renew(issuer.service(), now));
    }

    CompletableFuture<Message> handle(WireConnection connection, EntryRequest request) {
        return switch (request) {
            case EntryRequest.RenewEntryLease renewal -> renew(connection, renewal);
            case EntryRequest.AnnounceEndpoint announce -> announce(announce.endpoint());
            case EntryRequest.LeaveEndpoint leave ->
                propose(new Command.LeaveEndpoint(leave.id(), leave.incarnation()));
            case EntryRequest.ClaimRequest claim -> propose(new Command.Claim(claim));
            case EntryRequest.RecordOutcome outcome -> propose(new Command.Outcome(outcome));
            case EntryRequest.ReportCrash crash -> reportCrash(crash);
            case EntryRequest.OpenStep open -> propose(new Command.OpenStep(open));
            case EntryRequest.TakeStep take -> takeStep(take);
            case EntryRequest.CommitSamples commit -> propose(new Command.CommitSamples(commit));
            case EntryRequest.RecordHandOver record -> propose(new Command.RecordHandOver(record));
            case EntryRequest.AcknowledgeHandOver acknowledge -> propose(new Command.AcknowledgeHandOver(acknowledge));
            case EntryRequest.PublishWeights publish -> propose(new Command.PublishWeights(publish));
            case EntryRequest.AcquireIssuer acquire -> acquireIssuer(acquire);
        };
    }

    CompletableFuture<Message> handle(OperatorRequest request, StatusReport report) {
        return switch (request) {
            case OperatorRequest.ApplyConfiguration apply -> apply(apply);
            case OperatorRequest.ReadConfiguration ignored ->
                confirmRead()
                        .thenApply(done -> new ControlReply.ConfigurationReply(
                                state.configurations().newest()));
            case OperatorRequest.ReadHistory history ->
                confirmRead()
                        .thenApply(done -> new ControlReply.HistoryReply(
                                state.configurations().history(history.maximumLines())));
            case OperatorRequest.ReadStatus ignored ->
                confirmRead().thenApply(done -> new ControlReply.StatusReply(report.status(this)));
            case OperatorRequest.DumpRequest ignored ->
                CompletableFuture.completedFuture(new DumpReply(report.dump(Optional.of(this))));
        };
    }

    private CompletableFuture<Void> confirmRead() {
        return driver.confirmLeadership(false);
    }

    private CompletableFuture<Message> propose(Command command) {
        return driver.propose(CommandCodec.encode(clock.leaderTime(), command));
    }

    private CompletableFuture<Message> renew(WireConnection connection, EntryRequest.RenewEntryLease renewal) {
        EntryHostRecord record = renewal.entry();
        boolean registered = state.entryHosts().find(record.name()).equals(Optional.of(record));
        CompletableFuture<?> confirmed =
                registered ? driver.confirmLeadership(true) : propose(new Command.RegisterEntry(record));
        long received = clock.now();
        EntryId id = new EntryId(record.name(), record.incarnation());
        // Renewed before the confirmation, so that the lease counts as live while it is being granted.
        entryLeases.renew(id, received);
        lapsedEntries.remove(id);
        inForce.recordApplied(id, renewal.appliedRevision());
        renewEndpoints(renewal.endpointRenewals(), received);
        inForce.completeWaiters(received);
        return confirmed.thenApply(result -> {
            if (result instanceof Refused refused) {
                return refused;
            }
            Map<String, Integer> shares = limitAllocator.renew(id, renewal.heldShares(), renewal.demandByService());
            return new ControlReply.EntryLease(
                    ENTRY_LEASE_MILLISECONDS,
                    notifier.subscribe(connection, renewal.appliedRevision(), renewal.membershipVersion(), shares));
        });
    }

    private void renewEndpoints(List<EntryRequest.EndpointRenewal> renewals, long now) {
        for (EntryRequest.EndpointRenewal renewal : renewals) {
            Optional<EndpointRecord> known = state.endpoints().find(renewal.id(), renewal.incarnation());
            if (known.isEmpty()) {
                continue;
            }
            endpointLeases.renew(new EndpointKey(renewal.id(), renewal.incarnation()), now);
            if (!known.get().weightVersion().equals(renewal.weightVersion())) {
                propose(new Command.ChangeWeightVersion(renewal.id(), renewal.incarnation(), renewal.weightVersion()));
            }
        }
    }

    private CompletableFuture<Message> announce(EndpointRecord endpoint) {
        endpointLeases.renew(EndpointKey.of(endpoint), clock.now());
        return propose(new Command.AnnounceEndpoint(endpoint));
    }

    private CompletableFuture<Message> reportCrash(EntryRequest.ReportCrash crash) {
        return propose(new Command.Crash(crash)).thenApply(reply -> {
            if (reply instanceof ControlReply.QuarantineState quarantine
                    && !quarantine.quarantined().isEmpty()) {
                LOG.log(
                        Event.FINGERPRINT_QUARANTINED,
                        "service",
                        crash.service(),
                        "endpoint",
                        crash.endpoint(),
                        "fingerprints",
                        quarantine.quarantined());
                // Pushed before the reply: the reporting entry refuses the request as soon as it has the reply, and
                // the caller may then resend it to another entry.
                notifier.flush();
            }
            return reply;
        });
    }

    private CompletableFuture<Message> takeStep(EntryRequest.TakeStep take) {
        return confirmRead().thenCompose(done -> {
            Optional<StepSnapshot> step = state.steps().find(take.trainer(), take.step());
            if (step.isEmpty()) {
                return refused(ErrorCode.STEP_UNKNOWN, "no step " + take.step() + " of trainer " + take.trainer(), 0);
            }
            HostName owner = step.get().owner().orElseThrow();
            if (take.takeOver() && (owner.equals(take.entry()) || !holdsLease(owner))) {
                return propose(new Command.TakeStep(take, step.get().ownerEpoch()));
            }
            return CompletableFuture.completedFuture(new ControlReply.StepState(step.get()));
        });
    }

    private boolean holdsLease(HostName name) {
        return state.entryHosts()
                .find(name)
                .map(entry -> entryLeases.isLive(new EntryId(name, entry.incarnation()), clock.now()))
                .orElse(false);
    }

    private CompletableFuture<Message> acquireIssuer(EntryRequest.AcquireIssuer acquire) {
        ServiceName service = acquire.service();
        Optional<Issuer> issuer = state.issuers().find(service);
        long now = clock.now();
        if (issuer.isPresent() && issuer.get().isHeldBy(acquire.entry(), acquire.entryIncarnation())) {
            issuerLeases.renew(service, now);
            return driver.confirmLeadership(false)
                    .thenApply(done -> new ControlReply.IssuerLease(
                            issuer.get().fencingNumber(), ControlState.ISSUER_LEASE_MILLISECONDS));
        }
        if (issuer.isPresent() && issuerLeases.isLive(service, now)) {
            return CompletableFuture.completedFuture(
                    new ControlReply.IssuerHeld(issuer.get().entry()));
        }
        return propose(new Command.GrantIssuer(acquire, state.issuers().fencingNumber(service)))
                .thenApply(reply -> {
                    if (reply instanceof ControlReply.IssuerLease) {
                        // Renewed at the grant, not at the receipt of the request: the holder counts from an earlier
                        // moment, so its view of the lease ends first.
                        issuerLeases.renew(service, clock.now());
                    }
                    return reply;
                });
    }

    private CompletableFuture<Message> apply(OperatorRequest.ApplyConfiguration apply) {
        if (apply.text().length() > MAXIMUM_TEXT_CHARACTERS) {
            return invalid(List.of("the configuration has " + apply.text().length() + " characters, the maximum is "
                    + MAXIMUM_TEXT_CHARACTERS));
        }
        return switch (configuration.parser().parse(apply.text())) {
            case ConfigurationParser.Result.Invalid found ->
                invalid(found.problems().stream().map(Object::toString).toList());
            case ConfigurationParser.Result.Valid valid ->
                accept(apply, valid.configuration().number().value());
        };
    }

    private static CompletableFuture<Message> invalid(List<String> problems) {
        return CompletableFuture.completedFuture(
                new ApplyReply(ApplyOutcome.INVALID, 0, problems, Optional.empty(), false, List.of()));
    }

    private CompletableFuture<Message> accept(OperatorRequest.ApplyConfiguration apply, long number) {
        String digest = ConfigurationTable.digest(apply.text());
        Optional<ApplyReply> earlierOutcome = state.configurations().outcomeOf(number, digest);
        CompletableFuture<? extends Message> outcome = earlierOutcome.isPresent()
                ? CompletableFuture.completedFuture(earlierOutcome.get())
                : propose(new Command.AcceptConfiguration(
                        number, apply.text(), apply.operator(), System.currentTimeMillis()));
        return outcome.thenCompose(reply -> {
            boolean accepted = reply instanceof ApplyReply decided
                    && (decided.outcome() == ApplyOutcome.ACCEPTED || decided.outcome() == ApplyOutcome.RESENT);
            if (!accepted) {
                return CompletableFuture.completedFuture(reply);
            }
            CompletableFuture<Message> finalReply = new CompletableFuture<>();
            long deadline = clock.now() + Math.max(apply.waitMilliseconds(), 0);
            inForce.whenInForce(
                    number, deadline, pending -> finalReply.complete(withInForce((ApplyReply) reply, pending)));
            inForce.completeWaiters(clock.now());
            return finalReply;
        });
    }

    private static ApplyReply withInForce(ApplyReply reply, List<HostName> pending) {
        return new ApplyReply(
                reply.outcome(), reply.number(), reply.problems(), reply.winner(), pending.isEmpty(), pending);
    }

    private static CompletableFuture<Message> refused(ErrorCode code, String detail, long retryAfter) {
        return CompletableFuture.completedFuture(new Refused(code, detail, retryAfter));
    }

    static CompletableFuture<Message> quorumUnavailable() {
        return refused(
                ErrorCode.QUORUM_UNAVAILABLE,
                "fewer than a majority of the control hosts have joined",
                RETRY_DELAY_MILLISECONDS);
    }

    /** Pushes pending changes; at every lease check also removes lapsed leases and proposes the resulting commands. */
    void tick() {
        notifier.flush();
        long now = clock.now();
        if (now < nextLeaseCheck) {
            return;
        }
        nextLeaseCheck = now + LEASE_CHECK_INTERVAL_MILLISECONDS;
        for (EntryId entry : entryLeases.lapsedFor(now, 0)) {
            if (lapsedEntries.add(entry)) {
                inForce.remove(entry);
                limitAllocator.release(entry);
                if (state.claims().size() > 0) {
                    propose(new Command.SettleClaims(entry.name(), entry.incarnation()));
                }
            }
        }
        for (EntryId entry : entryLeases.lapsedFor(now, ENTRY_REMOVAL_DELAY_MILLISECONDS)) {
            entryLeases.remove(entry);
            lapsedEntries.remove(entry);
            propose(new Command.RemoveEntry(entry.name(), entry.incarnation()));
        }
        for (EndpointKey endpoint : endpointLeases.lapsedFor(now, 0)) {
            endpointLeases.remove(endpoint);
            propose(new Command.RemoveEndpoint(endpoint.id, endpoint.incarnation));
        }
        inForce.completeWaiters(now);
        if (!expiryProposed && state.isExpiryDue(clock.leaderTime())) {
            expiryProposed = true;
            propose(new Command.Expire()).whenComplete((reply, failure) -> expiryProposed = false);
        }
    }

    /** Called after commands were applied; the flag states whether they changed the configuration. */
    void onCommandsApplied(boolean newConfiguration) {
        if (newConfiguration) {
            LOG.log(
                    Event.CONFIGURATION_ACCEPTED,
                    "number",
                    state.configurations().newestNumber());
            limitAllocator.setLimits(configuration.limits());
            notifier.flush();
        }
    }

    void onConnectionClosed(WireConnection connection) {
        notifier.connectionClosed(connection);
    }

    void stop() {
        inForce.stop();
    }

    /** Returns whether an entry host holds a live lease. */
    boolean isLive(EntryHostRecord entry) {
        return entryLeases.isLive(new EntryId(entry.name(), entry.incarnation()), clock.now());
    }

    long appliedRevision(EntryHostRecord entry) {
        return inForce.appliedBy(new EntryId(entry.name(), entry.incarnation()));
    }

    /** Returns the entries that have not applied the newest configuration yet. */
    List<HostName> pendingEntries() {
        return inForce.pending(state.configurations().newestNumber());
    }

    /** Returns the sum of the limit shares that entries may be using, by service. */
    Map<String, Integer> allocatedShares() {
        return limitAllocator.allocated();
    }

    /** An incarnation of an endpoint. Immutable. */
    private record EndpointKey(EndpointId id, long incarnation) {
        static EndpointKey of(EndpointRecord endpoint) {
            return new EndpointKey(endpoint.id(), endpoint.incarnation());
        }
    }
}
