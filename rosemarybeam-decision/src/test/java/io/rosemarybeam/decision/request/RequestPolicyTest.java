package io.rosemarybeam.decision.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.rosemarybeam.common.configuration.ServiceConfiguration;
import io.rosemarybeam.common.configuration.ServiceConfiguration.Deadlines;
import io.rosemarybeam.common.configuration.ServiceConfiguration.ServiceClass;
import io.rosemarybeam.common.configuration.ServiceConfiguration.Training;
import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.FailureDomain;
import io.rosemarybeam.common.id.Fingerprint;
import io.rosemarybeam.common.id.TrainerName;
import io.rosemarybeam.common.id.WeightVersion;
import io.rosemarybeam.common.wire.ControlReply.ClaimState;
import io.rosemarybeam.decision.request.RequestCommand.CancelAttempt;
import io.rosemarybeam.decision.request.RequestCommand.RecordOutcome;
import io.rosemarybeam.decision.request.RequestCommand.RefuseRequest;
import io.rosemarybeam.decision.request.RequestCommand.ReportCrash;
import io.rosemarybeam.decision.request.RequestCommand.RequestClaim;
import io.rosemarybeam.decision.request.RequestCommand.RunState;
import io.rosemarybeam.decision.request.RequestCommand.StartAttempt;
import io.rosemarybeam.decision.request.RequestInput.AttemptFailure;
import org.junit.jupiter.api.Test;

import static io.rosemarybeam.decision.request.CoreFixture.LOCAL_DOMAIN;
import static io.rosemarybeam.decision.request.CoreFixture.MODEL;
import static io.rosemarybeam.decision.request.CoreFixture.PLAIN;
import static io.rosemarybeam.decision.request.CoreFixture.allOf;
import static io.rosemarybeam.decision.request.CoreFixture.endpoint;
import static io.rosemarybeam.decision.request.CoreFixture.limits;
import static io.rosemarybeam.decision.request.CoreFixture.single;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a policy of the request core that has no effect, or the wrong one, in the situation it exists for. */
class RequestPolicyTest {
    private final CoreFixture fixture = new CoreFixture();

    private StartAttempt start(RequestBuilder request) {
        return single(StartAttempt.class, fixture.arrive(request));
    }

