package io.rosemarybeam.consensus;

import java.util.List;

/**
 * A message between members of the log. Implementations are immutable, provided that arrays are not changed, and safe for
 * use by several threads.
 */
public sealed interface LogMessage {
    /**
     * Returns the term that the message belongs to.
     *
     * @return the term
     */
    long term();

    /**
     * Asks for a vote.
     *
     * @param term the term to lead
     * @param preVote whether the vote is only a test that changes no state
     * @param transfer whether the former leader asked for this election
     * @param lastIndex last entry of the candidate
     * @param lastTerm term of that entry
     */
    record RequestVote(long term, boolean preVote, boolean transfer, long lastIndex, long lastTerm)
            implements LogMessage {}

    /**
     * Answers a request for a vote.
     *
     * @param term the requested term if granted, else the term of the voter
     * @param preVote whether the vote is only a test
     * @param granted whether the vote is given
     */
    record Vote(long term, boolean preVote, boolean granted) implements LogMessage {}

    /**
     * Replicates entries; without entries it is a heartbeat.
     *
     * @param term term of the leader
     * @param previousIndex the entry before the first one sent
     * @param previousTerm term of that entry
     * @param entries the entries in order
     * @param commit last committed entry
     * @param readRound number of the round that confirms reads
     */
    record Append(long term, long previousIndex, long previousTerm, List<LogEntry> entries, long commit, long readRound)
            implements LogMessage {
        /** Copies the list. */
        public Append {
            entries = List.copyOf(entries);
        }
    }

    /**
     * Answers {@link Append} and a complete snapshot after the entries are durable.
     *
     * @param term term of the follower
     * @param success whether the entry before the sent ones matched
     * @param index last entry known to match, or the refused previous index
     * @param hint if refused, an entry at or before which the logs may match
     * @param readRound copied from the request
     */
    record Appended(long term, boolean success, long index, long hint, long readRound) implements LogMessage {}

    /**
     * Carries a part of a snapshot.
     *
     * @param term term of the leader
     * @param index last entry of the snapshot
     * @param snapshotTerm term of that entry
     * @param membership membership after that entry
     * @param offset position of the part, in bytes
     * @param total size of the snapshot, in bytes
     * @param data the part
     */
    record SnapshotPart(
            long term, long index, long snapshotTerm, Membership membership, int offset, int total, byte[] data)
            implements LogMessage {}

    /**
     * Answers a part of a snapshot.
     *
     * @param term term of the follower
     * @param index last entry of the snapshot
     * @param nextOffset position of the part that it needs next, in bytes
     */
    record SnapshotProgress(long term, long index, int nextOffset) implements LogMessage {}

    /**
     * Asks a follower to start an election at once.
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
