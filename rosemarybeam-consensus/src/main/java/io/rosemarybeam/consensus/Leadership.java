package io.rosemarybeam.consensus;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.LongStream;

import io.rosemarybeam.consensus.Ready.ConfirmedRead;

/**
 * What a member does while it leads: replication, commitment and confirmation of reads.
 *
 * <p>Invariant: holds a progress for every other member of the current membership. Confined to the thread of the log.
 */
final class Leadership {
    /** Entries sent with a probe, which is repeated with each heartbeat until it is answered, in bytes. */
    private static final int MAXIMUM_PROBE_BYTES = 65_536;

    /**
     * Heartbeats without progress after which a part of a snapshot counts as lost, as many as two shortest election
     * timeouts. A part that is repeated sooner only queues behind the first one on a slow link.
     */
    private static final int HEARTBEATS_UNTIL_RESEND = 10;

    private final ReplicatedLog log;
    private final LogOptions options;
    private final EntryBuffer buffer;
    private final Map<MemberId, Progress> others = new TreeMap<>();
    private final List<Long> earlyReads = new ArrayList<>();
    private final List<Long> heartbeatReads = new ArrayList<>();
    private final List<PendingRead> pendingReads = new ArrayList<>();
    private final List<ConfirmedRead> confirmedReads = new ArrayList<>();
    private Optional<MemberId> transferTarget = Optional.empty();
    private int transferWindows;
    private long readRound;
    private boolean readsToAnnounce;

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
                others.computeIfAbsent(member.id(), ignored -> new Progress(buffer.lastIndex() + 1));
            }
        }
        others.keySet().removeIf(id -> membership.find(id).isEmpty());
    }

    Optional<Progress> find(MemberId member) {
        return Optional.ofNullable(others.get(member));
    }

    // Replication

    boolean hasWork() {
        return !confirmedReads.isEmpty()
                || readsToAnnounce
                || others.values().stream().anyMatch(this::canSend);
    }

    private boolean canSend(Progress progress) {
        if (progress.isSendingSnapshot()) {
            return false;
        }
        if (progress.probing) {
            return !progress.probeSent;
        }
        return progress.next <= buffer.lastIndex()
                && progress.next - progress.match <= options.maximumEntriesInFlight();
    }

    void sendPending() {
        for (Map.Entry<MemberId, Progress> other : others.entrySet()) {
            if (readsToAnnounce && !other.getValue().isSendingSnapshot()) {
                sendAppend(other.getKey(), other.getValue());
            }
            while (canSend(other.getValue())) {
                sendAppend(other.getKey(), other.getValue());
            }
        }
        readsToAnnounce = false;
    }

    void heartbeat() {
        if (!heartbeatReads.isEmpty() && log.hasCommittedInTerm()) {
            startReads(List.copyOf(heartbeatReads));
            heartbeatReads.clear();
            readsToAnnounce = false;
        }
        others.forEach((id, progress) -> {
            progress.probeSent = false;
            if (progress.isSendingSnapshot()) {
                continueSnapshot(id, progress);
            } else {
                sendAppend(id, progress);
            }
        });
    }

    /** Repeats a part that seems to be lost; otherwise only tells the member that this leader lives. */
    private void continueSnapshot(MemberId to, Progress progress) {
        progress.heartbeatsSincePart++;
        boolean isLost = progress.heartbeatsSincePart >= HEARTBEATS_UNTIL_RESEND;
        boolean isReplaced =
                progress.snapshotIndex != log.snapshot().map(LogSnapshot::index).orElse(progress.snapshotIndex);
        if (isLost || isReplaced) {
            sendSnapshotPart(to, progress);
        } else {
            sendSnapshotPart(to, progress, 0);
        }
    }

    private void sendAppend(MemberId to, Progress progress) {
        long previous = progress.next - 1;
        long previousTerm = buffer.term(previous);
        if (progress.isSendingSnapshot() || previousTerm == EntryBuffer.UNKNOWN_TERM) {
            sendSnapshotPart(to, progress);
            return;
        }
        boolean windowOpen = progress.next - progress.match <= options.maximumEntriesInFlight();
        long last = windowOpen ? buffer.lastIndex() : previous;
        int maximumBytes = progress.probing ? MAXIMUM_PROBE_BYTES : options.maximumAppendBytes();
        List<LogEntry> entries = buffer.between(progress.next, last, maximumBytes);
        log.send(to, new LogMessage.Append(log.term(), previous, previousTerm, entries, log.commitIndex(), readRound));
        if (progress.probing) {
            progress.probeSent = true;
        } else {
            progress.next += entries.size();
        }
    }

    private void sendSnapshotPart(MemberId to, Progress progress) {
        progress.heartbeatsSincePart = 0;
        sendSnapshotPart(to, progress, options.snapshotPartBytes());
    }

    private void sendSnapshotPart(MemberId to, Progress progress, int maximumBytes) {
        LogSnapshot snapshot = log.snapshot().orElseThrow();
        progress.startSnapshot(snapshot.index());
        progress.probeSent = true;
        byte[] state = snapshot.state();
        int start = Math.min(progress.snapshotOffset, state.length);
        int end = Math.min(start + maximumBytes, state.length);
        log.send(
                to,
                new LogMessage.SnapshotPart(
                        log.term(),
                        snapshot.index(),
                        snapshot.term(),
                        snapshot.membership(),
                        start,
                        state.length,
                        Arrays.copyOfRange(state, start, end)));
    }

    void snapshotProgress(MemberId from, LogMessage.SnapshotProgress message) {
        find(from).ifPresent(progress -> {
            progress.active = true;
            if (progress.snapshotIndex != message.index()) {
                return;
            }
            boolean advanced = message.nextOffset() != progress.snapshotOffset;
            progress.snapshotOffset = message.nextOffset();
            int total = log.snapshot().orElseThrow().state().length;
            if (advanced && progress.snapshotOffset < total) {
                sendSnapshotPart(from, progress);
            }
        });
    }

    void appended(MemberId from, LogMessage.Appended message) {
        find(from).ifPresent(progress -> {
            progress.active = true;
            if (message.success()) {
                boolean advanced = message.index() > progress.match;
                progress.matched(message.index());
                if (advanced) {
                    advanceCommit();
                }
            } else {
                progress.refused(message.index(), message.hint());
            }
            progress.readRound = Math.max(progress.readRound, message.readRound());
            confirmReads();
            continueTransfer();
        });
    }

    // Commitment

    void advanceCommit() {
        Membership membership = log.membership();
        long[] matches = membership.voters().stream()
                .mapToLong(voter -> matchOf(voter.id()))
                .sorted()
                .toArray();
        if (matches.length == 0) {
            return;
        }
        long agreed = matches[matches.length - membership.quorum()];
        if (agreed > log.commitIndex() && buffer.term(agreed) == log.term()) {
            log.advanceCommitTo(agreed);
            // Followers learn the commit with this message instead of the next heartbeat.
            others.forEach((id, progress) -> {
                if (!progress.probing && !progress.isSendingSnapshot()) {
                    sendAppend(id, progress);
                }
            });
            startEarlyReads();
        }
    }

    private long matchOf(MemberId voter) {
        if (voter.equals(log.self())) {
            return buffer.stable();
        }
        return find(voter).map(progress -> progress.match).orElse(0L);
    }

    boolean checkQuorum() {
        long alive = log.membership().voters().stream()
                .filter(voter -> voter.id().equals(log.self())
                        || find(voter.id()).map(progress -> progress.active).orElse(false))
                .count();
        others.values().forEach(progress -> progress.active = false);
        transferWindows++;
        if (transferWindows > 1) {
            transferTarget = Optional.empty();
        }
        return alive >= log.membership().quorum();
    }

    // Reads

    void readIndex(long context) {
        if (!log.hasCommittedInTerm()) {
            earlyReads.add(context);
            return;
        }
        startReads(List.of(context));
    }

    void readIndexWithHeartbeat(long context) {
        heartbeatReads.add(context);
    }

    private void startEarlyReads() {
        if (!earlyReads.isEmpty() && log.hasCommittedInTerm()) {
            startReads(List.copyOf(earlyReads));
            earlyReads.clear();
        }
    }

    private void startReads(List<Long> contexts) {
        // Reads that arrive before the next sending share one round.
        if (!readsToAnnounce) {
            readRound++;
            readsToAnnounce = true;
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
        Membership membership = log.membership();
        long[] rounds = membership.voters().stream()
                .flatMapToLong(voter -> voter.id().equals(log.self())
                        ? LongStream.of(readRound)
                        : LongStream.of(find(voter.id())
                                .map(progress -> progress.readRound)
                                .orElse(0L)))
                .sorted()
                .toArray();
        long confirmed = rounds[rounds.length - membership.quorum()];
        pendingReads.removeIf(read -> {
            boolean done = read.round <= confirmed;
            if (done) {
                confirmedReads.add(new ConfirmedRead(read.context, read.index));
            }
            return done;
        });
    }

    List<ConfirmedRead> takeConfirmedReads() {
        List<ConfirmedRead> taken = List.copyOf(confirmedReads);
        confirmedReads.clear();
        return taken;
    }

    // Transfer

    boolean isTransferring() {
        return transferTarget.isPresent();
    }

    void transferTo(MemberId target) {
        transferTarget = Optional.of(target);
        transferWindows = 0;
        continueTransfer();
    }

    private void continueTransfer() {
        transferTarget.ifPresent(target -> {
            if (matchOf(target) == buffer.lastIndex()) {
                log.send(target, new LogMessage.TimeoutNow(log.term()));
            }
        });
    }

    /** A read that waits for a round. Immutable. */
    private record PendingRead(long context, long index, long round) {}
}
