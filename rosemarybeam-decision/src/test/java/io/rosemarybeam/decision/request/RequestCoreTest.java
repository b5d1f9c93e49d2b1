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
import static io.rosemarybeam.decision.request.CoreFixture.all;
import static io.rosemarybeam.decision.request.CoreFixture.endpoint;
import static io.rosemarybeam.decision.request.CoreFixture.only;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against dispatch without lease, share or claim, repeated non-idempotent work and untrue statements about what
 * was run.
 */
class RequestCoreTest {
    private final CoreFixture fixture = new CoreFixture();

    @Test
    void shouldFinishWhenTheAttemptCompletes() {
        fixture.members(endpoint("e1", MODEL, 8));
        StartAttempt start = only(StartAttempt.class, fixture.arrive(new RequestBuilder("r1")));
        List<RequestCommand> commands = fixture.give(new RequestInput.AttemptCompleted(start.attempt(), 10));
        assertEquals(start.attempt(), only(FinishRequest.class, commands).attempt());
        assertTrue(fixture.give(new RequestInput.AttemptCompleted(start.attempt(), 10))
                .isEmpty());
    }

    @Test
    void shouldRefuseNotRunWhenTheLeaseLapses() {
        RequestCore core = RequestCore.of(CoreFixture.settings(1));
        assertEquals(
                ErrorCode.LEASE_LAPSED,
                only(RefuseRequest.class, core.handle(0, new RequestBuilder("r0").build()))
                        .code());
        core.handle(0, new RequestInput.ConfigurationActivated(CoreFixture.configuration(1, CoreFixture.limits(1, 9))));
        core.handle(0, new RequestInput.LeaseRenewed(100));
        core.handle(0, new RequestInput.SharesAssigned(Map.of(MODEL, 1)));
        core.handle(0, CoreFixture.membership(endpoint("e1", MODEL, 8)));
        StartAttempt start = only(StartAttempt.class, core.handle(1, new RequestBuilder("r1").build()));
        assertEquals(100, start.dispatchDeadlineMilliseconds());
        core.handle(2, new RequestBuilder("r2").build());
        List<RequestCommand> late = core.handle(100, new RequestInput.AttemptCompleted(start.attempt(), 1));
        assertEquals("r1", only(FinishRequest.class, late).request().value());
        assertEquals(RunState.NOT_RUN, only(RefuseRequest.class, late).runState());
        assertTrue(all(StartAttempt.class, late).isEmpty());
    }

    @Test
    void shouldNotDispatchWhenTheClaimIsGrantedTooLate() {
        fixture.members(endpoint("e1", PLAIN, 8));
        RequestClaim claim = only(
                RequestClaim.class,
                fixture.arrive(new RequestBuilder("r1").service(PLAIN).key("k1")));
        fixture.now += claim.dispatchWindowMilliseconds();
        List<RequestCommand> commands = fixture.give(
                new RequestInput.ClaimAnswered(claim.request(), ClaimState.GRANTED, Optional.empty(), fixture.now));
        assertTrue(all(StartAttempt.class, commands).isEmpty());
        assertEquals(RunState.NOT_RUN, only(RefuseRequest.class, commands).runState());
        assertTrue(only(RecordOutcome.class, commands).completedBy().isEmpty());
    }

    @Test
    void shouldAnswerUnknownWhenANonIdempotentAttemptBreaks() {
        fixture.members(endpoint("e1", PLAIN, 8), endpoint("e2", PLAIN, 8));
        StartAttempt start = only(
                StartAttempt.class,
                fixture.arrive(new RequestBuilder("r1").service(PLAIN).notIdempotent()));
        fixture.give(new RequestInput.AttemptSent(start.attempt()));
        RefuseRequest refused = only(RefuseRequest.class, fixture.fail(start.attempt(), AttemptFailure.BROKEN));
        assertEquals(RunState.UNKNOWN, refused.runState());
        List<RequestCommand> later = fixture.advance(2_000);
        assertEquals(List.of(only(RequestCommand.ReportCrash.class, later)), later);
    }

    @Test
    void shouldRunAgainElsewhereWhenAnIdempotentAttemptFails() {
        fixture.members(endpoint("e1", MODEL, 8), endpoint("e2", MODEL, 8));
        StartAttempt start = only(StartAttempt.class, fixture.arrive(new RequestBuilder("r1")));
        fixture.fail(start.attempt(), AttemptFailure.CONNECT_FAILED);
        StartAttempt second = only(StartAttempt.class, fixture.advance(200));
        assertTrue(!second.endpoint().equals(start.endpoint()));
    }
}
