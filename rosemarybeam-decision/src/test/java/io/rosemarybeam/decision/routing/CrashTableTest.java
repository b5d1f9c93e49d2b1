package io.rosemarybeam.decision.routing;

import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.Fingerprint;
import io.rosemarybeam.common.wire.EndpointCrash;
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
        return table.add(new EndpointCrash(REQUEST, EndpointId.of(endpoint), started, age), now);
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

    @Test
    void shouldClearWhenTheRequestIsAnswered() {
        crashThreeEndpoints(0);

        assertTrue(table.clear(REQUEST));

        assertEquals(0, table.remainingQuarantine(REQUEST, 1));
        assertTrue(table.isEmpty());
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