    private List<StartAttempt> starts(int count, String prefix) {
        List<StartAttempt> starts = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            starts.addAll(allOf(StartAttempt.class, fixture.arrive(new RequestBuilder(prefix + index))));
        }
        starts.forEach(started -> fixture.handle(new RequestInput.AttemptSent(started.attempt())));
        return starts;
    }

    @Test
    void shouldResumeOnTheSameVersionWhenAStreamBreaks() {
        fixture.updateEndpoints(endpoint("e1", MODEL, 8), endpoint("e2", MODEL, 8, 1, LOCAL_DOMAIN, 8));
        StartAttempt first = start(new RequestBuilder("r1").avoid("e2"));
        fixture.handle(new RequestInput.AttemptProgressed(first.attempt(), 6, Optional.of(WeightVersion.of(7)), true));
        fixture.fail(first.attempt(), AttemptFailure.SILENT);
        StartAttempt second = single(StartAttempt.class, fixture.advance(100));
        assertEquals(6, second.resumeOffset());
        assertFalse(second.spliced());
    }

    @Test
    void shouldMarkTheSpliceWhenOnlyAnotherVersionRemains() {
        fixture.updateEndpoints(endpoint("e1", MODEL, 8));
        StartAttempt seen = single(StartAttempt.class, fixture.arrive(new RequestBuilder("r1")));
        StartAttempt unseen = single(StartAttempt.class, fixture.arrive(new RequestBuilder("r2")));
        fixture.handle(new RequestInput.AttemptProgressed(seen.attempt(), 6, Optional.of(WeightVersion.of(7)), true));
        fixture.handle(
                new RequestInput.AttemptProgressed(unseen.attempt(), 6, Optional.of(WeightVersion.of(7)), false));
        fixture.updateEndpoints(endpoint("e1", MODEL, 8).asLeaving(), endpoint("e2", MODEL, 8, 1, LOCAL_DOMAIN, 8));
        fixture.fail(seen.attempt(), AttemptFailure.SILENT);
        fixture.fail(unseen.attempt(), AttemptFailure.SILENT);
        Map<String, StartAttempt> again = new HashMap<>();
        allOf(StartAttempt.class, fixture.advance(100))
                .forEach(start -> again.put(start.request().value(), start));
        assertTrue(again.get("r1").spliced() && again.get("r1").resumeOffset() == 6);
        assertTrue(!again.get("r2").spliced() && again.get("r2").resumeOffset() == 0);
    }

    @Test
    void shouldNotRepeatWhenTheCallerHasSeenAPartOfAPlainAnswer() {
        fixture.updateEndpoints(endpoint("e1", PLAIN, 8), endpoint("e2", PLAIN, 8));
        StartAttempt first = start(new RequestBuilder("r1").service(PLAIN));
        fixture.handle(new RequestInput.AttemptProgressed(first.attempt(), 100, Optional.empty(), true));
        RefuseRequest refused = single(RefuseRequest.class, fixture.fail(first.attempt(), AttemptFailure.BROKEN));
        assertEquals(RunState.RUN, refused.runState());
    }

    // Guards against a second run of a key after an unknown outcome, also when the control process grants the claim
    // again.
    @Test
    void shouldNotRunTwiceWhenACallerResendsWhileTheFirstRuns() {
        fixture.updateEndpoints(endpoint("e1", PLAIN, 8));
        RequestClaim claim = single(
                RequestClaim.class,
                fixture.arrive(new RequestBuilder("r1").service(PLAIN).key("k")));
        List<RequestCommand> resend =
                fixture.arrive(new RequestBuilder("r2").service(PLAIN).key("k").fingerprint("fingerprint-r1"));
        assertEquals(
                ErrorCode.REQUEST_IN_PROGRESS,
                single(RefuseRequest.class, resend).code());
        assertEquals(
                ErrorCode.KEY_REUSED,
                single(
                                RefuseRequest.class,
                                fixture.arrive(
                                        new RequestBuilder("r3").service(PLAIN).key("k")))
                        .code());
        StartAttempt started = single(StartAttempt.class, fixture.handle(granted(claim)));
        fixture.handle(new RequestInput.AttemptSent(started.attempt()));
        assertEquals(
                RunState.UNKNOWN,
                single(RefuseRequest.class, fixture.fail(started.attempt(), AttemptFailure.BROKEN))
                        .runState());
        RequestClaim again = single(
                RequestClaim.class,
                fixture.arrive(new RequestBuilder("r4").service(PLAIN).key("k").fingerprint("fingerprint-r1")));
        List<RequestCommand> repeatedGrant = fixture.handle(granted(again));
        assertTrue(allOf(StartAttempt.class, repeatedGrant).isEmpty());
        assertEquals(
                ErrorCode.OUTCOME_UNKNOWN,
                single(RefuseRequest.class, repeatedGrant).code());
    }

    @Test
    void shouldReleaseTheClaimWhenItIsGrantedAfterTheCallerDisconnected() {
        fixture.updateEndpoints(endpoint("e1", PLAIN, 8));
        RequestClaim claim = single(
                RequestClaim.class,
                fixture.arrive(new RequestBuilder("r1").service(PLAIN).key("k")));
        assertTrue(fixture.handle(new RequestInput.RequestCancelled(claim.request()))
                .isEmpty());
        List<RequestCommand> late = fixture.handle(granted(claim));
        assertTrue(single(RecordOutcome.class, late).completedBy().isEmpty());
        assertTrue(allOf(StartAttempt.class, late).isEmpty());
    }

    private RequestInput granted(RequestClaim claim) {
        return new RequestInput.ClaimAnswered(
                claim.request(),
                ClaimState.GRANTED,
                Optional.empty(),
                fixture.now + claim.dispatchWindowMilliseconds());
    }

    @Test
    void shouldResumePreemptedTrainingWhenTheCustomersAreServed() {
        fixture.updateEndpoints(endpoint("e1", MODEL, 1));
        StartAttempt sample = start(new RequestBuilder("sample").training("trainer-a"));
        assertEquals(10, sample.enginePriority());
        fixture.handle(
                new RequestInput.AttemptProgressed(sample.attempt(), 4, Optional.of(WeightVersion.of(7)), false));
        List<RequestCommand> commands = fixture.arrive(new RequestBuilder("customer"));
        assertEquals(sample.attempt(), single(CancelAttempt.class, commands).attempt());
        StartAttempt customer = single(StartAttempt.class, commands);
        assertEquals("customer", customer.request().value());
        StartAttempt resumed =
                single(StartAttempt.class, fixture.handle(new RequestInput.AttemptCompleted(customer.attempt(), 10)));
        assertEquals("sample", resumed.request().value());
        assertEquals(4, resumed.resumeOffset());
        assertNotEquals(sample.attempt(), resumed.attempt());
    }

    @Test
    void shouldShareBetweenTrainersByWeightWhenBothWait() {
        int served = countAnswersOfHeavierTrainer(fixture);
        assertTrue(
                served >= 66 && served <= 78,
                "answers of 100 for the trainer with three quarters of the weight: " + served);
        assertEquals(0, countAnswersOfHeavierTrainer(new CoreFixture(RequestPolicy.FAIR_SHARING)), "served by arrival");
    }

    /**
     * Returns how many of the first hundred answers go to the trainer that came second but weighs three times as much.
     */
    private static int countAnswersOfHeavierTrainer(CoreFixture fixture) {
        fixture.handle(new RequestInput.ConfigurationActivated(CoreFixture.configuration(
                2,
                ServiceConfiguration.builder(MODEL, ServiceClass.MODEL)
                        .limits(limits(8, 1_000))
                        .training(Optional.of(
                                new Training(2, 0.5, 0.5, Map.of(TrainerName.of("a"), 3, TrainerName.of("b"), 1)))),
                ServiceConfiguration.builder(PLAIN, ServiceClass.PLAIN))));
        fixture.updateEndpoints(endpoint("e1", MODEL, 8));
        List<StartAttempt> open = new ArrayList<>();
        for (int index = 0; index < 400; index++) {
            String trainer = index < 200 ? "b" : "a";
            open.addAll(
                    allOf(StartAttempt.class, fixture.arrive(new RequestBuilder(trainer + index).training(trainer))));
        }
        int served = 0;
        for (int index = 0; index < 100; index++) {
            StartAttempt ended = open.removeFirst();
            served += ended.request().value().startsWith("a") ? 1 : 0;
            open.addAll(
                    allOf(StartAttempt.class, fixture.handle(new RequestInput.AttemptCompleted(ended.attempt(), 10))));
        }
        return served;
    }

    @Test
    void shouldShedTrainingFirstWhenTheQueueIsFull() {
        fixture.handle(new RequestInput.ConfigurationActivated(CoreFixture.configuration(2, limits(1, 2))));
        fixture.updateEndpoints(endpoint("e1", MODEL, 1));
        start(new RequestBuilder("running"));
        fixture.arrive(new RequestBuilder("sample").training("a"));
        fixture.arrive(new RequestBuilder("customer-1"));
        RefuseRequest shed = single(RefuseRequest.class, fixture.arrive(new RequestBuilder("customer-2")));
        assertEquals("sample", shed.request().value());
        RefuseRequest refused = single(RefuseRequest.class, fixture.arrive(new RequestBuilder("customer-3")));
        assertEquals("customer-3", refused.request().value());
        assertEquals(RunState.NOT_RUN, refused.runState());
        assertTrue(refused.retryAfterMilliseconds() > 0);
    }

    @Test
    void shouldRefuseEarlyWithTheDrainTimeWhenTheDeadlineCannotBeMet() {
        fixture.updateEndpoints(endpoint("e1", MODEL, 1));
        for (int index = 0; index < 5; index++) {
            StartAttempt started = start(new RequestBuilder("warm" + index));
            fixture.advance(200);
            fixture.handle(new RequestInput.AttemptCompleted(started.attempt(), 10));
        }
        List<RefuseRequest> refused = new ArrayList<>();
        for (int index = 0; index < 20; index++) {
            refused.addAll(allOf(
                    RefuseRequest.class,
                    fixture.arrive(new RequestBuilder("r" + index).deadline(fixture.now + 1_000))));
        }
        assertTrue(refused.size() >= 14, "refused at arrival: " + refused.size());
        for (RefuseRequest refusal : refused) {
            assertEquals(RunState.NOT_RUN, refusal.runState());
            assertTrue(refusal.retryAfterMilliseconds() >= 400 && refusal.retryAfterMilliseconds() <= 2_000);
        }
    }

    // Guards against run-time estimates from the token limit of a request alone, which refuse requests that finish in
    // time.
    @Test
    void shouldNotRefuseWhenCallersAllowFarMoreTokensThanTheyGet() {
        fixture.updateEndpoints(endpoint("e1", MODEL, 1));
        for (int index = 0; index < 5; index++) {
            StartAttempt started = start(new RequestBuilder("warm" + index));
            fixture.advance(200);
            fixture.handle(new RequestInput.AttemptCompleted(started.attempt(), 10));
        }
        start(new RequestBuilder("running"));
        fixture.arrive(new RequestBuilder("ahead"));
        long deadline = fixture.now + 1_000;
        assertTrue(fixture.arrive(new RequestBuilder("r").tokens(4_096).deadline(deadline))
                .isEmpty());
    }

    @Test
    void shouldRefuseQueuedRequestsSoonWhenAllEndpointsAreLeaving() {
        fixture.updateEndpoints(endpoint("e1", MODEL, 1));
        start(new RequestBuilder("running"));
        fixture.arrive(new RequestBuilder("waiting"));
        fixture.updateEndpoints(endpoint("e1", MODEL, 1).asLeaving());
        RefuseRequest refused = single(RefuseRequest.class, fixture.advance(2_000));
        assertEquals("waiting", refused.request().value());
        assertEquals(ErrorCode.NO_ENDPOINT, refused.code());
    }

    @Test
    void shouldEjectAtMostHalfOfTheEndpointsWhenAllFail() {
        fixture.updateEndpoints(
                endpoint("e1", PLAIN, 8), endpoint("e2", PLAIN, 8), endpoint("e3", PLAIN, 8), endpoint("e4", PLAIN, 8));
        Set<String> used = new HashSet<>();
        for (int index = 0; index < 60; index++) {
            List<StartAttempt> starts = allOf(
                    StartAttempt.class,
                    fixture.arrive(
                            new RequestBuilder("r" + index).service(PLAIN).notIdempotent()));
            for (StartAttempt started : starts) {
                if (index >= 40) {
                    used.add(started.endpoint().value());
                }
                fixture.handle(new RequestInput.AttemptSent(started.attempt()));
                fixture.fail(started.attempt(), AttemptFailure.ERROR_ANSWER);
            }
        }
        assertEquals(2, used.size(), "endpoints in use after all failed: " + used);
    }

    // Guards against ejecting endpoints because the whole service is overloaded and refuses everywhere.
    @Test
    void shouldEjectOnlyTheEndpointThatRefusesMoreThanTheOthers() {
        fixture.updateEndpoints(endpoint("e1", PLAIN, 8), endpoint("e2", PLAIN, 8), endpoint("e3", PLAIN, 8));
        Set<String> used = new HashSet<>();
        for (int index = 0; index < 120; index++) {
            RequestBuilder request =
                    new RequestBuilder("r" + index).service(PLAIN).notIdempotent();
            StartAttempt started = start(request);
            fixture.handle(new RequestInput.AttemptSent(started.attempt()));
            boolean refuses = started.endpoint().value().equals("e1") || index % 3 == 0;
            fixture.handle(
                    refuses
                            ? new RequestInput.AttemptFailed(started.attempt(), AttemptFailure.REFUSED_NOT_RUN)
                            : new RequestInput.AttemptCompleted(started.attempt(), 1));
            fixture.advance(20);
            if (index >= 60) {
                used.add(started.endpoint().value());
            }
        }
        assertEquals(Set.of("e2", "e3"), used);
    }

    // Guards against full load on an endpoint that has not shown yet that it has recovered.
    @Test
    void shouldReadmitGraduallyWhenAnEjectedEndpointReturns() {
        fixture.updateEndpoints(endpoint("e1", MODEL, 8), endpoint("e2", MODEL, 8));
        for (StartAttempt started : starts(16, "r")) {
            if (started.endpoint().value().equals("e2")) {
                fixture.fail(started.attempt(), AttemptFailure.CONNECT_FAILED);
            } else {
                fixture.handle(new RequestInput.AttemptCompleted(started.attempt(), 10));
            }
        }
        for (StartAttempt retried : allOf(StartAttempt.class, fixture.advance(100))) {
            assertEquals("e1", retried.endpoint().value());
            fixture.handle(new RequestInput.AttemptCompleted(retried.attempt(), 10));
        }
        fixture.advance(6_500);
        List<Integer> steps = new ArrayList<>();
        for (int round = 0; round < 4; round++) {
            List<StartAttempt> starts = starts(16, "round-" + round + "-");
            steps.add((int) starts.stream()
                    .filter(started -> started.endpoint().value().equals("e2"))
                    .count());
            List<StartAttempt> open = new ArrayList<>(starts);
            while (!open.isEmpty()) {
                open.addAll(allOf(
                        StartAttempt.class,
                        fixture.handle(new RequestInput.AttemptCompleted(
                                open.removeFirst().attempt(), 10))));
            }
        }
        assertEquals(1, steps.getFirst(), steps.toString());
        assertEquals(8, steps.getLast(), steps.toString());
    }

    // Guards against candidates that run together after a crash, so that a second crash does not show which one caused
    // it.
    @Test
    void shouldSeparateQuarantineCandidatesWhenABatchCrashed() {
        fixture.updateEndpoints(endpoint("e1", MODEL, 8));
        List<StartAttempt> batch = starts(4, "r");
        fixture.updateEndpoints(endpoint("e2", MODEL, 8), endpoint("e3", MODEL, 8));
        List<RequestCommand> commands = new ArrayList<>();
        for (StartAttempt started : batch) {
            // Progress received before the break is reported even after another attempt of the batch broke.
            fixture.handle(new RequestInput.AttemptProgressed(started.attempt(), 1, Optional.empty(), false));
            commands.addAll(fixture.fail(started.attempt(), AttemptFailure.BROKEN));
        }
        fixture.updateEndpoints(endpoint("e1", MODEL, 8).asLeaving());
        commands.addAll(fixture.advance(500));
        assertEquals(4, single(ReportCrash.class, commands).batch().size());
        List<StartAttempt> again = allOf(StartAttempt.class, commands);
        assertEquals(2, again.size(), "one candidate on each of the two other endpoints");
        assertNotEquals(again.getFirst().endpoint(), again.getLast().endpoint());
        List<RequestCommand> crash = fixture.fail(again.getFirst().attempt(), AttemptFailure.BROKEN);
        assertEquals(1, allOf(StartAttempt.class, crash).size(), "the next candidate takes the free endpoint");
        assertTrue(allOf(RefuseRequest.class, crash).isEmpty(), "other entries do not know of the quarantine yet");
        Fingerprint crashed = single(ReportCrash.class, crash).batch().getFirst();
        List<RequestCommand> agreed =
                fixture.handle(new RequestInput.QuarantineChanged(Map.of(MODEL, Set.of(crashed)), Set.of()));
        assertEquals(
                ErrorCode.REQUEST_QUARANTINED,
                single(RefuseRequest.class, agreed).code());
        List<RequestCommand> completion =
                fixture.handle(new RequestInput.AttemptCompleted(again.getLast().attempt(), 10));
        assertEquals(1, allOf(StartAttempt.class, completion).size(), "the last candidate takes the free endpoint");
    }

    @Test
    void shouldRefuseACrashingRequestSoonWhenNoControlHostConfirmsItsQuarantine() {
        fixture.updateEndpoints(endpoint("e1", MODEL, 8), endpoint("e2", MODEL, 8), endpoint("e3", MODEL, 8));
        fixture.fail(starts(1, "r").getFirst().attempt(), AttemptFailure.BROKEN);
        StartAttempt again = single(StartAttempt.class, fixture.advance(500));
        assertTrue(allOf(RefuseRequest.class, fixture.fail(again.attempt(), AttemptFailure.BROKEN))
                .isEmpty());
        List<RequestCommand> later = fixture.advance(500);
        assertEquals(
                ErrorCode.REQUEST_QUARANTINED,
                single(RefuseRequest.class, later).code());
        assertTrue(allOf(StartAttempt.class, later).isEmpty());
    }

    @Test
    void shouldCountNoCrashWhenTheEndpointStillAnswers() {
        fixture.updateEndpoints(endpoint("e1", MODEL, 8));
        List<StartAttempt> batch = starts(3, "r");
        fixture.fail(batch.get(0).attempt(), AttemptFailure.BROKEN);
        fixture.advance(100);
        fixture.handle(new RequestInput.AttemptCompleted(batch.get(1).attempt(), 10));
        fixture.fail(batch.get(2).attempt(), AttemptFailure.SILENT);
        assertTrue(allOf(ReportCrash.class, fixture.advance(500)).isEmpty());
    }

    // Guards against blaming requests for a failure of the infrastructure that hits several endpoints at once.
    @Test
    void shouldReportNoCrashWhenARackFails() {
        fixture.updateEndpoints(endpoint("e1", MODEL, 8), endpoint("e2", MODEL, 8), endpoint("e3", MODEL, 8));
        List<StartAttempt> lost = starts(24, "r");
        fixture.updateEndpoints(endpoint("e4", MODEL, 64));
        lost.sort(java.util.Comparator.comparing(StartAttempt::endpoint));
        lost.forEach(started -> fixture.fail(started.attempt(), AttemptFailure.BROKEN));
        fixture.updateEndpoints(
                endpoint("e1", MODEL, 8).asLeaving(),
                endpoint("e2", MODEL, 8).asLeaving(),
                endpoint("e3", MODEL, 8).asLeaving());
        List<RequestCommand> commands = fixture.advance(500);
        assertTrue(allOf(ReportCrash.class, commands).isEmpty());
        assertEquals(8, allOf(StartAttempt.class, commands).size(), "all slots of the remaining endpoint");
    }

    @Test
    void shouldCountOneCrashWhenCopiesOfARequestAreLostTogether() {
        fixture.updateEndpoints(endpoint("e1", MODEL, 1), endpoint("e2", MODEL, 1));
        StartAttempt first = start(new RequestBuilder("copy-1").fingerprint("same"));
        StartAttempt second = start(new RequestBuilder("copy-2").fingerprint("same"));
        List<RequestCommand> commands = new ArrayList<>(fixture.fail(first.attempt(), AttemptFailure.BROKEN));
        commands.addAll(fixture.fail(second.attempt(), AttemptFailure.BROKEN));
        assertTrue(allOf(RefuseRequest.class, commands).isEmpty());
    }

    @Test
    void shouldRefuseWhatAnotherEntryQuarantined() {
        fixture.updateEndpoints(endpoint("e1", MODEL, 8));
        fixture.handle(new RequestInput.QuarantineChanged(Map.of(MODEL, Set.of(Fingerprint.of("poison"))), Set.of()));
        RefuseRequest refused =
                single(RefuseRequest.class, fixture.arrive(new RequestBuilder("r1").fingerprint("poison")));
        assertEquals(ErrorCode.REQUEST_QUARANTINED, refused.code());
        assertEquals(RunState.NOT_RUN, refused.runState());
    }

    // Guards against a sound request that is refused for as long as its caller returns, because refusals renew the
    // quarantine.
    @Test
    void shouldReleaseAQuarantinedRequestAnHourAfterItsLastCrashAlthoughItIsSentAgain() {
        fixture.updateEndpoints(endpoint("e1", MODEL, 8), endpoint("e2", MODEL, 8), endpoint("e3", MODEL, 8));
        fixture.fail(starts(1, "r").getFirst().attempt(), AttemptFailure.BROKEN);
        StartAttempt again = single(StartAttempt.class, fixture.advance(500));
        fixture.fail(again.attempt(), AttemptFailure.BROKEN);
        fixture.advance(1_000);
        for (int minute = 10; minute <= 50; minute += 10) {
            fixture.now += Duration.ofMinutes(10).toMillis();
            single(RefuseRequest.class, fixture.arrive(resend("m" + minute)));
        }
        fixture.now += Duration.ofMinutes(11).toMillis();

        start(resend("later"));
    }

    private RequestBuilder resend(String id) {
        return new RequestBuilder(id).fingerprint("fingerprint-r0").deadline(fixture.now + 30_000);
    }

    // Guards against a step that never finishes because endpoints crashed under one of its samples: the sample is owed.
    @Test
    void shouldRunASampleAgainWhenSeveralEndpointsCrashedUnderIt() {
        fixture.updateEndpoints(endpoint("e1", MODEL, 8), endpoint("e2", MODEL, 8), endpoint("e3", MODEL, 8));
        StartAttempt first = start(new RequestBuilder("r1").training("t").fingerprint("sample"));
        fixture.fail(first.attempt(), AttemptFailure.BROKEN);
        StartAttempt second = single(StartAttempt.class, fixture.advance(500));
        List<RequestCommand> commands = new ArrayList<>(fixture.fail(second.attempt(), AttemptFailure.BROKEN));
        commands.addAll(fixture.advance(1_000));

        assertTrue(
                allOf(RefuseRequest.class, commands).stream()
                        .noneMatch(refused -> refused.code() == ErrorCode.REQUEST_QUARANTINED),
                commands.toString());
        start(new RequestBuilder("r2").training("t").fingerprint("sample"));
    }

    @Test
    void shouldRunAQuarantinedSampleApartFromOtherCandidates() {
        fixture.updateEndpoints(endpoint("e1", MODEL, 8));
        Fingerprint sample = Fingerprint.of("sample");
        Fingerprint other = Fingerprint.of("other");
        fixture.handle(new RequestInput.QuarantineChanged(Map.of(MODEL, Set.of(sample)), Set.of(other)));
        start(new RequestBuilder("r1").fingerprint("other"));

        List<RequestCommand> commands =
                fixture.arrive(new RequestBuilder("r2").training("t").fingerprint("sample"));

        assertTrue(commands.isEmpty(), commands.toString());
    }

    @Test
    void shouldStayInTheFailureDomainWhileItHasCapacity() {
        assertEquals(0, countRemote(4), "few requests stay in the failure domain");
        assertTrue(countRemote(28) >= 8, "many requests use the remote endpoints too");
        assertTrue(
                countRemote(4, RequestPolicy.FAILURE_DOMAIN_COST) > 0,
                "without the cost half of the requests use remote endpoints");
    }

    private static long countRemote(int requests, RequestPolicy... disabledPolicies) {
        CoreFixture fixture = new CoreFixture(disabledPolicies);
        for (String id : List.of("near-1", "near-2", "far-1", "far-2")) {
            FailureDomain domain = id.startsWith("near") ? LOCAL_DOMAIN : FailureDomain.of("amman-b");
            fixture.updateEndpoints(endpoint(id, MODEL, 8, 1, domain, 7));
        }
        long far = 0;
        for (int index = 0; index < requests; index++) {
            StartAttempt started = single(StartAttempt.class, fixture.arrive(new RequestBuilder("r" + index)));
            far += started.endpoint().value().startsWith("far") ? 1 : 0;
        }
        return far;
    }

    @Test
    void shouldAvoidAnEndpointThatOtherEntriesLoad() {
        fixture.updateEndpoints(endpoint("e1", MODEL, 8), endpoint("e2", MODEL, 8));
        fixture.handle(new RequestInput.LoadReported(EndpointId.of("e1"), 1, 1, 6, 0, 0));
        assertTrue(starts(4, "r").stream()
                .allMatch(started -> started.endpoint().value().equals("e2")));
    }

    // Guards against routing to prefixes that were evicted in events that were lost.
    @Test
    void shouldLowerCacheConfidenceWhenEventsAreMissing() {
        CacheView cache = new EndpointRow(endpoint("e1", MODEL, 8), new ServiceRow(MODEL)).cache;
        cache.apply(cacheEvent(1, 11L));
        cache.apply(cacheEvent(2, 12L));
        assertEquals(1, cache.confidence(11L));
        cache.apply(cacheEvent(9, 13L));
        assertEquals(0.5, cache.confidence(11L));
        assertEquals(1, cache.confidence(13L));
        cache.apply(cacheEvent(10, 12L));
        assertEquals(1, cache.confidence(12L));
        cache.apply(cacheEvent(20, 14L));
        cache.apply(cacheEvent(30, 14L));
        assertEquals(0, cache.confidence(11L));
    }

    private static RequestInput.CacheReported cacheEvent(long sequence, long added) {
        return new RequestInput.CacheReported(EndpointId.of("e1"), 1, sequence, List.of(added), List.of());
    }

    @Test
    void shouldKeepSettingsOfRequestsInProgressWhenTheConfigurationChanges() {
        fixture.updateEndpoints(endpoint("e1", MODEL, 8), endpoint("e2", MODEL, 8));
        StartAttempt first = start(new RequestBuilder("r1"));
        fixture.handle(new RequestInput.ConfigurationActivated(CoreFixture.configuration(
                3,
                ServiceConfiguration.builder(MODEL, ServiceClass.MODEL).deadlines(new Deadlines(9_000, 999, 99)),
                ServiceConfiguration.builder(PLAIN, ServiceClass.PLAIN))));
        fixture.handle(new RequestInput.ConfigurationActivated(CoreFixture.configuration(2, limits(1, 1))));
        fixture.fail(first.attempt(), AttemptFailure.CONNECT_FAILED);
        assertEquals(
                first.progressMilliseconds(),
                single(StartAttempt.class, fixture.advance(100)).progressMilliseconds());
        assertEquals(999, start(new RequestBuilder("r2")).progressMilliseconds());
    }

    @Test
    void shouldCancelTrainingWhenTheShareShrinks() {
        fixture.updateEndpoints(endpoint("e1", MODEL, 8), endpoint("e2", MODEL, 8));
        for (int index = 0; index < 6; index++) {
            start(new RequestBuilder("r" + index).training("a"));
        }
        List<RequestCommand> commands = fixture.handle(new RequestInput.SharesAssigned(Map.of(MODEL, 2)));
        assertEquals(4, allOf(CancelAttempt.class, commands).size());
        assertTrue(allOf(StartAttempt.class, commands).isEmpty());
    }

    @Test
    void shouldFinishWorkInProgressWhenDraining() {
        fixture.updateEndpoints(endpoint("e1", MODEL, 1));
        StartAttempt running = start(new RequestBuilder("running"));
        fixture.arrive(new RequestBuilder("waiting"));
        fixture.handle(new RequestInput.DrainStarted());
        assertEquals(
                ErrorCode.DRAINING,
                single(RefuseRequest.class, fixture.arrive(new RequestBuilder("late")))
                        .code());
        List<RequestCommand> commands = fixture.handle(new RequestInput.AttemptCompleted(running.attempt(), 10));
        assertEquals("waiting", single(StartAttempt.class, commands).request().value());
    }
}
