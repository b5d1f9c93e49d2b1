package io.rosemarybeam.consensus;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Predicate;

import io.rosemarybeam.common.error.ControlException;
import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.consensus.LogMessage.Envelope;

/**
 * The Raft state machine of one member: leader election, log replication, snapshots, membership changes and linearizable
 * reads. It performs no I/O, reads no clock and starts no threads: a driver feeds it ticks, messages and proposals, and
 * executes the work that {@link #ready} returns. With the same options and inputs it behaves the same.
 *
 * <p>Invariants: at most one leader per term; two members that hold an entry of the same index and term hold the same
 * entries up to it; every later leader holds every committed entry. A message that depends on durable state is deferred
 * until {@link #persisted} confirms that state. Confined to one thread.
 */
public final class ReplicatedLog {
    /** Role of a member in its term. */
    public enum Role {
        /** Follows the leader of the term, or knows of none yet. */
        FOLLOWER,
        /** Requests pre-votes, which show whether it could win an election and leave every term unchanged. */
        PRE_CANDIDATE,
        /** Requests votes. */
        CANDIDATE,
        /** Replicates entries to the other members. */
        LEADER
    }

    private final LogOptions options;
    private final MemberId self;
    private final SplittableRandom random;
    private final EntryBuffer buffer = new EntryBuffer();
    private final MembershipHistory memberships = new MembershipHistory();
    private final List<Envelope> messages = new ArrayList<>();
    private final DeferredMessages deferredMessages = new DeferredMessages();
    private final Set<MemberId> votes = new HashSet<>();

    private HardState hardState;
    private boolean hardStateChanged;
    /** Whether {@link #ready} has returned a batch that {@link #persisted} has not confirmed. */
    private boolean persisting;

    private boolean hardStatePersisting;
    private boolean snapshotPersisting;
    /** Whether the batch contains the vote of a candidate for itself, which counts only once it is durable. */
    private boolean votePersisting;

    private final List<Ready.SnapshotRead> snapshotReads = new ArrayList<>();

    private Optional<SnapshotMetadata> snapshot;
    private Optional<LogSnapshot> snapshotToInstall = Optional.empty();
    private Optional<IncomingSnapshot> incomingSnapshot = Optional.empty();
    private Role role = Role.FOLLOWER;
    private Optional<MemberId> leader = Optional.empty();
    private Optional<Leadership> leadership = Optional.empty();
    private long commitIndex;
    /** Last committed entry that {@link #ready} has returned or an installed snapshot covers. */
    private long deliveredIndex;

    private int electionElapsedTicks;
    private int electionTimeoutTicks;
    private int heartbeatElapsedTicks;
    /** Commit index at the last heartbeat; see {@link #isCaughtUp}. */
    private long commitAtLastHeartbeat;
    /** Commit index at the heartbeat before the last one. */
    private long commitAtPreviousHeartbeat;

    /**
     * Creates the log of a member, as a follower.
     *
     * @param options timing and sizes
     * @param self this member
     * @param restored state loaded from its storage
     */
    public ReplicatedLog(LogOptions options, MemberId self, DurableState restored) {
        this.options = Objects.requireNonNull(options, "options");
        this.self = Objects.requireNonNull(self, "self");
        // Members with the same seed must draw different election timeouts, or every election ends in a split vote.
        this.random = new SplittableRandom(options.seed() + self.hashCode());
        this.hardState = restored.hardState();
        this.snapshot = restored.snapshot().map(SnapshotMetadata::of);
        restore(restored);
        resetElection();
    }

    private void restore(DurableState restored) {
        long snapshotIndex = snapshot.map(SnapshotMetadata::index).orElse(0L);
        long snapshotTerm = snapshot.map(SnapshotMetadata::term).orElse(0L);
        List<LogEntry> entries = restored.entries();
        if (entries.isEmpty()) {
            buffer.restore(snapshotIndex, snapshotTerm, entries);
        } else if (entries.getFirst().index() == snapshotIndex + 1) {
            buffer.restore(snapshotIndex, snapshotTerm, entries);
        } else {
            LogEntry first = entries.getFirst();
            buffer.restore(first.index(), first.term(), entries.subList(1, entries.size()));
        }
        snapshot.ifPresent(value -> memberships.reset(value.index(), value.membership()));
        entries.forEach(memberships::entryAppended);
        commitIndex = snapshotIndex;
        deliveredIndex = snapshotIndex;
    }

