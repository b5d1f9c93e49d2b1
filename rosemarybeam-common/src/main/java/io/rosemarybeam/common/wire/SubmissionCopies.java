package io.rosemarybeam.common.wire;

/**
 * How long copies of one submission can reach a store leader. Edges repeat a submission until a leader answers, so that the end
 * of the submission can arrive before a copy of it. Immutable and safe for use by several threads.
 */
public final class SubmissionCopies {
    /** Time in which an edge repeats a submission, in milliseconds; longer than an election of the store takes. */
    public static final long SUBMIT_TIMEOUT_MILLISECONDS = 2_500;

    /**
     * Maximum time in milliseconds that a copy waits in a connection to a host that accepts it. A leader whose loop is stalled
     * leads on for 2,500 ms by its keep-alive and for at most 1,000 more, the longest election timeout; a host that is stalled
     * for longer reads what has waited before it can be elected again, and answers that it does not lead.
     */
    public static final long CONNECTION_DELAY_MILLISECONDS = 3_500;

    /** Time after the end of a submission within which copies of it can still reach a leader, in milliseconds. */
    public static final long MAXIMUM_AGE_MILLISECONDS = SUBMIT_TIMEOUT_MILLISECONDS + CONNECTION_DELAY_MILLISECONDS;

    private SubmissionCopies() {}
}
