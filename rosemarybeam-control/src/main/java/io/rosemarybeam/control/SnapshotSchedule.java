package io.rosemarybeam.control;

import java.util.SplittableRandom;

import io.rosemarybeam.consensus.MemberId;
import io.rosemarybeam.consensus.Membership;

/**
 * Decides when a member takes its next snapshot.
 *
 * <p>A snapshot is due once as many entries, or as many bytes of entries, were applied as the threshold of this snapshot. Members
 * apply the same entries, so with equal thresholds all of them would encode and write their states at the same moment, as twelve
 * store hosts did that ran out of memory within 90 ms. Each threshold is therefore a random draw between one half and one and a
 * half of the mean, from a generator that is seeded with the identity of the member. A member draws the same sequence in every
 * run, and different members draw different ones.
 *
 * <p>After a start, and after a failure, a snapshot that is due waits: what failed for lack of memory or space would otherwise
 * fail again at once, also in a process that was started because the one before ended. Members often start together, so that
 * each one waits for its own part of a common period; the waits after a failure are drawn.
 *
 * <p>Invariant: at most one snapshot is in progress. Confined to the thread of the log driver.
 */
final class SnapshotSchedule {
    /** Mean number of applied entries between two snapshots. */
    static final int MEAN_ENTRIES = 4_096;

    /** Mean size of the applied entries between two snapshots, in bytes; they stay in memory until a snapshot is stored. */
    static final long MEAN_BYTES = 4L * 1024 * 1024;

    /**
     * Minimum time from the start of the process to its first snapshot, in milliseconds; the last member waits almost twice as
     * long. Hosts that ended for lack of memory in their first snapshot ended again every 3.3 s. Three times that leaves them
     * time to serve between two attempts, while the log grows by some MB.
     */
    static final long FIRST_SNAPSHOT_DELAY_MILLISECONDS = 10_000;

    /** Minimum time from the first failure to the next attempt, in milliseconds; the draw at most doubles it. */
    static final long RETRY_DELAY_MILLISECONDS = 5_000;

    /**
     * Largest minimum time between two attempts, in milliseconds. The log grows until an attempt succeeds, so the time does not
     * grow without limit.
     */
    static final long MAXIMUM_RETRY_DELAY_MILLISECONDS = 80_000;

    private static final double MINIMUM_FACTOR = 0.5;

    /** Largest share of a member's part of the period that is drawn; the rest separates it from the next member. */
    private static final double DRAWN_SHARE = 0.5;

    private final MemberId self;
    private final SplittableRandom random;
    private final long startedAt;
    private final double firstDraw;
    private double factor;
    private long notBefore;
    private long entries;
    private long bytes;
    private int failures;
    private boolean retries;
    private boolean hasBegun;
    private boolean inProgress;

    /**
     * Creates the schedule of a process that starts now.
     *
     * @param self the member
     * @param now monotonic time, in milliseconds
     */
    SnapshotSchedule(MemberId self, long now) {
        this.self = self;
        random = new SplittableRandom(31 * self.incarnation() + self.name().hashCode());
        drawFactor();
        startedAt = now;
        firstDraw = DRAWN_SHARE * random.nextDouble();
        notBefore = now;
    }

    private void drawFactor() {
        factor = MINIMUM_FACTOR + random.nextDouble();
    }

    private long spread(long minimum) {
        return minimum + random.nextLong(minimum);
    }

    /** Records that an entry with so many bytes of data was applied. */
    void applied(int entryBytes) {
        entries++;
        bytes += entryBytes;
    }

    /** Records that the state was replaced by a stored snapshot, after which the count starts again. */
    void installed() {
        entries = 0;
        bytes = 0;
        retries = false;
    }

    /**
     * Returns whether a snapshot is to be taken.
     *
     * @param now monotonic time, in milliseconds
     * @param membership the members that may have started together with this one
     */
    boolean isDue(long now, Membership membership) {
        boolean reached = entries >= factor * MEAN_ENTRIES || bytes >= factor * MEAN_BYTES;
        return !inProgress
                && (reached || retries)
                && now >= notBefore
                && (hasBegun || now >= firstSnapshotAt(membership));
    }

    /** Returns the start of this member's part of the period in which all members take their first snapshots. */
    private long firstSnapshotAt(Membership membership) {
        long position = membership.members().stream()
                .filter(member -> member.id().compareTo(self) < 0)
                .count();
        int parts = Math.max(1, membership.members().size());
        double share = (position + firstDraw) / parts;
        return startedAt + (long) ((1 + share) * FIRST_SNAPSHOT_DELAY_MILLISECONDS);
    }

    /**
     * Starts a snapshot, and draws the threshold of the one after it.
     *
     * @return number of this attempt, 1 unless the attempt before it failed
     */
    int begin() {
        inProgress = true;
        hasBegun = true;
        retries = false;
        entries = 0;
        bytes = 0;
        drawFactor();
        return failures + 1;
    }

    /** Records that the snapshot was stored, or that a newer one has replaced it. */
    void succeeded() {
        inProgress = false;
        failures = 0;
    }

    /**
     * Records that the snapshot failed.
     *
     * @param now monotonic time, in milliseconds
     * @return time until the next attempt, in milliseconds
     */
    long failed(long now) {
        inProgress = false;
        retries = true;
        long minimum = RETRY_DELAY_MILLISECONDS;
        for (int doubled = 0; doubled < failures && minimum < MAXIMUM_RETRY_DELAY_MILLISECONDS; doubled++) {
            minimum *= 2;
        }
        failures++;
        long delay = spread(minimum);
        notBefore = now + delay;
        return delay;
    }
}