    public Role role() {
        return role;
    }

    /** Returns the largest term that this member has seen. */
    public long term() {
        return hardState.term();
    }

    /** Returns the leader of the current term, or empty if it is not known. */
    public Optional<MemberId> leader() {
        return leader;
    }

    public MemberId self() {
        return self;
    }

    /** Returns the membership as of the last entry, whether or not that membership is committed. */
    public Membership membership() {
        return memberships.current();
    }

    /**
     * Returns the membership after an entry.
     *
     * @param index index of an entry that has not been compacted
     * @return the membership
     */
    public Membership membershipAt(long index) {
        return memberships.at(index);
    }

    /** Returns the index of the last entry that this member knows to be committed. */
    public long commitIndex() {
        return commitIndex;
    }

    /** Returns the index of the last entry of the log, whether or not it is committed or durable. */
    public long lastIndex() {
        return buffer.lastIndex();
    }

    /**
     * Returns the term of an entry.
     *
     * @param index index of the entry
     * @return the term, or empty if the entry is compacted or does not exist
     */
    public Optional<Long> termAt(long index) {
        long term = buffer.term(index);
        return term == EntryBuffer.UNKNOWN_TERM ? Optional.empty() : Optional.of(term);
    }

    /** Returns the number of entries in memory. */
    public int retainedEntries() {
        return buffer.all().size();
    }

    /** Returns whether the log contains a membership change that is not committed. */
    public boolean isChangePending() {
        return memberships.lastIndex() > commitIndex;
    }

    /**
     * Returns up to which entry the log of another member is known to match that of the leader.
     *
     * @param member the other member
     * @return index of the last matching entry; empty if this member does not lead, or the other one is not a member
     */
    public Optional<Long> matchIndex(MemberId member) {
        return leadership.flatMap(state -> state.find(member)).map(progress -> progress.matchIndex);
    }

    /**
     * Returns whether a member has answered since the last quorum check, which the leader makes once per
     * {@link LogOptions#electionTicks}. The leader itself is always active.
     *
     * @param member the member
     * @return true if it is active; false if it is not, or if this member does not lead
     */
    public boolean isActive(MemberId member) {
        boolean answered = leadership
                .flatMap(state -> state.find(member))
                .map(progress -> progress.recentlyActive)
                .orElse(false);
        return answered || (role == Role.LEADER && member.equals(self));
    }

    /**
     * Returns the voter that can take the leadership over first: of the active ones, the one that holds most of the log. One
     * whose disk does not return answers heartbeats and never catches up, while commands are refused.
     *
     * @param isEligible whether a voter may lead
     * @return the voter; empty if no other one is active and eligible, or if this member does not lead
     */
    public Optional<MemberId> successor(Predicate<MemberId> isEligible) {
        return membership().voters().stream()
                .map(Member::id)
                .filter(id -> !id.equals(self) && isActive(id) && isEligible.test(id))
                .max(Comparator.comparing((MemberId id) -> matchIndex(id).orElse(0L))
                        .thenComparing(Comparator.<MemberId>reverseOrder()));
    }

    /**
     * Returns whether this member leads and has committed an entry of its own term. Only then does it know that its
     * commit index covers all entries committed in earlier terms, so reads and membership changes wait for it.
     */
    public boolean hasCommittedInTerm() {
        return role == Role.LEADER && buffer.term(commitIndex) == hardState.term();
    }

    /**
     * Returns the number of the last round in which this leader asked all members whether they still follow it. A new round
     * begins at least with each heartbeat, before its messages are returned by {@link #ready}.
     *
     * @return the number; empty if this member does not lead
     */
    public OptionalLong confirmationRound() {
        return leadership.map(state -> OptionalLong.of(state.readRound())).orElseGet(OptionalLong::empty);
    }

