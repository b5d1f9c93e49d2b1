package io.rosemarybeam.decision.routing;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.Fingerprint;
import io.rosemarybeam.common.wire.EndpointCrash;
import io.rosemarybeam.common.wire.EndpointCrash.State;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against crashing requests that run again, and against sound requests that are quarantined or never released. */
class CrashTableTest {
    private static final Fingerprint REQUEST = Fingerprint.of("request");
    private static final long TEN_MINUTES = 600_000;
    private static final long HOUR = 3_600_000;

    private final CrashTable table = new CrashTable();

    private boolean crash(String endpoint, long started, long age, long now) {
        return table.add(EndpointCrash.of(REQUEST, EndpointId.of(endpoint), started, age, State.CONFIRMED), now);
    }

    private boolean suspect(String endpoint, long now) {
        return table.add(EndpointCrash.of(REQUEST, EndpointId.of(endpoint), 1, 0, State.SUSPECTED), now);
    }

    private void heartbeat(String endpoint, long started, long now) {
        table.disproving(EndpointId.of(endpoint), started, now).forEach(crash -> table.add(crash, now));
    }

    private void crashThreeEndpoints(long now) {
        crash("a", 1, 0, now);
        crash("b", 1, 0, now);
        crash("c", 1, 0, now);
    }

    @Test
    void shouldQuarantineWhenThreeEndpointsCrash() {
        crash("a", 1, 0, 0);
        crash("b", 1, 0, 0);
        assertEquals(0, table.remainingQuarantine(REQUEST, 1));

        crash("c", 1, 0, 0);

        assertEquals(TEN_MINUTES - 1, table.remainingQuarantine(REQUEST, 1));
    }

    @Test
    void shouldCountACrashOnceWhenSeveralEdgesReportIt() {
        assertTrue(crash("a", 1, 0, 0));

        assertFalse(crash("a", 1, 5, 10));

        assertEquals(1, table.crashes(REQUEST));
    }

    @Test
    void shouldCountARestartedEndpointAgain() {
        crash("a", 1, 0, 0);

        assertTrue(crash("a", 2, 0, 10));
    }

    private void answer(long now) {
        table.clearing(REQUEST, now).forEach(crash -> table.add(crash, now));
    }

    @Test
    void shouldReleaseWhenTheRequestIsAnswered() {
        crashThreeEndpoints(0);

        answer(1);

        assertEquals(0, table.remainingQuarantine(REQUEST, 1));
        assertEquals(0, table.crashes(REQUEST));
    }

    /** One signal of a crash can be missed, and a third of the crashes may have none but the missing answer. */
    @Test
    void shouldQuarantineWhenOneOfThreeCrashesIsOnlySuspected() {
        crash("a", 1, 0, 0);
        suspect("b", 0);
        crash("c", 1, 0, 0);

        assertEquals(2_999, table.remainingQuarantine(REQUEST, 1));
        assertEquals(TEN_MINUTES - 3_000, table.remainingQuarantine(REQUEST, 3_000));
    }

    @Test
    void shouldReleaseWhenASuspectedEndpointSendsAHeartbeat() {
        crash("a", 1, 0, 0);
        suspect("b", 0);
        crash("c", 1, 0, 0);

        heartbeat("b", 1, 1_200);

        assertEquals(2, table.crashes(REQUEST));
        assertEquals(0, table.remainingQuarantine(REQUEST, 1_200));
    }

    /** A heartbeat on its way when the endpoint ended, or one of the next incarnation, is no sign of life. */
    @Test
    void shouldKeepTheSuspicionWhenAHeartbeatIsEarlierOrOfAnotherIncarnation() {
        suspect("a", 0);

        heartbeat("a", 1, 100);
        heartbeat("a", 2, 1_200);

        assertEquals(1, table.crashes(REQUEST));
    }

    @Test
    void shouldCountADisprovedCrashWhenItIsConfirmed() {
        suspect("a", 0);
        heartbeat("a", 1, 1_200);

        assertTrue(crash("a", 1, 0, 2_000));

        assertEquals(1, table.crashes(REQUEST));
    }

    /** Hosts pass on every change, so a crash and its clearing must not undo each other for ever. */
    @Test
    void shouldNotChangeWhenAClearedCrashIsReportedAgain() {
        crash("a", 1, 0, 0);
        answer(1);

        assertFalse(crash("a", 1, 2, 2));

        assertEquals(0, table.crashes(REQUEST));
        assertEquals(List.of(), table.clearing(REQUEST, 2));
    }

    @Test
    void shouldAgreeInAnyOrderWhenCrashesAndTheirClearingAreReported() {
        crashThreeEndpoints(0);
        List<EndpointCrash> reports = new ArrayList<>(table.all(0));
        reports.addAll(table.clearing(REQUEST, 0).subList(0, 2));
        for (long seed = 0; seed < 100; seed++) {
            Collections.shuffle(reports, new Random(seed));
            CrashTable other = new CrashTable();

            reports.forEach(report -> other.add(report, 0));

            assertEquals(1, other.crashes(REQUEST), "seed " + seed);
        }
    }

    @Test
    void shouldDoubleTheQuarantineWhenTheRequestCrashesAgainAfterItsRelease() {
        crashThreeEndpoints(0);
        assertEquals(0, table.remainingQuarantine(REQUEST, TEN_MINUTES));

        crash("a", 2, 0, TEN_MINUTES);

        assertEquals(2 * TEN_MINUTES, table.remainingQuarantine(REQUEST, TEN_MINUTES));
    }

    @Test
    void shouldQuarantineAgainWhenMoreCrashesHappenedThanAreRetained() {
        long now = 0;
        for (int started = 1; started < 40; started++) {
            crash("a", started, 0, now);
            now += table.remainingQuarantine(REQUEST, now);
        }

        crash("a", 100, 0, now);

        assertEquals(24 * HOUR, table.remainingQuarantine(REQUEST, now));
    }

    @Test
    void shouldAgreeWithTheSenderWhenAllCrashesAreSent() {
        crashThreeEndpoints(0);
        CrashTable other = new CrashTable();

        table.all(1_000).forEach(crash -> other.add(crash, 50_000));

        assertEquals(table.remainingQuarantine(REQUEST, 1_000), other.remainingQuarantine(REQUEST, 50_000));
    }

    @Test
    void shouldForgetWhenTheLastQuarantineIsLongPast() {
        crashThreeEndpoints(0);
        table.expire(TEN_MINUTES + HOUR);
        assertFalse(table.isEmpty());

        table.expire(TEN_MINUTES + HOUR + 1);

        assertTrue(table.isEmpty());
    }
}
