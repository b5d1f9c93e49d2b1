package io.rosemarybeam.consensus;

/**
 * An entry of the replicated log. The data array must not be changed after construction; with that, safe for use by
 * several threads.
 *
 * @param index position in the log, from 1
 * @param term term of the leader that created the entry
 * @param kind what the data means
 * @param data the command, the encoded membership, or nothing
 */
public record LogEntry(long index, long term, Kind kind, byte[] data) {
    /** What the data of an entry means. */
    public enum Kind {
        /** A command for the state machine. */
        COMMAND,
        /** The membership from this entry on. */
        MEMBERSHIP,
        /** Nothing; the first entry of a term, by which a leader learns what is committed. */
        TERM_START
    }
}