    /**
     * Returns the number of the last round that a majority of the voters has answered in the present term.
     *
     * @return the number, or zero if there was none; empty if this member does not lead
     */
    public OptionalLong confirmedRound() {
        return leadership.map(state -> OptionalLong.of(state.confirmedRound())).orElseGet(OptionalLong::empty);
    }

    /**
     * Returns whether this member leads and has requested another one to take the leadership over. That member may lead at once,
     * whoever has heard of this leader meanwhile. A transfer whose target lags has not come that far.
     */
    public boolean hasOfferedLeadership() {
        return leadership.map(Leadership::hasOfferedLeadership).orElse(false);
    }

    /** Advances the logical clock by one tick, which drives heartbeats and election timeouts. */
    public void tick() {
        electionElapsedTicks++;
        if (role == Role.LEADER) {
            tickLeader();
        } else if (electionElapsedTicks >= electionTimeoutTicks) {
            resetElection();
            if (membership().isVoter(self) && snapshotToInstall.isEmpty()) {
                campaign(true, false);
            }
        }
    }

    /**
     * Postpones the election of another leader, because the process of the present one runs, although it sends no heartbeats.
     *
     * @param from the member that says so
     * @param term the term in which it leads; without effect if this member does not follow it in that term
     */
    public void leaderIsAlive(MemberId from, long term) {
        boolean isLeader = leader.filter(from::equals).isPresent();
        if (role == Role.FOLLOWER && isLeader && term == hardState.term()) {
            electionElapsedTicks = 0;
        }
    }

    private void tickLeader() {
        Leadership state = leadership.orElseThrow();
        heartbeatElapsedTicks++;
        if (heartbeatElapsedTicks >= options.heartbeatTicks()) {
            heartbeatElapsedTicks = 0;
            commitAtPreviousHeartbeat = commitAtLastHeartbeat;
            commitAtLastHeartbeat = commitIndex;
            state.heartbeat();
        }
        if (electionElapsedTicks >= options.electionTicks()) {
            electionElapsedTicks = 0;
            if (!state.checkQuorum()) {
                becomeFollower(hardState.term(), Optional.empty());
            }
        }
    }

    /**
     * Handles a message from another member. A message addressed to another incarnation of this host is dropped.
     *
     * @param envelope the message with sender and receiver
     */
    public void receive(Envelope envelope) {
        if (!envelope.to().equals(self)) {
            return;
        }
        MemberId from = envelope.from();
        LogMessage message = envelope.message();
        if (message.term() > hardState.term() && !adoptTerm(from, message)) {
            return;
        }
        if (message.term() < hardState.term()) {
            rejectOldTerm(from, message);
            return;
        }
        switch (message) {
            case LogMessage.RequestVote request -> handleRequestVote(from, request);
            case LogMessage.Vote vote -> handleVote(from, vote);
            case LogMessage.Append append -> handleAppend(from, append);
            case LogMessage.Appended appended -> leadership.ifPresent(state -> state.handleAppended(from, appended));
            case LogMessage.SnapshotPart part -> handleSnapshotPart(from, part);
            case LogMessage.SnapshotProgress progress ->
                leadership.ifPresent(state -> state.handleSnapshotProgress(from, progress));
            case LogMessage.TimeoutNow ignored -> handleTimeoutNow(from);
        }
    }

    /**
     * Handles a message whose term is larger than that of this member.
     *
     * @return false if the message must be dropped: a vote request while the leader is alive, unless the leader requested
     *     the election; otherwise a member that returns from isolation could depose the leader
     */
    private boolean adoptTerm(MemberId from, LogMessage message) {
        switch (message) {
            case LogMessage.RequestVote request -> {
                boolean leaderIsAlive = leader.isPresent() && electionElapsedTicks < options.electionTicks();
                if (leaderIsAlive && !request.transfer()) {
                    return false;
                }
                if (!request.preVote()) {
                    becomeFollower(request.term(), Optional.empty());
                }
            }
            case LogMessage.Vote vote -> {
                if (!vote.preVote() || !vote.granted()) {
                    becomeFollower(vote.term(), Optional.empty());
                }
            }
            case LogMessage.Append append -> becomeFollower(append.term(), Optional.of(from));
            case LogMessage.SnapshotPart part -> becomeFollower(part.term(), Optional.of(from));
            case LogMessage.Appended ignored -> becomeFollower(message.term(), Optional.empty());
            case LogMessage.SnapshotProgress ignored -> becomeFollower(message.term(), Optional.empty());
            case LogMessage.TimeoutNow ignored -> becomeFollower(message.term(), Optional.empty());
        }
        return true;
    }

