package io.rosemarybeam.control.state;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

import io.rosemarybeam.common.error.ControlException;
import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.error.InvalidIdentifierException;
import io.rosemarybeam.common.error.RosemarybeamException;
import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.HostName;
import io.rosemarybeam.common.wire.CommonReply.Accepted;
import io.rosemarybeam.common.wire.CommonReply.Refused;
import io.rosemarybeam.common.wire.ControlReply;
import io.rosemarybeam.common.wire.EndpointRecord;
import io.rosemarybeam.common.wire.EntryHostRecord;
import io.rosemarybeam.common.wire.MembershipDelta;
import io.rosemarybeam.common.wire.Message;
import io.rosemarybeam.common.wire.MessageCodec;
import io.rosemarybeam.control.StateMachine;

/**
 * The replicated state machine of the control hosts.
 *
 * <p>Invariants: the same commands in the same order give the same state and replies on every replica; the leader time
 * never goes back; a refused command changes nothing except the time and what expires by it. Confined to one thread.
 */
public final class ControlState implements StateMachine {
    /** Duration of the lease of an issuer, in milliseconds. */
    public static final long ISSUER_LEASE_MILLISECONDS = 5_000;

    /** Minimum interval between searches for expired steps and quarantines, because a search visits every row. */
    private static final long SWEEP_INTERVAL_MILLISECONDS = 1_000;

    /** Delay after which a client may retry a request that a full table refused, in milliseconds. */
    private static final long RETRY_DELAY_MILLISECONDS = 1_000;

    private final ConfigurationTable configurations = new ConfigurationTable();
    private final EntryHostTable entryHosts = new EntryHostTable();
    private final EndpointTable endpoints = new EndpointTable();
    private final IssuerTable issuers = new IssuerTable();
    private final ClaimTable claims = new ClaimTable();
    private final WeightVersionTable weights = new WeightVersionTable();
    private final StepTable steps = new StepTable(weights);
    private final QuarantineTable quarantine = new QuarantineTable();
    private long leaderTime;
    private long lastSweep;
    private long membershipVersion;
    private long quarantineVersion;

    /**
     * Applies a command.
     *
     * @param bytes the encoded command
     * @return the reply to the proposer
     */
    @Override
    public Message apply(byte[] bytes) {
        CommandCodec.Timed timed = CommandCodec.decode(bytes);
        leaderTime = Math.max(leaderTime, timed.leaderTime());
        expire();
        try {
            return apply(timed.command());
        } catch (ControlException refusal) {
            long retry = refusal.code() == ErrorCode.TABLE_FULL ? RETRY_DELAY_MILLISECONDS : 0;
            return new Refused(refusal.code(), refusal.getMessage(), retry);
        } catch (NullPointerException | IllegalArgumentException | InvalidIdentifierException malformed) {
            // Every replica refuses a request with missing components; a failure here would stop all of them.
            return new Refused(ErrorCode.REQUEST_INVALID, "malformed " + commandName(timed.command()), 0);
        }
    }

    private static String commandName(Command command) {
        return command.getClass().getSimpleName();
    }

    private Message apply(Command command) {
        return switch (command) {
            case Command.AcceptConfiguration accept -> configurations.accept(accept);
            case Command.RegisterEntry register ->
                acceptMembershipChange(entryHosts.register(register.entry(), membershipVersion + 1));
            case Command.RemoveEntry remove ->
                acceptMembershipChange(entryHosts.remove(remove.name(), remove.incarnation(), membershipVersion + 1));
            case Command.AnnounceEndpoint announce -> announce(announce.endpoint());
            case Command.ChangeWeightVersion change ->
                acceptMembershipChange(endpoints.changeWeightVersion(
                        change.id(), change.incarnation(), change.weightVersion(), membershipVersion + 1));
            case Command.LeaveEndpoint leave ->
                acceptMembershipChange(endpoints.markLeaving(leave.id(), leave.incarnation(), membershipVersion + 1));
            case Command.RemoveEndpoint remove ->
                acceptMembershipChange(endpoints.remove(remove.id(), remove.incarnation(), membershipVersion + 1));
            case Command.Claim claim -> claims.claim(claim.request(), leaderTime);
            case Command.Outcome outcome -> recordOutcome(outcome);
            case Command.Crash crash -> reportCrash(crash);
            case Command.OpenStep open -> new ControlReply.StepState(steps.open(open.request(), leaderTime));
            case Command.TakeStep take -> new ControlReply.StepState(steps.takeOver(take, leaderTime));
            case Command.CommitSamples commit -> acceptAfter(() -> steps.commit(commit.request(), leaderTime));
            case Command.RecordHandOver record -> acceptAfter(() -> steps.recordHandOver(record.request(), leaderTime));
            case Command.AcknowledgeHandOver acknowledge ->
                acceptAfter(() -> steps.acknowledge(acknowledge.request(), leaderTime));
            case Command.PublishWeights publish -> acceptAfter(() -> weights.publish(publish.request()));
            case Command.GrantIssuer grant -> grantIssuer(grant);
            case Command.Expire ignored -> new Accepted(0);
            case Command.SettleClaims settle ->
                acceptAfter(() -> claims.markUnknown(settle.name(), settle.incarnation(), leaderTime));
        };
    }

