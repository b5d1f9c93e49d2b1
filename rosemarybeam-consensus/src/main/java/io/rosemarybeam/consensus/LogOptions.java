package io.rosemarybeam.consensus;

/**
 * Timing and sizes of the log. Immutable and safe for use by several threads.
 *
 * @param heartbeatTicks ticks between two heartbeats
 * @param electionTicks shortest election timeout; the longest is twice as long
 * @param maximumAppendBytes entries sent in one message, in bytes
 * @param maximumEntriesInFlight entries sent to a member that it has not acknowledged
 * @param maximumEntriesPerSync entries persisted by one sync
 * @param snapshotPartBytes size of the parts of a snapshot, in bytes
 * @param maximumProposalBytes largest proposal, in bytes
 * @param seed seed of the election timeouts
 */
public record LogOptions(
        int heartbeatTicks,
        int electionTicks,
        int maximumAppendBytes,
        int maximumEntriesInFlight,
        int maximumEntriesPerSync,
        int snapshotPartBytes,
        int maximumProposalBytes,
        long seed) {
    /**
     * Returns the options of the design page.
     *
     * @param seed seed of the election timeouts
     * @return the options
     */
    public static LogOptions standard(long seed) {
        return new LogOptions(2, 10, 1_048_576, 4_096, Integer.MAX_VALUE, 262_144, 2_097_152, seed);
    }

    /**
     * Returns a copy with another bound on the entries per sync.
     *
     * @param entries the bound; 1 switches group commit off
     * @return the copy
     */
    public LogOptions withMaximumEntriesPerSync(int entries) {
        return new LogOptions(
                heartbeatTicks,
                electionTicks,
                maximumAppendBytes,
                maximumEntriesInFlight,
                entries,
                snapshotPartBytes,
                maximumProposalBytes,
                seed);
    }

    /**
     * Returns a copy with another size of snapshot parts.
     *
     * @param bytes the size
     * @return the copy
     */
    public LogOptions withSnapshotPartBytes(int bytes) {
        return new LogOptions(
                heartbeatTicks,
                electionTicks,
                maximumAppendBytes,
                maximumEntriesInFlight,
                maximumEntriesPerSync,
                bytes,
                maximumProposalBytes,
                seed);
    }

    /**
     * Returns a copy with another bound on proposals.
     *
     * @param bytes the largest proposal
     * @return the copy
     */
    public LogOptions withMaximumProposalBytes(int bytes) {
        return new LogOptions(
                heartbeatTicks,
                electionTicks,
                maximumAppendBytes,
                maximumEntriesInFlight,
                maximumEntriesPerSync,
                snapshotPartBytes,
                bytes,
                seed);
    }
}