    private void rejectOldTerm(MemberId from, LogMessage message) {
        switch (message) {
            case LogMessage.RequestVote request ->
                sendWhenDurable(from, 0, new LogMessage.Vote(hardState.term(), request.preVote(), false));
            // The rejection carries the larger term, at which the old leader steps down. Without it a host with a
            // larger term could never rejoin.
            case LogMessage.Append append ->
                sendWhenDurable(
                        from, 0, new LogMessage.Appended(hardState.term(), false, append.previousIndex(), 0, 0));
            case LogMessage.SnapshotPart part ->
                sendWhenDurable(from, 0, new LogMessage.Appended(hardState.term(), false, part.index(), 0, 0));
            case LogMessage.Vote ignored -> {}
            case LogMessage.Appended ignored -> {}
            case LogMessage.SnapshotProgress ignored -> {}
            case LogMessage.TimeoutNow ignored -> {}
        }
    }

    /**
     * Appends a command to the log of the leader.
     *
     * @param command the encoded command
     * @return index of its entry; the command is committed if {@link Ready#committed} later contains an entry of this
     *     index and the current term, and lost if it contains one of another term
     * @throws ControlException with {@link ErrorCode#NOT_LEADER} or {@link ErrorCode#PROPOSAL_TOO_LARGE}
     */
    public long propose(byte[] command) {
        Leadership state = requireLeadership();
        if (command.length > options.maximumProposalBytes()) {
            throw new ControlException(
                    ErrorCode.PROPOSAL_TOO_LARGE,
                    "proposal of " + command.length + " bytes, maximum is " + options.maximumProposalBytes());
        }
        if (state.isTransferring()) {
            throw new ControlException(ErrorCode.NOT_LEADER, self + " is transferring leadership");
        }
        return appendAsLeader(LogEntry.Kind.COMMAND, command);
    }

    /**
     * Appends a membership change to the log of the leader. It takes effect at once, before it is committed.
     *
     * @param change the change
     * @return index of its entry
     * @throws ControlException with {@link ErrorCode#NOT_LEADER}; with {@link ErrorCode#MEMBERSHIP_CHANGE_PENDING} if
     *     another change is not committed, the learner to promote is not caught up, or this leader has not committed an
     *     entry of its own term; with {@link ErrorCode#INTERNAL} if no voter would be left
     */
    public long proposeChange(MembershipChange change) {
        Leadership state = requireLeadership();
        if (isChangePending() || !hasCommittedInTerm()) {
            throw new ControlException(
                    ErrorCode.MEMBERSHIP_CHANGE_PENDING,
                    "the previous membership change or the first entry of the term is not committed");
        }
        if (change instanceof MembershipChange.Promote promote && !isCaughtUp(promote.id())) {
            throw new ControlException(
                    ErrorCode.MEMBERSHIP_CHANGE_PENDING, "learner " + promote.id() + " is not caught up");
        }
        Membership changed = membership().after(change);
        if (changed.voters().isEmpty()) {
            throw new ControlException(ErrorCode.INTERNAL, "the last voter cannot be removed");
        }
        long index = appendAsLeader(LogEntry.Kind.MEMBERSHIP, MembershipHistory.encode(changed));
        state.membershipChanged();
        return index;
    }

    /**
     * Returns whether a member holds every entry that was committed at the heartbeat before the last one. A comparison
     * with the current commit index would fail under steady load, because the newest entries are always in flight.
     *
     * @param member the member
     * @return true if it is caught up; false if it is not, or if this member does not lead
     */
    public boolean isCaughtUp(MemberId member) {
        return matchIndex(member)
                .map(match -> match >= commitAtPreviousHeartbeat)
                .orElse(false);
    }

