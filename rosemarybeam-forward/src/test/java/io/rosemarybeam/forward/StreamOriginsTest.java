package io.rosemarybeam.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.FailureDomain;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.wire.EndpointAnnouncement;
import io.rosemarybeam.common.wire.EndpointAnnouncement.State;
import io.rosemarybeam.common.wire.StreamOrigin;
import io.rosemarybeam.decision.routing.EndpointDirectory;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against streams that go on at a version that did not begin them, because a host guesses what it does not know. */
class StreamOriginsTest {
    private static final ServiceName DESK = ServiceName.of("desk");
    private static final ServiceName OTHER = ServiceName.of("other");

    private final EndpointDirectory directory = new EndpointDirectory();
    private boolean knowsAllEndpoints = true;
    private final StreamOrigins origins = StreamOrigins.local(directory, () -> knowsAllEndpoints);

    private void announce(String id, String softwareVersion) {
        directory.merge(
                new EndpointAnnouncement(
                        EndpointId.of(id),
                        1,
                        1,
                        DESK,
                        "10.0.0." + directory.all().size() + ":80",
                        FailureDomain.of("fes"),
                        6,
                        State.READY,
                        List.of(),
                        softwareVersion),
                0);
    }

    private Optional<StreamOrigin> find(String request, ServiceName... services) {
        List<Optional<StreamOrigin>> found = new ArrayList<>();
        origins.find(request, List.of(services), found::add);
        return found.getFirst();
    }

    @Test
    void shouldFindARecordedOriginWhenSeveralVersionsServe() {
        announce("a", "v1");
        announce("b", "v2");
        StreamOrigin origin = new StreamOrigin("r", DESK, "v2");
        origins.record(origin);

        assertEquals(Optional.of(origin), find("r", DESK));
        assertEquals(Optional.empty(), find("unknown", DESK));
    }

    @Test
    void shouldUseTheOnlyVersionOfAServiceOnlyWhileAllEndpointsAreKnown() {
        announce("a", "v1");

        assertEquals(Optional.of(new StreamOrigin("r", DESK, "v1")), find("r", DESK));
        knowsAllEndpoints = false;
        assertEquals(Optional.empty(), find("r", DESK));
    }

    @Test
    void shouldNotGuessTheServiceWhenTheRouteHasSeveral() {
        announce("a", "v1");

        assertEquals(Optional.empty(), find("r", DESK, OTHER));
    }
}
