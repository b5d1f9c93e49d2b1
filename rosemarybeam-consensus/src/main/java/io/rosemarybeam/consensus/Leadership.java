package io.rosemarybeam.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.LongStream;

import io.rosemarybeam.consensus.Ready.ConfirmedRead;
import io.rosemarybeam.consensus.Ready.SnapshotRead;

/**
 * State and duties of a leader for one term: replication to the other members, advancing the commit index, confirmation of
 * reads and transfer of leadership.
 *
 * <p>Invariant: holds a {@link Progress} for every other member of the current membership. Confined to the thread of the
 * log.
 */
final class Leadership {
    /** Maximum size of the entries in a probe, in bytes; small, as every heartbeat repeats the probe until it is answered. */
    private static final int MAXIMUM_PROBE_BYTES = 65_536;

    /**
     * Number of heartbeats without progress after which a part of a snapshot counts as lost: two minimum election
     * timeouts. Resending earlier would only queue a duplicate behind the first copy on a slow link.
     */
    private static final int HEARTBEATS_UNTIL_RESEND = 10;

    private final ReplicatedLog log;
    private final LogOptions options;
    private final EntryBuffer buffer;
    private final Map<MemberId, Progress> peers = new TreeMap<>();
    /** Reads requested before this leader committed an entry of its term. */
    private final List<Long> readsAwaitingFirstCommit = new ArrayList<>();

    private final List<Long> readsAwaitingHeartbeat = new ArrayList<>();
    private final List<PendingRead> pendingReads = new ArrayList<>();
    private final List<ConfirmedRead> confirmedReads = new ArrayList<>();
    private Optional<MemberId> transferTarget = Optional.empty();
    private int quorumChecksSinceTransfer;
    /** Whether a member was requested to take the leadership over; it may lead at any time until the transfer is abandoned. */
    private boolean leadershipOffered;

    /** Number of the last round of read confirmations; sent with every append and returned in its answer. */
    private long readRound = 1;

    private boolean readRoundUnsent;

    Leadership(ReplicatedLog log, LogOptions options) {
        this.log = log;
        this.options = options;
        this.buffer = log.buffer();
        membershipChanged();
    }

    void membershipChanged() {
        Membership membership = log.membership();
        for (Member member : membership.members()) {
            if (!member.id().equals(log.self())) {
                peers.computeIfAbsent(member.id(), ignored -> new Progress(buffer.lastIndex() + 1));
            }
        }
        peers.keySet().removeIf(id -> membership.find(id).isEmpty());
    }

    Optional<Progress> find(MemberId member) {
        return Optional.ofNullable(peers.get(member));
    }

    boolean hasPending() {
        return !confirmedReads.isEmpty()
                || readRoundUnsent
                || peers.values().stream().anyMatch(this::canSend);
    }

    private boolean canSend(Progress progress) {
        if (progress.isSendingSnapshot()) {
            return false;
        }
        if (progress.probing) {
            return !progress.probeSent;
        }
        return progress.nextIndex <= buffer.lastIndex()
                && progress.nextIndex - progress.matchIndex <= options.maximumEntriesInFlight();
    }

    void sendPending() {
        for (Map.Entry<MemberId, Progress> peer : peers.entrySet()) {
            if (readRoundUnsent) {
                sendReadRound(peer.getKey(), peer.getValue());
            }
            while (canSend(peer.getValue())) {
                sendAppend(peer.getKey(), peer.getValue());
            }
        }
        readRoundUnsent = false;
    }

    void heartbeat() {
        if (!readsAwaitingHeartbeat.isEmpty() && log.hasCommittedInTerm()) {
            startReads(List.copyOf(readsAwaitingHeartbeat));
            readsAwaitingHeartbeat.clear();
            readRoundUnsent = false;
        } else {
            // Each heartbeat begins a round, whose answers show how recently a majority followed this leader.
            readRound++;
        }
        peers.forEach((id, progress) -> {
            progress.probeSent = false;
            if (progress.isSendingSnapshot()) {
                continueSnapshotTransfer(id, progress);
            }
            sendReadRound(id, progress);
        });
    }

    /**
     * Asks a member whether it follows this leader. A member that receives a snapshot is asked by an append after the start of
     * the log, which every member can answer: parts of a snapshot carry no round, and a leader whose majority needs this member
     * would otherwise have no word of a majority until the snapshot is installed.
     */
    private void sendReadRound(MemberId to, Progress progress) {
        if (progress.isSendingSnapshot()) {
            log.send(to, new LogMessage.Append(log.term(), 0, 0, List.of(), 0, readRound));
        } else {
            sendAppend(to, progress);
        }
    }