    /**
     * Starts a linearizable read: asks a majority to confirm that this member still leads. The confirmation is returned as
     * {@link Ready.ConfirmedRead}; none is returned if the leadership ends first.
     *
     * @param context number of the read, unique within the process
     * @throws ControlException with {@link ErrorCode#NOT_LEADER}
     */
    public void readIndex(long context) {
        requireLeadership().readIndex(context);
    }

    /**
     * Starts a read like {@link #readIndex}, but sends the confirmation request with the next heartbeat, which takes
     * longer and needs no additional message.
     *
     * @param context number of the read, unique within the process
     * @throws ControlException with {@link ErrorCode#NOT_LEADER}
     */
    public void readIndexWithHeartbeat(long context) {
        requireLeadership().readIndexWithHeartbeat(context);
    }

    /**
     * Starts to transfer leadership to another voter. Commands are refused with
     * {@link ErrorCode#NOT_LEADER} until the transfer is complete or abandoned. Does nothing if the target is not a voter or
     * is this member.
     *
     * @param target the next leader
     * @throws ControlException with {@link ErrorCode#NOT_LEADER}
     */
    public void transferLeadership(MemberId target) {
        Leadership state = requireLeadership();
        if (membership().isVoter(target) && !target.equals(self)) {
            state.transferTo(target);
        }
    }

    private Leadership requireLeadership() {
        return leadership.orElseThrow(() -> new ControlException(ErrorCode.NOT_LEADER, self + " is not the leader"));
    }

    /**
     * Confirms that everything in the last {@link Ready} with {@link Ready#needsPersisting} is durable. The log itself
     * tracks what that is, and reads neither argument.
     *
     * @param index index of the last persisted entry, or zero
     * @param term term of that entry, or zero
     * @throws IllegalStateException if no such {@link Ready} is unconfirmed
     */
    public void persisted(long index, long term) {
        if (!persisting) {
            throw new IllegalStateException("no batch is being persisted");
        }
        persisting = false;
        hardStatePersisting = false;
        snapshotPersisting = false;
        buffer.finishPersisting();
        if (votePersisting) {
            votePersisting = false;
            if (role == Role.CANDIDATE && hardState.votedFor().equals(Optional.of(self)) && !hardStateChanged) {
                countVote(self);
            }
        }
        leadership.ifPresent(Leadership::advanceCommit);
    }

    /** Returns whether {@link #ready} would return any work. */
    public boolean hasReady() {
        boolean canPersist =
                !persisting && (hardStateChanged || snapshotToInstall.isPresent() || buffer.hasEntriesToPersist());
        return canPersist
                || !messages.isEmpty()
                || !snapshotReads.isEmpty()
                || (stateIsDurable() && deferredMessages.hasReleasable(buffer.durableIndex()))
                || hasCommitted()
                || leadership.map(Leadership::hasPending).orElse(false);
    }

    /**
     * Returns the pending work of the driver, each part of it exactly once. Nothing to persist is returned while an earlier
     * batch is not confirmed by {@link #persisted}.
     */
    public Ready ready() {
        leadership.ifPresent(Leadership::sendPending);
        Optional<HardState> hardStateToPersist = Optional.empty();
        Optional<LogSnapshot> snapshotToPersist = Optional.empty();
        List<LogEntry> entries = List.of();
        if (stateIsDurable()) {
            deferredMessages.release(buffer.durableIndex(), messages::add);
        }
        if (!persisting) {
            if (hardStateChanged) {
                hardStateToPersist = Optional.of(hardState);
                hardStateChanged = false;
                votePersisting = hardState.votedFor().equals(Optional.of(self));
            }
            snapshotToPersist = snapshotToInstall;
            snapshotToInstall = Optional.empty();
            entries = buffer.startPersisting(options.maximumEntriesPerSync());
            hardStatePersisting = hardStateToPersist.isPresent();
            snapshotPersisting = snapshotToPersist.isPresent();
            persisting = hardStatePersisting || snapshotPersisting || !entries.isEmpty();
        }
        List<Envelope> outgoing = List.copyOf(messages);
        messages.clear();
        List<Ready.SnapshotRead> partsToRead = List.copyOf(snapshotReads);
        snapshotReads.clear();
        List<Ready.ConfirmedRead> reads =
                leadership.map(Leadership::takeConfirmedReads).orElse(List.of());
        return new Ready(hardStateToPersist, snapshotToPersist, entries, outgoing, takeCommitted(), reads, partsToRead);
    }

