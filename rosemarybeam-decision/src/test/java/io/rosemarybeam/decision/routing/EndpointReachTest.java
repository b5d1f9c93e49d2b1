package io.rosemarybeam.decision.routing;

import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.FailureDomain;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.wire.EndpointAnnouncement;
import io.rosemarybeam.common.wire.EndpointAnnouncement.State;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a host that does not notice the loss of its links, or takes one endpoint that is down for it. */
class EndpointReachTest {
    private static final ServiceName SERVICE = ServiceName.of("desk");

    private final EndpointReach reach = new EndpointReach();

    private static List<EndpointAnnouncement> endpoints(int count) {
        return IntStream.range(0, count)
                .mapToObj(number -> new EndpointAnnouncement(
                        EndpointId.of("e-" + number),
                        1,
                        1,
                        SERVICE,
                        "10.0.0.1:80",
                        FailureDomain.of("fes"),
                        6,
                        State.READY,
                        List.of(),
                        "v1"))
                .toList();
    }

    private int begin(int count, long now) {
        assertFalse(reach.begin(SERVICE, endpoints(count), now).isEmpty());
        return reach.round(SERVICE);
    }

    @Test
    void shouldBeCutOffWhenAllConnectionsAreRefused() {
        int round = begin(4, 0);
        reach.recordFailed(SERVICE, round);
        assertFalse(reach.isCutOff(SERVICE));

        reach.recordFailed(SERVICE, round);

        assertEquals(Set.of(SERVICE), reach.cutOffServices());
    }

    @Test
    void shouldBeCutOffWhenNoConnectionIsAcceptedInTime() {
        int round = begin(4, 0);

        reach.recordTimeout(SERVICE, round);

        assertTrue(reach.isCutOff(SERVICE));
    }

    @Test
    void shouldNotBeCutOffWhenOneEndpointAcceptsAndOneIsDown() {
        int round = begin(4, 0);
        reach.recordFailed(SERVICE, round);

        reach.recordReached(SERVICE, 5);
        reach.recordTimeout(SERVICE, round);

        assertFalse(reach.isCutOff(SERVICE));
    }

    @Test
    void shouldIgnoreResultsOfAnEarlierVerification() {
        int first = begin(4, 0);
        reach.recordTimeout(SERVICE, first);
        reach.recordReached(SERVICE, 100);
        begin(4, 1_000);

        reach.recordFailed(SERVICE, first);
        reach.recordTimeout(SERVICE, first);

        assertFalse(reach.isCutOff(SERVICE));
        assertTrue(reach.isVerifying(SERVICE));
    }

    @Test
    void shouldNotVerifyAgainWhenAnEndpointAcceptedLately() {
        begin(4, 0);
        reach.recordReached(SERVICE, 5);

        assertEquals(List.of(), reach.begin(SERVICE, endpoints(4), 100));
    }

    /** Only some endpoints may be within reach again, so the next verification must try others. */
    @Test
    void shouldTryOtherEndpointsWhenAVerificationIsRepeated() {
        List<EndpointAnnouncement> first = reach.begin(SERVICE, endpoints(4), 0);
        reach.recordTimeout(SERVICE, reach.round(SERVICE));

        assertNotEquals(first, reach.begin(SERVICE, endpoints(4), 250));
    }
}