    private Message acceptMembershipChange(boolean changed) {
        if (changed) {
            membershipVersion++;
        }
        return new Accepted(membershipVersion);
    }

    private static Message acceptAfter(Runnable change) {
        change.run();
        return new Accepted(0);
    }

    private Message announce(EndpointRecord endpoint) {
        acceptMembershipChange(endpoints.announce(endpoint, membershipVersion + 1));
        if (endpoints.find(endpoint.id(), endpoint.incarnation()).isEmpty()) {
            return new Refused(ErrorCode.REQUEST_INVALID, endpoint.id() + " is announced with a newer incarnation", 0);
        }
        return new Accepted(issuers.fencingNumber(endpoint.service()).value());
    }

    private Message recordOutcome(Command.Outcome outcome) {
        if (claims.recordOutcome(outcome.request(), leaderTime)) {
            return new Accepted(0);
        }
        return new Refused(ErrorCode.OUTCOME_UNKNOWN, "no claim of this entry under the key", 0);
    }

    private Message reportCrash(Command.Crash crash) {
        ControlReply.QuarantineState state = quarantine.report(crash.request(), leaderTime, quarantineVersion + 1);
        if (!quarantine.quarantinedSince(quarantineVersion).isEmpty()) {
            quarantineVersion++;
        }
        return state;
    }

    private Message grantIssuer(Command.GrantIssuer grant) {
        IssuerTable.Issuer issuer = issuers.grant(grant);
        boolean granted =
                issuer.isHeldBy(grant.request().entry(), grant.request().entryIncarnation());
        return granted
                ? new ControlReply.IssuerLease(issuer.fencingNumber(), ISSUER_LEASE_MILLISECONDS)
                : new ControlReply.IssuerHeld(issuer.entry());
    }

    private void expire() {
        claims.expire(leaderTime);
        if (leaderTime - lastSweep >= SWEEP_INTERVAL_MILLISECONDS) {
            lastSweep = leaderTime;
            steps.expire(leaderTime);
            quarantine.expire(leaderTime);
        }
    }

    /**
     * Returns whether something is due to expire, so that the leader proposes {@link Command.Expire}.
     *
     * @param now current leader time, in milliseconds
     * @return true if a command at that time may remove something or mark a claim as unknown
     */
    public boolean isExpiryDue(long now) {
        boolean sweepDue = now - lastSweep >= SWEEP_INTERVAL_MILLISECONDS;
        return claims.nextExpiry() <= now
                || (sweepDue && (steps.nextExpiry() <= now || quarantine.nextExpiry() <= now));
    }

    /**
     * Returns the changes of the membership after a version.
     *
     * @param since version that the requester has, or zero if it has none
     * @return the changes, or a full copy if removals after that version are not stored any more
     */
    public MembershipDelta membershipSince(long since) {
        boolean covered = since > 0
                && since <= membershipVersion
                && entryHosts.versions().covers(since)
                && endpoints.versions().covers(since);
        long from = covered ? since : 0;
        List<EndpointRecord> changedEndpoints = new ArrayList<>();
        for (EndpointRecord endpoint : endpoints.all()) {
            if (!covered || endpoints.versions().isChangedSince(endpoint.id(), from)) {
                changedEndpoints.add(endpoint);
            }
        }
        List<EntryHostRecord> changedEntries = new ArrayList<>();
        for (EntryHostRecord entry : entryHosts.all()) {
            if (!covered || entryHosts.versions().isChangedSince(entry.name(), from)) {
                changedEntries.add(entry);
            }
        }
        List<EndpointId> removedEndpoints = covered ? endpoints.versions().removedSince(from) : List.of();
        List<HostName> removedEntries = covered ? entryHosts.versions().removedSince(from) : List.of();
        return new MembershipDelta(
                from, membershipVersion, changedEndpoints, removedEndpoints, changedEntries, removedEntries);
    }