    /**
     * Returns whether committed entries can be delivered. A majority has stored them, so that they need not be durable here: a
     * leader whose own disk does not return would otherwise lead on without applying what the others have committed. A
     * snapshot that is being installed comes first.
     */
    private boolean hasCommitted() {
        return deliveredIndex < commitIndex && !isInstalling();
    }

    private List<LogEntry> takeCommitted() {
        if (!hasCommitted()) {
            return List.of();
        }
        List<LogEntry> committed = buffer.between(deliveredIndex + 1, commitIndex, options.maximumProposalBytes());
        deliveredIndex = committed.getLast().index();
        return committed;
    }

    /** Returns whether all entries up to an index are durable on this member. */
    public boolean isDurable(long index) {
        return index <= buffer.durableIndex();
    }

    /**
     * Returns the first entry to retain when a snapshot is taken. Entries that the snapshot covers are retained so that
     * members which lag a little receive entries instead of the snapshot.
     *
     * @param index index of the last entry that the snapshot covers
     * @param maximumEntries maximum number of covered entries to retain
     * @param maximumBytes maximum size of the covered entries to retain, in bytes
     * @return index of the first entry to retain
     */
    public long firstRetained(long index, int maximumEntries, int maximumBytes) {
        long first = index + 1;
        long bytes = 0;
        while (first > buffer.baseIndex() + 1 && index + 1 - first < maximumEntries) {
            bytes += buffer.get(first - 1).data().length;
            if (bytes > maximumBytes) {
                break;
            }
            first--;
        }
        return first;
    }

    /**
     * Adopts a snapshot that the driver has taken and persisted, and discards older entries. Does nothing if the log
     * already has a snapshot of the same or a later entry. The log does not retain the encoded state.
     *
     * @param newSnapshot the snapshot, taken after an entry that {@link Ready#committed} contained and that is durable
     * @param firstRetained index of the first entry to retain
     */
    public void compact(LogSnapshot newSnapshot, long firstRetained) {
        if (newSnapshot.index() > deliveredIndex
                || snapshot.map(SnapshotMetadata::index).orElse(0L) >= newSnapshot.index()) {
            return;
        }
        snapshot = Optional.of(SnapshotMetadata.of(newSnapshot));
        buffer.compact(Math.min(firstRetained - 1, newSnapshot.index()));
        memberships.discardBefore(buffer.baseIndex());
    }

    /**
     * Takes a part of the snapshot that {@link Ready#snapshotReads} has requested, and sends it to its member. Without effect if
     * the member does not wait for it any more.
     *
     * @param read the request
     * @param data the part, as the storage holds it
     */
    public void snapshotRead(Ready.SnapshotRead read, byte[] data) {
        leadership.ifPresent(state -> state.sendSnapshotPart(read, data));
    }

    private void resetElection() {
        electionElapsedTicks = 0;
        electionTimeoutTicks = options.electionTicks() + random.nextInt(options.electionTicks() + 1);
    }

    private void setHardState(long term, Optional<MemberId> votedFor) {
        HardState changed = new HardState(term, votedFor);
        if (!changed.equals(hardState)) {
            hardState = changed;
            hardStateChanged = true;
        }
    }

    private void becomeFollower(long term, Optional<MemberId> newLeader) {
        if (term > hardState.term()) {
            setHardState(term, Optional.empty());
            deferredMessages.clear();
            incomingSnapshot = Optional.empty();
        }
        if (role != Role.FOLLOWER || newLeader.isPresent()) {
            resetElection();
        }
        role = Role.FOLLOWER;
        leader = newLeader;
        leadership = Optional.empty();
    }