    /**
     * Resends a part that is considered lost, or starts again with a newer snapshot; otherwise sends an empty part, which
     * serves as heartbeat.
     */
    private void continueSnapshotTransfer(MemberId to, Progress progress) {
        progress.heartbeatsSincePart++;
        boolean isLost = progress.heartbeatsSincePart >= HEARTBEATS_UNTIL_RESEND;
        boolean isReplaced = progress.snapshotIndex
                != log.snapshot().map(SnapshotMetadata::index).orElse(progress.snapshotIndex);
        if (isLost || isReplaced) {
            requestSnapshotPart(to, progress);
        } else {
            sendEmptySnapshotPart(to, progress);
        }
    }

    private void sendAppend(MemberId to, Progress progress) {
        long previous = progress.nextIndex - 1;
        long previousTerm = buffer.term(previous);
        if (progress.isSendingSnapshot() || previousTerm == EntryBuffer.UNKNOWN_TERM) {
            requestSnapshotPart(to, progress);
            return;
        }
        boolean windowOpen = progress.nextIndex - progress.matchIndex <= options.maximumEntriesInFlight();
        long last = windowOpen ? buffer.lastIndex() : previous;
        int maximumBytes = progress.probing ? MAXIMUM_PROBE_BYTES : options.maximumAppendBytes();
        List<LogEntry> entries = buffer.between(progress.nextIndex, last, maximumBytes);
        log.send(to, new LogMessage.Append(log.term(), previous, previousTerm, entries, log.commitIndex(), readRound));
        if (progress.probing) {
            progress.probeSent = true;
        } else {
            progress.nextIndex += entries.size();
        }
    }

    /** Requests the next part of the snapshot from storage, after which it is sent; an empty state needs no read. */
    private void requestSnapshotPart(MemberId to, Progress progress) {
        SnapshotMetadata snapshot = startSnapshot(progress);
        progress.heartbeatsSincePart = 0;
        int length = Math.min(options.snapshotPartBytes(), snapshot.stateBytes() - progress.snapshotOffset);
        if (length > 0) {
            log.readSnapshot(
                    new SnapshotRead(to, snapshot.index(), snapshot.stateBytes(), progress.snapshotOffset, length));
        } else {
            sendSnapshotPart(to, snapshot, progress.snapshotOffset, new byte[0]);
        }
    }

    private void sendEmptySnapshotPart(MemberId to, Progress progress) {
        SnapshotMetadata snapshot = startSnapshot(progress);
        sendSnapshotPart(to, snapshot, progress.snapshotOffset, new byte[0]);
    }

    private SnapshotMetadata startSnapshot(Progress progress) {
        SnapshotMetadata snapshot = log.snapshot().orElseThrow();
        progress.startSnapshot(snapshot.index());
        progress.probeSent = true;
        return snapshot;
    }

    /** Sends a part that was read from storage, unless the member needs another part or snapshot meanwhile. */
    void sendSnapshotPart(SnapshotRead read, byte[] data) {
        Optional<SnapshotMetadata> current = log.snapshot().filter(snapshot -> snapshot.index() == read.index());
        Optional<Progress> waiting = find(read.member())
                .filter(progress -> progress.snapshotIndex == read.index() && progress.snapshotOffset == read.offset());
        if (current.isPresent() && waiting.isPresent()) {
            sendSnapshotPart(read.member(), current.get(), read.offset(), data);
        }
    }

    private void sendSnapshotPart(MemberId to, SnapshotMetadata snapshot, int offset, byte[] data) {
        log.send(
                to,
                new LogMessage.SnapshotPart(
                        log.term(),
                        snapshot.index(),
                        snapshot.term(),
                        snapshot.membership(),
                        offset,
                        snapshot.stateBytes(),
                        data));
    }

    void handleSnapshotProgress(MemberId from, LogMessage.SnapshotProgress message) {
        find(from).ifPresent(progress -> {
            progress.recentlyActive = true;
            if (progress.snapshotIndex != message.index()) {
                return;
            }
            boolean advanced = message.nextOffset() != progress.snapshotOffset;
            progress.snapshotOffset = message.nextOffset();
            int total = log.snapshot().orElseThrow().stateBytes();
            if (advanced && progress.snapshotOffset < total) {
                requestSnapshotPart(from, progress);
            }
        });
    }

    void handleAppended(MemberId from, LogMessage.Appended message) {
        find(from).ifPresent(progress -> {
            progress.recentlyActive = true;
            if (message.success()) {
                boolean advanced = message.index() > progress.matchIndex;
                progress.recordMatch(message.index());
                if (advanced) {
                    advanceCommit();
                }
            } else {
                progress.recordRejection(message.index(), message.hint());
            }
            progress.readRound = Math.max(progress.readRound, message.readRound());
            confirmReads();
            continueLeadershipTransfer();
        });
    }

