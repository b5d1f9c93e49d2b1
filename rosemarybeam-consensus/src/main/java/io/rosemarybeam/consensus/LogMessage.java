package io.rosemarybeam.consensus;

import java.util.List;

/**
 * A Raft message between members of the log. Implementations are immutable, provided that arrays are not changed, and safe
 * for use by several threads.
 */
public sealed interface LogMessage {
    /**
     * Returns the term of the sender, or the requested term for {@link RequestVote} and a granted {@link Vote}.
     */
    long term();

    /**
     * Requests a vote.
     *
     * @param term the term that the candidate wants to lead
     * @param preVote whether this is a pre-vote, which changes no state of the voter
     * @param transfer whether the former leader requested this election to transfer leadership
     * @param lastIndex index of the last entry of the candidate
     * @param lastTerm term of that entry
     */
    record RequestVote(long term, boolean preVote, boolean transfer, long lastIndex, long lastTerm)
            implements LogMessage {}

    /**
     * Answers {@link RequestVote}.
     *
     * @param term the requested term if granted, else the term of the voter
     * @param preVote whether this answers a pre-vote
     * @param granted whether the vote is granted
     */
    record Vote(long term, boolean preVote, boolean granted) implements LogMessage {}

    /**
     * Replicates entries; without entries it is a heartbeat.
     *
     * @param term term of the leader
     * @param previousIndex index of the entry before the first one sent
     * @param previousTerm term of that entry
     * @param entries the entries in order
     * @param commit index of the last entry that the leader knows to be committed
     * @param readRound number of the latest round of read confirmations
     */
    record Append(long term, long previousIndex, long previousTerm, List<LogEntry> entries, long commit, long readRound)
            implements LogMessage {
        /** Copies the list. */
        public Append {
            entries = List.copyOf(entries);
        }
    }

    /**
     * Answers {@link Append} and the last {@link SnapshotPart}. A successful answer is sent once everything up to
     * {@code index} is durable.
     *
     * @param term term of the follower
     * @param success whether the log of the follower contains the previous entry of the request
     * @param index if successful, index of the last entry known to match; otherwise the rejected previous index
     * @param hint if rejected, the largest index at which the logs may match; otherwise zero
     * @param readRound copied from the request; zero if the request has none or is of an old term
     */
    record Appended(long term, boolean success, long index, long hint, long readRound) implements LogMessage {}

    /**
     * Carries a part of a snapshot.
     *
     * @param term term of the leader
     * @param index index of the last entry that the snapshot covers
     * @param snapshotTerm term of that entry
     * @param membership membership after that entry
     * @param offset offset of the part in the encoded state, in bytes
     * @param total size of the encoded state, in bytes
     * @param data content of the part; empty in a heartbeat during the transfer
     */
    record SnapshotPart(
            long term, long index, long snapshotTerm, Membership membership, int offset, int total, byte[] data)
            implements LogMessage {}

    /**
     * Answers {@link SnapshotPart}.
     *
     * @param term term of the follower
     * @param index index of the last entry that the snapshot covers
     * @param nextOffset offset of the next part to send, in bytes
     */
    record SnapshotProgress(long term, long index, int nextOffset) implements LogMessage {}

    /**
     * Requests a follower to start an election at once, without a pre-vote. Sent to transfer leadership.
     *
     * @param term term of the leader
     */
    record TimeoutNow(long term) implements LogMessage {}

    /**
     * A message with its sender and receiver.
     *
     * @param from the sender
     * @param to the receiver
     * @param message the message
     */
    record Envelope(MemberId from, MemberId to, LogMessage message) {}
}