    private void campaign(boolean preVote, boolean transfer) {
        leader = Optional.empty();
        votes.clear();
        long term = hardState.term() + 1;
        if (preVote) {
            role = Role.PRE_CANDIDATE;
        } else {
            role = Role.CANDIDATE;
            setHardState(term, Optional.of(self));
            deferredMessages.clear();
            resetElection();
        }
        LogMessage request = new LogMessage.RequestVote(term, preVote, transfer, buffer.lastIndex(), buffer.lastTerm());
        for (Member member : membership().voters()) {
            if (!member.id().equals(self)) {
                sendWhenDurable(member.id(), 0, request);
            }
        }
        if (preVote) {
            countVote(self);
        }
    }

    private void countVote(MemberId voter) {
        votes.add(voter);
        long count = votes.stream().filter(membership()::isVoter).count();
        if (count < membership().quorum()) {
            return;
        }
        if (role == Role.PRE_CANDIDATE) {
            campaign(false, false);
        } else if (role == Role.CANDIDATE) {
            becomeLeader();
        }
    }

    private void becomeLeader() {
        role = Role.LEADER;
        leader = Optional.of(self);
        electionElapsedTicks = 0;
        heartbeatElapsedTicks = 0;
        commitAtLastHeartbeat = buffer.lastIndex();
        commitAtPreviousHeartbeat = buffer.lastIndex();
        leadership = Optional.of(new Leadership(this, options));
        appendAsLeader(LogEntry.Kind.TERM_START, new byte[0]);
    }

    private void handleRequestVote(MemberId from, LogMessage.RequestVote request) {
        boolean upToDate = request.lastTerm() > buffer.lastTerm()
                || (request.lastTerm() == buffer.lastTerm() && request.lastIndex() >= buffer.lastIndex());
        if (request.preVote()) {
            boolean granted = upToDate && request.term() > hardState.term();
            long term = granted ? request.term() : hardState.term();
            sendWhenDurable(from, 0, new LogMessage.Vote(term, true, granted));
            return;
        }
        boolean voteAvailable = hardState.votedFor().isEmpty() && leader.isEmpty();
        boolean granted = upToDate && (voteAvailable || hardState.votedFor().equals(Optional.of(from)));
        if (granted) {
            setHardState(hardState.term(), Optional.of(from));
            resetElection();
        }
        sendWhenDurable(from, 0, new LogMessage.Vote(hardState.term(), false, granted));
    }

    private void handleVote(MemberId from, LogMessage.Vote vote) {
        boolean answersVote = role == Role.CANDIDATE && !vote.preVote() && vote.term() == hardState.term();
        boolean answersPreVote = role == Role.PRE_CANDIDATE && vote.preVote() && vote.term() == hardState.term() + 1;
        if (vote.granted() && (answersVote || answersPreVote)) {
            countVote(from);
        }
    }

    private void handleTimeoutNow(MemberId from) {
        if (role == Role.FOLLOWER
                && leader.equals(Optional.of(from))
                && membership().isVoter(self)) {
            campaign(false, true);
        }
    }

    private void handleAppend(MemberId from, LogMessage.Append append) {
        follow(from);
        if (isInstalling() && append.entries().isEmpty() && hardStateIsDurable()) {
            // A member that stores a snapshot for seconds must not appear to be down. It confirms no entry yet.
            send(from, new LogMessage.Appended(hardState.term(), true, 0, 0, append.readRound()));
            return;
        }
        if (append.previousIndex() < commitIndex) {
            sendWhenDurable(
                    from,
                    commitIndex,
                    new LogMessage.Appended(hardState.term(), true, commitIndex, 0, append.readRound()));
            return;
        }
        if (buffer.term(append.previousIndex()) != append.previousTerm()) {
            sendWhenDurable(from, 0, rejection(append));
            return;
        }
        for (LogEntry entry : append.entries()) {
            appendFromLeader(entry);
        }
        long last = append.previousIndex() + append.entries().size();
        commitIndex = Math.max(commitIndex, Math.min(append.commit(), last));
        long durable = Math.min(last, buffer.durableIndex());
        if (append.entries().isEmpty() && durable < last) {
            // A host with a slow disk must not appear to be down, so a heartbeat is answered without waiting for the
            // disk, with the entries that are durable so far.
            sendWhenDurable(from, 0, new LogMessage.Appended(hardState.term(), true, durable, 0, append.readRound()));
        } else {
            sendWhenDurable(from, last, new LogMessage.Appended(hardState.term(), true, last, 0, append.readRound()));
        }
    }

