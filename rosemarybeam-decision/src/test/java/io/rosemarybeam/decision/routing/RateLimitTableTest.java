package io.rosemarybeam.decision.routing;

import java.util.List;
import java.util.OptionalDouble;

import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.wire.EndpointRateLimit;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against hosts that disagree for ever about a limit, or exceed one that another host has observed. */
class RateLimitTableTest {
    private static final EndpointId ENDPOINT = EndpointId.of("e");

    private final RateLimitTable table = new RateLimitTable();

    @Test
    void shouldReportAChangeOnlyWhenAnAnswerNamesAnotherLimit() {
        assertTrue(table.observe(ENDPOINT, OptionalDouble.of(1.5), 0).isPresent());
        assertTrue(table.observe(ENDPOINT, OptionalDouble.of(1.5), 0).isEmpty());
        assertTrue(table.observe(ENDPOINT, OptionalDouble.empty(), 0).isPresent());

        assertFalse(table.find(ENDPOINT).isLimited());
    }

    @Test
    void shouldAgreeWhenHostsMergeTheSameLimitsInAnyOrder() {
        EndpointRateLimit named = new EndpointRateLimit(ENDPOINT, 1, 2);
        EndpointRateLimit lower = new EndpointRateLimit(ENDPOINT, 1, 1);
        EndpointRateLimit withdrawn = new EndpointRateLimit(ENDPOINT, 2, EndpointRateLimit.UNLIMITED);
        RateLimitTable other = new RateLimitTable();
        List.of(named, lower, withdrawn).forEach(limit -> table.merge(limit, 0));
        List.of(withdrawn, lower, named).forEach(limit -> other.merge(limit, 0));

        assertEquals(table.all(), other.all());
        assertEquals(withdrawn, table.find(ENDPOINT));
    }

    @Test
    void shouldUseTheLowerLimitWhenTwoHostsObserveDifferentOnesAtOnce() {
        table.observe(ENDPOINT, OptionalDouble.of(3), 0);

        assertTrue(table.merge(new EndpointRateLimit(ENDPOINT, 1, 2), 0));
        assertFalse(table.merge(new EndpointRateLimit(ENDPOINT, 1, 3), 0));
    }

    @Test
    void shouldForgetALimitWhenItsEndpointIsNoLongerKnown() {
        table.observe(ENDPOINT, OptionalDouble.of(3), 0);
        table.retain(endpoint -> false, EndpointDirectory.RETENTION_MILLISECONDS + 1);

        assertEquals(List.of(), table.all());
    }

    /** A store host that starts hears of the limits from the edges before it hears of the endpoints. */
    @Test
    void shouldKeepALimitWhenItsEndpointIsNotKnownYet() {
        table.merge(new EndpointRateLimit(ENDPOINT, 1, 3), 0);
        table.retain(endpoint -> false, 250);

        assertTrue(table.find(ENDPOINT).isLimited());
    }
}