    /**
     * Encodes the complete state.
     *
     * @return the encoded state, as {@link #restore} reads it
     */
    public byte[] snapshot() {
        return capture().get();
    }

    /**
     * Copies the state, so that another thread can encode it while commands are applied.
     *
     * @return a supplier that encodes the copy; may be called by any thread
     */
    @Override
    public Supplier<byte[]> capture() {
        SnapshotData data = new SnapshotData(
                leaderTime,
                lastSweep,
                membershipVersion,
                quarantineVersion,
                configurations.snapshotData(),
                entryHosts.snapshotData(),
                endpoints.snapshotData(),
                issuers.snapshotData(),
                claims.snapshotData(),
                weights.snapshotData(),
                steps.snapshotData(),
                quarantine.snapshotData());
        return () -> MessageCodec.encodeLarge(data);
    }

    /**
     * Replaces the complete state.
     *
     * @param bytes an encoded state; an empty array, which stands for the initial state, changes nothing
     * @throws RosemarybeamException if the bytes are not an encoded state
     */
    @Override
    public void restore(byte[] bytes) {
        if (bytes.length == 0) {
            return;
        }
        SnapshotData data = MessageCodec.decode(bytes, SnapshotData.class);
        leaderTime = data.leaderTime;
        lastSweep = data.lastSweep;
        membershipVersion = data.membershipVersion;
        quarantineVersion = data.quarantineVersion;
        configurations.restore(data.configurations);
        entryHosts.restore(data.entryHosts, membershipVersion);
        endpoints.restore(data.endpoints, membershipVersion);
        issuers.restore(data.issuers);
        claims.restore(data.claims);
        weights.restore(data.weights);
        steps.restore(data.steps);
        quarantine.restore(data.quarantine);
    }

    /**
     * Returns the leader time of the state.
     *
     * @return the largest leader time of all applied commands, in milliseconds
     */
    public long leaderTime() {
        return leaderTime;
    }

    /**
     * Returns the version of the membership, that is, of entry hosts and endpoints.
     *
     * @return a number that grows with every change
     */
    public long membershipVersion() {
        return membershipVersion;
    }

    /**
     * Returns the version of the quarantine.
     *
     * @return a number that grows whenever fingerprints are added
     */
    public long quarantineVersion() {
        return quarantineVersion;
    }

    /**
     * Returns the accepted configurations.
     *
     * @return the table, which callers must not change
     */
    public ConfigurationTable configurations() {
        return configurations;
    }

    /**
     * Returns the registered entry hosts.
     *
     * @return the table, which callers must not change
     */
    public EntryHostTable entryHosts() {
        return entryHosts;
    }

    /**
     * Returns the announced endpoints.
     *
     * @return the table, which callers must not change
     */
    public EndpointTable endpoints() {
        return endpoints;
    }

    /**
     * Returns the issuers of orders.
     *
     * @return the table, which callers must not change
     */
    public IssuerTable issuers() {
        return issuers;
    }

    /**
     * Returns the claims of non-idempotent requests.
     *
     * @return the table, which callers must not change
     */
    public ClaimTable claims() {
        return claims;
    }

    /**
     * Returns the published weight versions.
     *
     * @return the table, which callers must not change
     */
    public WeightVersionTable weights() {
        return weights;
    }

    /**
     * Returns the training steps.
     *
     * @return the table, which callers must not change
     */
    public StepTable steps() {
        return steps;
    }

    /**
     * Returns the crashes and quarantined requests.
     *
     * @return the table, which callers must not change
     */
    public QuarantineTable quarantine() {
        return quarantine;
    }

    /** The contents of a snapshot. Immutable. */
    record SnapshotData(
            long leaderTime,
            long lastSweep,
            long membershipVersion,
            long quarantineVersion,
            ConfigurationTable.SnapshotData configurations,
            EntryHostTable.SnapshotData entryHosts,
            EndpointTable.SnapshotData endpoints,
            IssuerTable.SnapshotData issuers,
            ClaimTable.SnapshotData claims,
            WeightVersionTable.SnapshotData weights,
            StepTable.SnapshotData steps,
            QuarantineTable.SnapshotData quarantine) {}
}
