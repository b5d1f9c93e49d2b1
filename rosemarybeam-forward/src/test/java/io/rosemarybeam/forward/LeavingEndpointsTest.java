package io.rosemarybeam.forward;

import java.util.ArrayList;
import java.util.List;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.FailureDomain;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.wire.EndpointAnnouncement;
import io.rosemarybeam.common.wire.EndpointAnnouncement.State;
import io.rosemarybeam.decision.routing.EndpointDirectory;
import io.rosemarybeam.platform.EndpointAnswer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against requests to endpoints that leave, and against endpoints in use that are taken for leaving ones. */
class LeavingEndpointsTest {
    private static final int MISDIRECTED_REQUEST = 421;

    private final EndpointDirectory directory = new EndpointDirectory();
    private final List<EndpointAnnouncement> published = new ArrayList<>();
    private final LeavingEndpoints leaving = new LeavingEndpoints(directory, announcement -> {
        directory.merge(announcement, 0);
        published.add(announcement);
    });

    private EndpointAnnouncement announce(long started, long sequence, State state) {
        EndpointAnnouncement announcement = new EndpointAnnouncement(
                EndpointId.of("a"),
                started,
                sequence,
                ServiceName.of("desk"),
                "10.1.0.9:8080",
                FailureDomain.of("fes"),
                6,
                state,
                List.of(),
                "v1");
        directory.merge(announcement, 0);
        return announcement;
    }

    private State state() {
        return directory.find(EndpointId.of("a")).orElseThrow().state();
    }

    private static EndpointAnswer answer(int status, String value) {
        return new EndpointAnswer(status, new DefaultHttpHeaders().set("Server-Leaving", value));
    }

    @ParameterizedTest
    @ValueSource(ints = {200, 404, 429, 500, 503})
    void shouldTakeEndpointOutOfUseWhateverTheStatusOfTheAnswer(int status) {
        EndpointAnnouncement sentTo = announce(1, 1, State.READY);
        announce(1, 2, State.READY);

        leaving.observe(sentTo, answer(status, "1"));

        assertEquals(State.DRAINING, state());
        assertEquals(1, published.size());
    }

    @ParameterizedTest
    @ValueSource(strings = {"0", "", "true", "11"})
    void shouldKeepEndpointWhenTheHeaderHasAnotherValue(String value) {
        leaving.observe(announce(1, 1, State.READY), answer(200, value));

        assertEquals(State.READY, state());
    }

    @Test
    void shouldKeepEndpointWhenAnotherOneAnswered() {
        leaving.observe(announce(1, 1, State.READY), answer(MISDIRECTED_REQUEST, "1"));

        assertEquals(State.READY, state());
    }

    @Test
    void shouldKeepEndpointWhenAFormerStartAnswered() {
        EndpointAnnouncement former = announce(1, 1, State.READY);
        announce(2, 1, State.READY);

        leaving.observe(former, answer(200, "1"));

        assertEquals(State.READY, state());
    }

    @Test
    void shouldPublishOnceWhenSeveralAnswersSayIt() {
        EndpointAnnouncement sentTo = announce(1, 1, State.READY);

        leaving.observe(sentTo, answer(200, "1"));
        leaving.observe(sentTo, answer(200, "1"));

        assertEquals(1, published.size());
    }

    @Test
    void shouldStayDepartedWhenTheAnswerArrivesAfterTheDeparture() {
        EndpointAnnouncement sentTo = announce(1, 1, State.READY);
        directory.merge(sentTo.asDeparted(), 0);

        leaving.observe(sentTo, answer(200, "1"));

        assertEquals(State.GONE, state());
    }
}
