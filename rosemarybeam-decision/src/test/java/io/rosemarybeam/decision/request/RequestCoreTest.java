package io.rosemarybeam.decision.request;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.wire.ControlReply.ClaimState;
import io.rosemarybeam.decision.request.RequestCommand.FinishRequest;
import io.rosemarybeam.decision.request.RequestCommand.RecordOutcome;
import io.rosemarybeam.decision.request.RequestCommand.RefuseRequest;
import io.rosemarybeam.decision.request.RequestCommand.RequestClaim;
import io.rosemarybeam.decision.request.RequestCommand.RunState;
import io.rosemarybeam.decision.request.RequestCommand.StartAttempt;
import io.rosemarybeam.decision.request.RequestInput.AttemptFailure;
import org.junit.jupiter.api.Test;

import static io.rosemarybeam.decision.request.CoreFixture.MODEL;
import static io.rosemarybeam.decision.request.CoreFixture.PLAIN;
import static io.rosemarybeam.decision.request.CoreFixture.allOf;
import static io.rosemarybeam.decision.request.CoreFixture.endpoint;
import static io.rosemarybeam.decision.request.CoreFixture.single;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against dispatch without lease, share or claim, repeated runs of non-idempotent requests and replies that
 * state a false run state.
 */
class RequestCoreTest {
    private final CoreFixture fixture = new CoreFixture();

    @Test
    void shouldFinishWhenTheAttemptCompletes() {
        fixture.updateEndpoints(endpoint("e1", MODEL, 8));
        StartAttempt start = single(StartAttempt.class, fixture.arrive(new RequestBuilder("r1")));
        List<RequestCommand> commands = fixture.handle(new RequestInput.AttemptCompleted(start.attempt(), 10));
        assertEquals(start.attempt(), single(FinishRequest.class, commands).attempt());
        assertTrue(fixture.handle(new RequestInput.AttemptCompleted(start.attempt(), 10))
                .isEmpty());
    }

    @Test
    void shouldRefuseNotRunWhenTheLeaseLapses() {
        RequestCore core = RequestCore.of(CoreFixture.settings(1));
        assertEquals(
                ErrorCode.LEASE_LAPSED,
                single(RefuseRequest.class, core.handle(0, new RequestBuilder("r0").build()))
                        .code());
        core.handle(0, new RequestInput.ConfigurationActivated(CoreFixture.configuration(1, CoreFixture.limits(1, 9))));
        core.handle(0, new RequestInput.LeaseRenewed(100));
        core.handle(0, new RequestInput.SharesAssigned(Map.of(MODEL, 1)));
        core.handle(0, CoreFixture.endpointsChanged(endpoint("e1", MODEL, 8)));
        StartAttempt start = single(StartAttempt.class, core.handle(1, new RequestBuilder("r1").build()));
        assertEquals(100, start.dispatchDeadlineMilliseconds());
        core.handle(2, new RequestBuilder("r2").build());
        List<RequestCommand> late = core.handle(100, new RequestInput.AttemptCompleted(start.attempt(), 1));
        assertEquals("r1", single(FinishRequest.class, late).request().value());
        assertEquals(RunState.NOT_RUN, single(RefuseRequest.class, late).runState());
        assertTrue(allOf(StartAttempt.class, late).isEmpty());
    }

    @Test
    void shouldNotDispatchWhenTheClaimIsGrantedTooLate() {
        fixture.updateEndpoints(endpoint("e1", PLAIN, 8));
        RequestClaim claim = single(
                RequestClaim.class,
                fixture.arrive(new RequestBuilder("r1").service(PLAIN).key("k1")));
        fixture.now += claim.dispatchWindowMilliseconds();
        List<RequestCommand> commands = fixture.handle(
                new RequestInput.ClaimAnswered(claim.request(), ClaimState.GRANTED, Optional.empty(), fixture.now));
        assertTrue(allOf(StartAttempt.class, commands).isEmpty());
        assertEquals(RunState.NOT_RUN, single(RefuseRequest.class, commands).runState());
        assertTrue(single(RecordOutcome.class, commands).completedBy().isEmpty());
    }

    @Test
    void shouldAnswerUnknownWhenANonIdempotentAttemptBreaks() {
        fixture.updateEndpoints(endpoint("e1", PLAIN, 8), endpoint("e2", PLAIN, 8));
        StartAttempt start = single(
                StartAttempt.class,
                fixture.arrive(new RequestBuilder("r1").service(PLAIN).notIdempotent()));
        fixture.handle(new RequestInput.AttemptSent(start.attempt()));
        RefuseRequest refused = single(RefuseRequest.class, fixture.fail(start.attempt(), AttemptFailure.BROKEN));
        assertEquals(RunState.UNKNOWN, refused.runState());
        List<RequestCommand> later = fixture.advance(2_000);
        assertEquals(List.of(single(RequestCommand.ReportCrash.class, later)), later);
    }

    @Test
    void shouldRunAgainElsewhereWhenAnIdempotentAttemptFails() {
        fixture.updateEndpoints(endpoint("e1", MODEL, 8), endpoint("e2", MODEL, 8));
        StartAttempt start = single(StartAttempt.class, fixture.arrive(new RequestBuilder("r1")));
        fixture.fail(start.attempt(), AttemptFailure.CONNECT_FAILED);
        StartAttempt second = single(StartAttempt.class, fixture.advance(200));
        assertTrue(!second.endpoint().equals(start.endpoint()));
    }
}
