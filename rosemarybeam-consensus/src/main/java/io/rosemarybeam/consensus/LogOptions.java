package io.rosemarybeam.consensus;

/**
 * Timing and size limits of the log. The driver sets the length of a tick. Immutable and safe for use by several threads.
 *
 * @param heartbeatTicks ticks between two heartbeats
 * @param electionTicks minimum election timeout in ticks; the maximum is twice as long
 * @param maximumAppendBytes maximum size of the entries in one message, in bytes; a single larger entry is sent alone
 * @param maximumEntriesInFlight maximum number of entries sent to a member that it has not acknowledged
 * @param maximumEntriesPerSync maximum number of entries persisted by one sync
 * @param snapshotPartBytes maximum size of a part of a snapshot, in bytes
 * @param maximumProposalBytes maximum size of a proposed command, in bytes
 * @param seed seed of the random election timeouts
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
     * Returns the default options: a heartbeat every 2 ticks, election timeouts of 10 to 20 ticks, messages of up to 1 MiB,
     * 4096 entries in flight, group commit without a limit, snapshot parts of 256 KiB and proposals of up to 2 MiB.
     *
     * @param seed seed of the random election timeouts
     * @return the options
     */
    public static LogOptions standard(long seed) {
        return new LogOptions(2, 10, 1_048_576, 4_096, Integer.MAX_VALUE, 262_144, 2_097_152, seed);
    }

    /**
     * Returns a copy with another limit on the entries per sync.
     *
     * @param entries maximum number of entries; 1 disables group commit
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
     * @param bytes maximum size of a part, in bytes
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
     * Returns a copy with another limit on the size of proposals.
     *
     * @param bytes maximum size of a proposed command, in bytes
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
