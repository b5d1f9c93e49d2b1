package io.rosemarybeam.decision.usage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.SortedMap;
import java.util.TreeMap;

import io.rosemarybeam.common.id.WorkspaceName;

/**
 * Counts the requests of each workspace in windows of true time, from the records of all edges.
 *
 * <p>It answers the load of edges that send some requests a second each, repeat their records until they are answered, and send
 * those of the last 30 s to each new leader. A window is closed once, some seconds after its end; what arrives later is counted
 * as late.
 *
 * <p>Invariants: a record is counted in one window at most; windows are closed in order without gaps, never at or below the
 * highest stored one. Confined to one thread.
 */
public final class UsageWindows {
    /**
     * Time after the end of a window, and after the start of this leader, at which windows close, in milliseconds. Requests end
     * and are recorded within 2 s, and a new leader hears of all edges within 2 s; reports are due 10 s after the end.
     */
    static final long CLOSING_DELAY_MILLISECONDS = 3_000;

    /** Time after the end of a window after which its report is given up, in milliseconds. */
    public static final long MAXIMUM_REPORT_AGE_MILLISECONDS = 120_000;

    private final long windowMilliseconds;
    private final long leaderSince;
    private final OptionalLong storedBefore;
    private final Map<Sender, Long> nextSequences = new HashMap<>();
    private final List<Record> open = new ArrayList<>();
    private OptionalLong lastClosed;
    private long lateRecords;

    /**
     * A request that began to run.
     *
     * @param workspace its workspace
     * @param ageMilliseconds time since it began when its message was sent, in milliseconds
     */
    public record Started(WorkspaceName workspace, long ageMilliseconds) {}

    /**
     * The counts of a closed window.
     *
     * @param window number of the window since the start of 1970
     * @param counts requests that began in it, by workspace; workspaces without one are absent
     */
    public record Closed(long window, SortedMap<WorkspaceName, Long> counts) {}

    /**
     * Creates the windows of a new leader.
     *
     * @param windowMilliseconds length of a window
     * @param leaderSince steady time at which this host became leader, in milliseconds
     * @param highestStored the highest window that is stored; empty if there is none
     */
    public UsageWindows(long windowMilliseconds, long leaderSince, OptionalLong highestStored) {
        if (windowMilliseconds <= 0) {
            throw new IllegalArgumentException("a window of " + windowMilliseconds + " ms");
        }
        this.windowMilliseconds = windowMilliseconds;
        this.leaderSince = leaderSince;
        this.storedBefore = highestStored;
        this.lastClosed = highestStored;
    }

    /**
     * Adds the records of a message, except those that an earlier message brought.
     *
     * @param host name of the edge
     * @param incarnation process of the edge
     * @param firstSequence number of the first record
     * @param records the records, numbered without gaps
     * @param sentAt steady time of this host at which the message was sent, in milliseconds
     * @return number of the next record that is expected
     */
    public long add(String host, long incarnation, long firstSequence, List<Started> records, long sentAt) {
        Sender sender = new Sender(host, incarnation);
        long next = nextSequences.getOrDefault(sender, 0L);
        for (int position = Math.clamp(next - firstSequence, 0, records.size());
                position < records.size();
                position++) {
            Started record = records.get(position);
            open.add(new Record(record.workspace(), sentAt - Math.max(0, record.ageMilliseconds())));
        }
        long end = Math.max(next, firstSequence + records.size());
        nextSequences.put(sender, end);
        return end;
    }

    /**
     * Closes the windows whose time has come. To be called periodically, with short intervals.
     *
     * @param now steady time, in milliseconds
     * @param offset true time minus steady time, in milliseconds
     * @return the closed windows in their order
     */
    public List<Closed> close(long now, long offset) {
        dropLate(now, offset);
        List<Closed> closed = new ArrayList<>();
        if (now - leaderSince < CLOSING_DELAY_MILLISECONDS) {
            return closed;
        }
        long newest = windowAt(now + offset - CLOSING_DELAY_MILLISECONDS) - 1;
        OptionalLong first = firstToClose(now, offset);
        if (first.isPresent()) {
            for (long window = first.getAsLong(); window <= newest; window++) {
                closed.add(new Closed(window, takeUntil(window, offset)));
                lastClosed = OptionalLong.of(window);
            }
        }
        return closed;
    }

    /** Windows before the first request need no report, and those that are too old would only be given up. */
    private OptionalLong firstToClose(long now, long offset) {
        long oldest = oldestWindow(now, offset);
        if (lastClosed.isPresent()) {
            return OptionalLong.of(Math.max(oldest, lastClosed.getAsLong() + 1));
        }
        return open.stream()
                .mapToLong(record -> windowAt(record.startedAt + offset))
                .min();
    }

    /**
     * Drops the new records of windows that are closed. Records that are held since before the last window was closed belong to a
     * later one, even if the estimate of the true time has changed by some milliseconds.
     */
    private void dropLate(long now, long offset) {
        long oldest = oldestWindow(now, offset);
        for (Iterator<Record> all = open.iterator(); all.hasNext(); ) {
            Record record = all.next();
            boolean isLate = !record.isKept
                    && lastClosed.isPresent()
                    && windowAt(record.startedAt + offset) <= lastClosed.getAsLong();
            record.isKept = true;
            if (isLate || windowAt(record.startedAt + offset) < oldest) {
                all.remove();
                // The former leader has counted most of those that edges send again to a new one.
                boolean isKnown =
                        storedBefore.isPresent() && windowAt(record.startedAt + offset) <= storedBefore.getAsLong();
                lateRecords += isKnown ? 0 : 1;
            }
        }
    }

    /**
     * Drops records whose reports would be given up. To be called instead of {@link #close} while no window may be stored.
     *
     * @param now steady time, in milliseconds
     * @param offset true time minus steady time, in milliseconds
     */
    public void discardOld(long now, long offset) {
        dropLate(now, offset);
    }

    private long oldestWindow(long now, long offset) {
        return windowAt(now + offset - MAXIMUM_REPORT_AGE_MILLISECONDS);
    }

    private SortedMap<WorkspaceName, Long> takeUntil(long window, long offset) {
        SortedMap<WorkspaceName, Long> counts = new TreeMap<>();
        for (Iterator<Record> all = open.iterator(); all.hasNext(); ) {
            Record record = all.next();
            if (windowAt(record.startedAt + offset) <= window) {
                all.remove();
                counts.merge(record.workspace, 1L, Long::sum);
            }
        }
        return counts;
    }

    private long windowAt(long trueTime) {
        return Math.floorDiv(trueTime, windowMilliseconds);
    }

    /** Returns the number of records that came after their window was closed by this leader. */
    public long lateRecords() {
        return lateRecords;
    }

    /** Returns the number of records in windows that are not closed. */
    public int openRecords() {
        return open.size();
    }

    /** A process of an edge. Immutable. */
    private record Sender(String host, long incarnation) {}

    /** One request by the steady time of this host, in milliseconds. */
    private static final class Record {
        private final WorkspaceName workspace;
        private final long startedAt;
        private boolean isKept;

        Record(WorkspaceName workspace, long startedAt) {
            this.workspace = workspace;
            this.startedAt = startedAt;
        }
    }
}
