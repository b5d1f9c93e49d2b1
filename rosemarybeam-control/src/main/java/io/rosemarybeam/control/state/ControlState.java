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
 * The replicated state machine.
 *
 * <p>Invariants: the same commands in the same order give the same state and replies on every replica; the time never
 * goes back; a refused command changes nothing but the time. Confined to one thread.
 */
public final class ControlState implements StateMachine {
    /** Length of the lease of an issuer, in milliseconds. */
    public static final long ISSUER_LEASE_MILLISECONDS = 5_000;

    /** Steps and quarantine are searched for expired lines this often, because the search visits every line. */
    private static final long SWEEP_INTERVAL_MILLISECONDS = 1_000;

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
     * @return the reply to whoever asked for it
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
            // Every replica refuses a request with missing components alike; stopping would stop all of them.
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
     * Returns whether something expires, so that the leader proposes {@link Command.Expire}.
     *
     * @param now time of the leader, in milliseconds
     * @return true if a command at that time would remove or settle something
     */
    public boolean isExpiryDue(long now) {
        boolean sweepDue = now - lastSweep >= SWEEP_INTERVAL_MILLISECONDS;
        return claims.nextExpiry() <= now
                || (sweepDue && (steps.nextExpiry() <= now || quarantine.nextExpiry() <= now));
    }

    /**
     * Returns what changed in the membership.
     *
     * @param since version that the asker knows, or zero
     * @return the change, or a full copy if the change is not known any more
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
     * Encodes the whole state.
     *
     * @return the bytes
     */
    public byte[] snapshot() {
        return capture().get();
    }

    /**
     * Copies the state, so that another thread can encode it while commands are applied.
     *
     * @return encodes the copy; may be called by any thread
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
        return () -> MessageCodec.encode(data);
    }

    /**
     * Replaces the whole state.
     *
     * @param bytes an encoded state; empty for the initial state
     * @throws RosemarybeamException if the bytes are no state
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
     * Returns the applied time.
     *
     * @return the largest leader time of all applied commands, in milliseconds
     */
    public long leaderTime() {
        return leaderTime;
    }

    /**
     * Returns the version of the membership.
     *
     * @return grows with every change
     */
    public long membershipVersion() {
        return membershipVersion;
    }

    /**
     * Returns the version of the quarantine.
     *
     * @return grows when a fingerprint is added
     */
    public long quarantineVersion() {
        return quarantineVersion;
    }

    /**
     * Returns the accepted configurations.
     *
     * @return the table, to be read only
     */
    public ConfigurationTable configurations() {
        return configurations;
    }

    /**
     * Returns the registered entry hosts.
     *
     * @return the table, to be read only
     */
    public EntryHostTable entryHosts() {
        return entryHosts;
    }

    /**
     * Returns the announced endpoints.
     *
     * @return the table, to be read only
     */
    public EndpointTable endpoints() {
        return endpoints;
    }

    /**
     * Returns the issuers.
     *
     * @return the table, to be read only
     */
    public IssuerTable issuers() {
        return issuers;
    }

    /**
     * Returns the claims.
     *
     * @return the table, to be read only
     */
    public ClaimTable claims() {
        return claims;
    }

    /**
     * Returns the published weight versions.
     *
     * @return the table, to be read only
     */
    public WeightVersionTable weights() {
        return weights;
    }

    /**
     * Returns the training steps.
     *
     * @return the table, to be read only
     */
    public StepTable steps() {
        return steps;
    }

    /**
     * Returns the crashes and quarantined requests.
     *
     * @return the table, to be read only
     */
    public QuarantineTable quarantine() {
        return quarantine;
    }

    /** The content of a snapshot. Immutable. */
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