    /** Advances the commit index to the last entry that is durable on a majority, if that entry is of this term. */
    void advanceCommit() {
        Membership membership = log.membership();
        long[] matchIndexes = membership.voters().stream()
                .mapToLong(voter -> matchIndex(voter.id()))
                .sorted()
                .toArray();
        if (matchIndexes.length == 0) {
            return;
        }
        long quorumIndex = matchIndexes[matchIndexes.length - membership.quorum()];
        if (quorumIndex > log.commitIndex() && buffer.term(quorumIndex) == log.term()) {
            log.advanceCommitTo(quorumIndex);
            // Sends the new commit index at once, so that followers need not wait for the next heartbeat.
            peers.forEach((id, progress) -> {
                if (!progress.probing && !progress.isSendingSnapshot()) {
                    sendAppend(id, progress);
                }
            });
            startReadsAwaitingFirstCommit();
        }
    }

    private long matchIndex(MemberId voter) {
        if (voter.equals(log.self())) {
            return buffer.durableIndex();
        }
        return find(voter).map(progress -> progress.matchIndex).orElse(0L);
    }

    /**
     * Returns whether a majority of the voters has answered since the previous check, and starts the next period. Abandons
     * a transfer of leadership at the second check after its start.
     */
    boolean checkQuorum() {
        long activeVoters = log.membership().voters().stream()
                .filter(voter -> voter.id().equals(log.self())
                        || find(voter.id())
                                .map(progress -> progress.recentlyActive)
                                .orElse(false))
                .count();
        peers.values().forEach(progress -> progress.recentlyActive = false);
        quorumChecksSinceTransfer++;
        if (quorumChecksSinceTransfer > 1) {
            transferTarget = Optional.empty();
            leadershipOffered = false;
        }
        return activeVoters >= log.membership().quorum();
    }

    void readIndex(long context) {
        if (!log.hasCommittedInTerm()) {
            readsAwaitingFirstCommit.add(context);
            return;
        }
        startReads(List.of(context));
    }

    void readIndexWithHeartbeat(long context) {
        readsAwaitingHeartbeat.add(context);
    }

    private void startReadsAwaitingFirstCommit() {
        if (!readsAwaitingFirstCommit.isEmpty() && log.hasCommittedInTerm()) {
            startReads(List.copyOf(readsAwaitingFirstCommit));
            readsAwaitingFirstCommit.clear();
        }
    }

    private void startReads(List<Long> contexts) {
        // Reads that arrive before the next messages are sent share one round.
        if (!readRoundUnsent) {
            readRound++;
            readRoundUnsent = true;
        }
        for (long context : contexts) {
            pendingReads.add(new PendingRead(context, log.commitIndex(), readRound));
        }
        confirmReads();
    }

    private void confirmReads() {
        if (pendingReads.isEmpty()) {
            return;
        }
        long confirmed = confirmedRound();
        pendingReads.removeIf(read -> {
            boolean done = read.round <= confirmed;
            if (done) {
                confirmedReads.add(new ConfirmedRead(read.context, read.index));
            }
            return done;
        });
    }

    /** Returns the number of the last round that was begun. */
    long readRound() {
        return readRound;
    }

    /** Returns the number of the last round that a majority of the voters has answered, or zero. */
    long confirmedRound() {
        Membership membership = log.membership();
        long[] rounds = membership.voters().stream()
                .flatMapToLong(voter -> voter.id().equals(log.self())
                        ? LongStream.of(readRound)
                        : LongStream.of(find(voter.id())
                                .map(progress -> progress.readRound)
                                .orElse(0L)))
                .sorted()
                .toArray();
        return rounds.length == 0 ? 0 : rounds[rounds.length - membership.quorum()];
    }

    List<ConfirmedRead> takeConfirmedReads() {
        List<ConfirmedRead> taken = List.copyOf(confirmedReads);
        confirmedReads.clear();
        return taken;
    }

    boolean isTransferring() {
        return transferTarget.isPresent();
    }

    boolean hasOfferedLeadership() {
        return leadershipOffered;
    }

    void transferTo(MemberId target) {
        transferTarget = Optional.of(target);
        quorumChecksSinceTransfer = 0;
        continueLeadershipTransfer();
    }

    private void continueLeadershipTransfer() {
        transferTarget.ifPresent(target -> {
            if (matchIndex(target) == buffer.lastIndex()) {
                leadershipOffered = true;
                log.send(target, new LogMessage.TimeoutNow(log.term()));
            }
        });
    }

    /** A read that waits until a majority has answered its round. Immutable. */
    private record PendingRead(long context, long index, long round) {}
}
