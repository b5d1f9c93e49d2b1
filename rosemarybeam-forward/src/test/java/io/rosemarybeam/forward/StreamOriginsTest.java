package io.rosemarybeam.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.FailureDomain;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.wire.EndpointAnnouncement;
import io.rosemarybeam.common.wire.EndpointAnnouncement.State;
import io.rosemarybeam.common.wire.StreamOrigin;
import io.rosemarybeam.decision.routing.EndpointDirectory;
import io.rosemarybeam.forward.StreamOrigins.Basis;
import io.rosemarybeam.forward.StreamOrigins.Finding;
import io.rosemarybeam.forward.StreamOrigins.SearchResult;
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
        origins.find(request, List.of(services), Forwarder.now(), finding -> found.add(finding.origin()));
        return found.getFirst();
    }

    @Test
    void shouldFindARecordedOriginWhenSeveralVersionsServe() {
        announce("a", "v1");
        announce("b", "v2");
        StreamOrigin origin = new StreamOrigin("r", DESK, "v2");
        origins.record(origin, Forwarder.now());

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

    /** A caller would lose its stream although the store hosts hear of it some moments after their start. */
    @Test
    void shouldAskAgainWhileTheHostsThatAnsweredHaveJustStarted() {
        announce("a", "v1");
        announce("b", "v2");
        StreamOrigin origin = new StreamOrigin("r", DESK, "v2");
        StartingHosts hosts = new StartingHosts(3, Optional.of(origin));

        assertEquals(List.of(Optional.of(origin)), hosts.find(Forwarder.now() + 60_000));
        assertEquals(3, hosts.searches);
    }

    @Test
    void shouldGiveUpWhenTheCallerCannotWaitForHostsThatHaveJustStarted() {
        announce("a", "v1");
        announce("b", "v2");
        StartingHosts hosts = new StartingHosts(3, Optional.empty());

        assertEquals(List.of(Optional.empty()), hosts.find(Forwarder.now()));
        assertEquals(1, hosts.searches);
    }

    @Test
    void shouldSendAgainOnlyTheOriginsOfStreamsThatMayBeResumed() {
        StreamOrigin open = new StreamOrigin("open", DESK, "v1");
        origins.record(new StreamOrigin("over", DESK, "v1"), Forwarder.now() - 1);
        origins.record(open, Forwarder.now() + 60_000);

        assertEquals(List.of(open), origins.resumable());
    }

    /** Hosts that know an origin only at a later search, and until then cannot tell whether it exists. */
    private final class StartingHosts implements StreamOrigins.Remote {
        private final int knownAtSearch;
        private final Optional<StreamOrigin> origin;
        private int searches;

        StartingHosts(int knownAtSearch, Optional<StreamOrigin> origin) {
            this.knownAtSearch = knownAtSearch;
            this.origin = origin;
        }

        List<Optional<StreamOrigin>> find(long waitUntil) {
            List<Optional<StreamOrigin>> found = new ArrayList<>();
            new StreamOrigins(directory, this)
                    .find("r", List.of(DESK), waitUntil, finding -> found.add(finding.origin()));
            return found;
        }

        @Override
        public void publish(StreamOrigin published) {
            throw new IllegalStateException("nothing begins in this test");
        }

        @Override
        public void find(String request, List<ServiceName> services, Consumer<SearchResult> onResult) {
            searches++;
            boolean isKnown = searches >= knownAtSearch;
            onResult.accept(new SearchResult(isKnown ? origin : Optional.empty(), isKnown, Optional.empty()));
        }

        @Override
        public void schedule(Runnable task, long delay) {
            task.run();
        }
    }

    private Finding findWhereOthersHeardOf(Optional<Set<String>> versions, ServiceName... services) {
        List<Finding> found = new ArrayList<>();
        new StreamOrigins(directory, new StreamOrigins.Remote() {
                    @Override
                    public void publish(StreamOrigin origin) {
                        throw new IllegalStateException("nothing begins in this test");
                    }

                    @Override
                    public void find(String request, List<ServiceName> asked, Consumer<SearchResult> onResult) {
                        onResult.accept(new SearchResult(Optional.empty(), true, versions));
                    }

                    @Override
                    public void schedule(Runnable task, long delay) {
                        throw new IllegalStateException("the result is certain");
                    }
                })
                .find("r", List.of(services), Forwarder.now(), found::add);
        return found.getFirst();
    }

    /** After a restart, the first endpoint to announce itself was taken for the only one that had served. */
    @Test
    void shouldDeriveAnOriginOnlyWhenOtherHostsRuleOutASecondVersion() {
        announce("b", "v2");
        StreamOrigin derived = new StreamOrigin("r", DESK, "v2");

        assertEquals(new Finding(Optional.empty(), Basis.UNKNOWN), findWhereOthersHeardOf(Optional.empty(), DESK));
        assertEquals(
                new Finding(Optional.empty(), Basis.UNKNOWN),
                findWhereOthersHeardOf(Optional.of(Set.of("v1", "v2")), DESK));
        assertEquals(
                new Finding(Optional.empty(), Basis.UNKNOWN), findWhereOthersHeardOf(Optional.of(Set.of("v1")), DESK));
        assertEquals(
                new Finding(Optional.of(derived), Basis.ONLY_VERSION),
                findWhereOthersHeardOf(Optional.of(Set.of("v2")), DESK));
    }
}