    private void appendFromLeader(LogEntry entry) {
        if (entry.index() <= buffer.lastIndex()) {
            if (buffer.term(entry.index()) == entry.term()) {
                return;
            }
            if (entry.index() <= commitIndex) {
                throw new IllegalStateException("committed entry " + entry.index() + " conflicts with the leader");
            }
            buffer.truncateFrom(entry.index());
            memberships.truncateFrom(entry.index());
        }
        buffer.append(entry);
        memberships.entryAppended(entry);
    }

    private LogMessage rejection(LogMessage.Append append) {
        long hint = Math.min(append.previousIndex() - 1, buffer.lastIndex());
        while (hint > commitIndex && buffer.term(hint) > append.previousTerm()) {
            hint--;
        }
        return new LogMessage.Appended(hardState.term(), false, append.previousIndex(), hint, append.readRound());
    }

    private void follow(MemberId from) {
        if (role != Role.FOLLOWER || !leader.equals(Optional.of(from))) {
            becomeFollower(hardState.term(), Optional.of(from));
        }
        resetElection();
    }

    private void handleSnapshotPart(MemberId from, LogMessage.SnapshotPart part) {
        follow(from);
        if (part.index() <= commitIndex) {
            sendWhenDurable(from, commitIndex, new LogMessage.Appended(hardState.term(), true, commitIndex, 0, 0));
            return;
        }
        if (buffer.term(part.index()) == part.snapshotTerm()) {
            commitIndex = part.index();
            sendWhenDurable(from, commitIndex, new LogMessage.Appended(hardState.term(), true, commitIndex, 0, 0));
            return;
        }
        IncomingSnapshot receiving = incomingSnapshot
                .filter(value -> value.contains(part))
                .orElseGet(() -> new IncomingSnapshot(part.index(), part.total()));
        incomingSnapshot = Optional.of(receiving);
        int size = receiving.append(part);
        send(from, new LogMessage.SnapshotProgress(hardState.term(), part.index(), size));
        if (size >= part.total()) {
            install(receiving.complete(part));
            sendWhenDurable(from, part.index(), new LogMessage.Appended(hardState.term(), true, part.index(), 0, 0));
        }
    }

    private void install(LogSnapshot received) {
        incomingSnapshot = Optional.empty();
        snapshot = Optional.of(SnapshotMetadata.of(received));
        snapshotToInstall = Optional.of(received);
        buffer.reset(received.index(), received.term());
        memberships.reset(received.index(), received.membership());
        commitIndex = received.index();
        deliveredIndex = received.index();
    }

    EntryBuffer buffer() {
        return buffer;
    }

    Optional<SnapshotMetadata> snapshot() {
        return snapshot;
    }

    void readSnapshot(Ready.SnapshotRead read) {
        snapshotReads.add(read);
    }

    void advanceCommitTo(long index) {
        commitIndex = index;
        if (!membership().isVoter(self) && !isChangePending()) {
            becomeFollower(hardState.term(), Optional.empty());
        }
    }

    void send(MemberId to, LogMessage message) {
        messages.add(new Envelope(self, to, message));
    }

    /** Sends a message once the hard state and all entries up to an index are durable. */
    private void sendWhenDurable(MemberId to, long requiredIndex, LogMessage message) {
        deferredMessages.add(requiredIndex, new Envelope(self, to, message));
    }

    /** Returns whether the hard state and any installed snapshot are durable. Entries need not be. */
    private boolean stateIsDurable() {
        return hardStateIsDurable() && !isInstalling();
    }

    private boolean hardStateIsDurable() {
        return !hardStateChanged && !hardStatePersisting;
    }

    /** Returns whether a snapshot of the leader is not durable yet. */
    private boolean isInstalling() {
        return snapshotToInstall.isPresent() || snapshotPersisting;
    }

    private long appendAsLeader(LogEntry.Kind kind, byte[] data) {
        LogEntry entry = new LogEntry(buffer.lastIndex() + 1, hardState.term(), kind, data);
        buffer.append(entry);
        memberships.entryAppended(entry);
        return entry.index();
    }
}
