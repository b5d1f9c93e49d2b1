package io.rosemarybeam.control;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.IntStream;

import io.rosemarybeam.consensus.Member;
import io.rosemarybeam.consensus.MemberId;
import io.rosemarybeam.consensus.Membership;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against members that take their snapshots at one moment, and against attempts that are repeated at once. */
class SnapshotScheduleTest {
    private static final int MEMBERS = 12;
    private static final int ENTRY_BYTES = 100;

    /** Time after which the first snapshot of any member no longer waits, in milliseconds. */
    private static final long STARTED = 2 * SnapshotSchedule.FIRST_SNAPSHOT_DELAY_MILLISECONDS;

    private static final Membership MEMBERSHIP = new Membership(
            IntStream.rangeClosed(1, MEMBERS)
                    .mapToObj(member -> new Member(id(member), "host:" + member))
                    .toList(),
            List.of());

    private static MemberId id(int member) {
        return new MemberId("storage-tanger-" + member, 1);
    }

    private static SnapshotSchedule schedule(int member) {
        return new SnapshotSchedule(id(member), 0);
    }

    /** Returns the entries after which a member takes its snapshots, each of which lasts as long as no entry. */
    private static List<Integer> snapshotEntries(int member, int entries, int entryBytes) {
        SnapshotSchedule schedule = schedule(member);
        List<Integer> taken = new ArrayList<>();
        for (int entry = 1; entry <= entries; entry++) {
            schedule.applied(entryBytes);
            if (schedule.isDue(STARTED, MEMBERSHIP)) {
                schedule.begin();
                schedule.succeeded();
                taken.add(entry);
            }
        }
        return taken;
    }

    /** All twelve hosts of a site encoded their states at the same entry and ran out of memory. */
    @Test
    void shouldTakeSnapshotsAtDifferentEntriesWhenMembersApplyTheSameEntries() {
        int lastingEntries = 100;
        TreeMap<Integer, Integer> started = new TreeMap<>();
        HashSet<Integer> first = new HashSet<>();
        for (int member = 1; member <= MEMBERS; member++) {
            List<Integer> taken = snapshotEntries(member, 50 * SnapshotSchedule.MEAN_ENTRIES, ENTRY_BYTES);
            first.add(taken.getFirst());
            taken.forEach(entry -> started.merge(entry, 1, Integer::sum));
        }

        assertEquals(MEMBERS, first.size(), "first snapshots at entries " + first);
        int most = 0;
        for (Map.Entry<Integer, Integer> start : started.entrySet()) {
            int together = started.subMap(start.getKey(), start.getKey() + lastingEntries).values().stream()
                    .mapToInt(Integer::intValue)
                    .sum();
            most = Math.max(most, together);
        }
        assertTrue(most <= MEMBERS / 3, most + " members begin within " + lastingEntries + " entries");
    }

    @Test
    void shouldKeepTheMeanWhenThresholdsAreDrawn() {
        int byEntries =
                snapshotEntries(1, 200 * SnapshotSchedule.MEAN_ENTRIES, 1).size();
        int entryBytes = 64 * 1024;
        int entries = (int) (200 * SnapshotSchedule.MEAN_BYTES / entryBytes);
        int byBytes = snapshotEntries(1, entries, entryBytes).size();

        assertEquals(200, byEntries, 20);
        assertEquals(200, byBytes, 20);
    }

    @Test
    void shouldDrawTheSameThresholdsWhenAMemberIsTheSame() {
        int entries = 20 * SnapshotSchedule.MEAN_ENTRIES;
        assertEquals(snapshotEntries(3, entries, ENTRY_BYTES), snapshotEntries(3, entries, ENTRY_BYTES));
    }

    private static void makeDue(SnapshotSchedule schedule) {
        for (int entry = 0; entry < 2 * SnapshotSchedule.MEAN_ENTRIES; entry++) {
            schedule.applied(ENTRY_BYTES);
        }
    }

    /** A process that ended in its first snapshot must not end there again at once. */
    @Test
    void shouldWaitWhenTheProcessHasJustStarted() {
        SnapshotSchedule schedule = schedule(1);
        makeDue(schedule);

        assertFalse(schedule.isDue(SnapshotSchedule.FIRST_SNAPSHOT_DELAY_MILLISECONDS - 1, MEMBERSHIP));
        assertTrue(schedule.isDue(STARTED, MEMBERSHIP));
    }

    /** Two of three hosts that started together began within 4 ms, and three of them in one part of a second. */
    @Test
    void shouldTakeFirstSnapshotsApartWhenMembersStartTogether() {
        TreeSet<Long> due = new TreeSet<>();
        for (int member = 1; member <= MEMBERS; member++) {
            SnapshotSchedule schedule = schedule(member);
            makeDue(schedule);
            long now = 0;
            while (!schedule.isDue(now, MEMBERSHIP)) {
                now++;
            }
            due.add(now);
        }

        assertEquals(MEMBERS, due.size(), "first snapshots at " + due);
        long gap = SnapshotSchedule.FIRST_SNAPSHOT_DELAY_MILLISECONDS / MEMBERS / 2;
        for (Long time : due) {
            assertTrue(due.subSet(time + 1, time + gap).isEmpty(), "first snapshots at " + due);
        }
    }

    @Test
    void shouldWaitLongerAfterEachFailureAndBeginAgainAfterASuccess() {
        SnapshotSchedule schedule = schedule(1);
        makeDue(schedule);
        long now = STARTED;
        long minimum = SnapshotSchedule.RETRY_DELAY_MILLISECONDS;
        for (int attempt = 1; attempt <= 8; attempt++) {
            assertTrue(schedule.isDue(now, MEMBERSHIP));
            assertEquals(attempt, schedule.begin());
            assertFalse(schedule.isDue(now, MEMBERSHIP), "one snapshot at a time");
            long delay = schedule.failed(now);
            assertTrue(delay >= minimum && delay < 2 * minimum, "delay of " + delay + " after attempt " + attempt);
            assertFalse(schedule.isDue(now + delay - 1, MEMBERSHIP));
            now += delay;
            minimum = Math.min(2 * minimum, SnapshotSchedule.MAXIMUM_RETRY_DELAY_MILLISECONDS);
        }
        schedule.begin();
        schedule.succeeded();
        assertFalse(schedule.isDue(now, MEMBERSHIP));
        makeDue(schedule);
        assertTrue(schedule.isDue(now, MEMBERSHIP));
        assertEquals(1, schedule.begin());
    }

    @Test
    void shouldNotRetryWhenASnapshotWasInstalled() {
        SnapshotSchedule schedule = schedule(1);
        makeDue(schedule);
        schedule.begin();
        long delay = schedule.failed(STARTED);

        schedule.installed();

        assertFalse(schedule.isDue(STARTED + delay, MEMBERSHIP));
    }
}
