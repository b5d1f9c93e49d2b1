package io.rosemarybeam.decision.routing;

import java.util.List;
import java.util.Optional;

import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.FailureDomain;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.wire.EndpointAnnouncement;
import io.rosemarybeam.common.wire.EndpointAnnouncement.State;
import io.rosemarybeam.common.wire.SuspectedRestart;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against streams that go on at an endpoint whose software is not the announced one, and against sound endpoints at which
 * no stream goes on for long.
 */
class RestartTableTest {
    private static final EndpointId ID = EndpointId.of("e");
    private static final long NOW = 50_000;

    private final RestartTable table = new RestartTable();

    private static EndpointAnnouncement announcement(long started, State state) {
        return new EndpointAnnouncement(
                ID,
                started,
                1,
                ServiceName.of("desk"),
                "10.0.0.1:80",
                FailureDomain.of("fes"),
                6,
                state,
                List.of(),
                "v1");
    }

    private static EndpointAnnouncement ready(long started) {
        return announcement(started, State.READY);
    }

    private static SuspectedRestart suspicion(long started, long age) {
        return new SuspectedRestart(ID, started, age, false, false);
    }

    private static SuspectedRestart disproof(long started) {
        return new SuspectedRestart(ID, started, 0, false, true);
    }

    @Test
    void shouldBelieveAnAnnouncementOnlyUntilARestartOfThatStartIsSuspected() {
        assertTrue(table.isConfirmed(ready(1), NOW));

        assertTrue(table.merge(suspicion(1, 0), NOW));

        assertFalse(table.isConfirmed(ready(1), NOW));
        assertTrue(table.isConfirmed(ready(2), NOW));
    }

    @Test
    void shouldIgnoreASuspicionOfAFormerStart() {
        table.merge(suspicion(2, 0), NOW);

        assertFalse(table.merge(suspicion(1, 0), NOW));
        assertFalse(table.isConfirmed(ready(2), NOW));
    }

    /** A heartbeat of the process that has ended may arrive late. */
    @Test
    void shouldBeDisprovedOnlyByAHeartbeatThatCannotHaveBeenSentBefore() {
        table.merge(suspicion(1, 0), NOW);

        long tooSoon = NOW + RestartTable.HEARTBEAT_DELAY_MILLISECONDS - 1;
        assertEquals(Optional.empty(), table.disprove(ready(1), tooSoon));
        assertFalse(table.isConfirmed(ready(1), tooSoon));
        assertEquals(Optional.of(disproof(1)), table.disprove(ready(1), tooSoon + 1));
        assertTrue(table.isConfirmed(ready(1), tooSoon + 1));
        assertEquals(Optional.empty(), table.disprove(ready(1), tooSoon + 1));
    }

    /** The disproof of another host may have been sent before that host learned of a newer suspicion. */
    @Test
    void shouldNotLetTheDisproofOfAnotherHostEndANewerSuspicion() {
        table.merge(suspicion(1, 0), NOW);
        long renewed = NOW + RestartTable.RENEWAL_MILLISECONDS;
        table.merge(suspicion(1, 0), renewed);

        assertFalse(table.merge(disproof(1), renewed + RestartTable.DISPROOF_DELAY_MILLISECONDS - 1));
        assertFalse(table.isConfirmed(ready(1), renewed + RestartTable.DISPROOF_DELAY_MILLISECONDS));
        assertTrue(table.merge(disproof(1), renewed + RestartTable.DISPROOF_DELAY_MILLISECONDS));
        assertTrue(table.isConfirmed(ready(1), renewed + RestartTable.DISPROOF_DELAY_MILLISECONDS));
    }

    @Test
    void shouldPassOnASuspicionOnlyOnceWhenSeveralHostsReportTheSameBreak() {
        assertTrue(table.merge(suspicion(1, 0), NOW));
        assertFalse(table.merge(suspicion(1, 0), NOW + RestartTable.RENEWAL_MILLISECONDS - 1));
        assertTrue(table.merge(suspicion(1, 0), NOW + 2 * RestartTable.RENEWAL_MILLISECONDS));
        assertFalse(table.merge(suspicion(1, 5_000), NOW + 2 * RestartTable.RENEWAL_MILLISECONDS));
    }

    /** A host that reaches no endpoint must not make the streams of all others end. */
    @Test
    void shouldNotTellHostsThatConnectWhatMayConcernOneConnectionOnly() {
        table.merge(new SuspectedRestart(ID, 1, 0, true, false), NOW);
        assertEquals(List.of(), table.all(NOW));

        assertTrue(table.merge(suspicion(1, 0), NOW));
        assertEquals(List.of(suspicion(1, 200)), table.all(NOW + 200));
    }

    /** Store hosts of earlier releases send no disproof. */
    @Test
    void shouldBelieveAReadyEndpointAgainWhenNoDisproofArrives() {
        table.merge(suspicion(1, 1_000), NOW);

        long expired = NOW - 1_000 + RestartTable.EXPIRY_MILLISECONDS;
        assertFalse(table.isConfirmed(ready(1), expired - 1));
        assertTrue(table.isConfirmed(ready(1), expired));
        assertFalse(table.isConfirmed(announcement(1, State.SILENT), expired));
    }

    @Test
    void shouldForgetASuspicionWithTheAnnouncement() {
        table.merge(suspicion(1, 0), NOW);

        table.expire(NOW + RestartTable.RETENTION_MILLISECONDS - 1);
        assertEquals(1, table.all(NOW).size());
        table.expire(NOW + RestartTable.RETENTION_MILLISECONDS);
        assertEquals(List.of(), table.all(NOW));
    }
}
