package io.rosemarybeam.consensus;

/**
 * An entry of the replicated log. The data array must not be changed after construction; with that, safe for use by
 * several threads.
 *
 * @param index position in the log, from 1
 * @param term term of the leader that created the entry
 * @param kind type of the data
 * @param data the command, the encoded membership, or an empty array
 */
public record LogEntry(long index, long term, Kind kind, byte[] data) {
    /** Type of an entry. */
    public enum Kind {
        /** A command for the state machine. */
        COMMAND,
        /** The membership that applies from this entry on. */
        MEMBERSHIP,
        /** Empty first entry of a term. Committing it shows the leader which entries of earlier terms are committed. */
        TERM_START
    }
}
