package io.rosemarybeam.control.state;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.FailureDomain;
import io.rosemarybeam.common.id.FencingNumber;
import io.rosemarybeam.common.id.Fingerprint;
import io.rosemarybeam.common.id.HostName;
import io.rosemarybeam.common.id.IdempotencyKey;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.id.StepId;
import io.rosemarybeam.common.id.TrainerName;
import io.rosemarybeam.common.id.WeightVersion;
import io.rosemarybeam.common.wire.CommonReply.Accepted;
import io.rosemarybeam.common.wire.CommonReply.Refused;
import io.rosemarybeam.common.wire.ControlReply.ApplyOutcome;
import io.rosemarybeam.common.wire.ControlReply.ApplyReply;
import io.rosemarybeam.common.wire.ControlReply.ClaimReply;
import io.rosemarybeam.common.wire.ControlReply.ClaimState;
import io.rosemarybeam.common.wire.ControlReply.IssuerHeld;
import io.rosemarybeam.common.wire.ControlReply.IssuerLease;
import io.rosemarybeam.common.wire.ControlReply.QuarantineState;
import io.rosemarybeam.common.wire.ControlReply.StepState;
import io.rosemarybeam.common.wire.EndpointRecord;
import io.rosemarybeam.common.wire.EntryHostRecord;
import io.rosemarybeam.common.wire.EntryRequest;
import io.rosemarybeam.common.wire.MembershipDelta;
import io.rosemarybeam.common.wire.Message;
import io.rosemarybeam.common.wire.RequestOutcome;
import io.rosemarybeam.common.wire.StepRecords.GroupSpecification;
import io.rosemarybeam.common.wire.StepRecords.SampleCommit;
import io.rosemarybeam.common.wire.StepRecords.StepSnapshot;
import io.rosemarybeam.common.wire.StepRecords.StepSpecification;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against a configuration that reverts, a claim that is granted twice, a sample that is handed over twice, a
 * request that keeps crashing endpoints, and replicas that diverge after a restore from a snapshot.
 */
class ControlStateTest {
    private static final ServiceName SERVICE = ServiceName.of("brailler-lm");
    private static final HostName ENTRY = HostName.of("entry-1");
    private static final TrainerName TRAINER = TrainerName.of("trainer-a");
    private static final StepId STEP = StepId.of("step-1");
    private static final long HOUR = 60L * 60 * 1_000;

    private final ControlState state = new ControlState();
    private long now = 1_000;

    private Message apply(Command command) {
        return state.apply(CommandCodec.encode(now, command));
    }

    private ApplyOutcome accept(long number, String text) {
        return ((ApplyReply) apply(new Command.AcceptConfiguration(number, text, "operator", 5))).outcome();
    }

    @Test
    void shouldReturnFirstOutcomeWhenResentAfterManyLaterChanges() {
        accept(1, "text 1");
        for (int number = 2; number <= 1_500; number++) {
            accept(number, "text " + number);
        }

        assertEquals(ApplyOutcome.RESENT, accept(1, "text 1"));
        assertEquals(ApplyOutcome.CONFLICT, accept(1, "other"));
        assertEquals(1_500, state.configurations().newestNumber());
        assertEquals(
                ConfigurationTable.MAXIMUM_TEXTS, state.configurations().sizes().get("texts"));
    }

    @Test
    void shouldAcceptOneTextWhenOperatorsRaceWithEqualNumbers() {
        ApplyReply first = (ApplyReply) apply(new Command.AcceptConfiguration(7, "mine", "a", 5));
        ApplyReply second = (ApplyReply) apply(new Command.AcceptConfiguration(7, "yours", "b", 5));

        assertEquals(ApplyOutcome.ACCEPTED, first.outcome());
        assertEquals(ApplyOutcome.CONFLICT, second.outcome());
        assertEquals(Optional.of("mine"), second.winner());
        assertEquals(ApplyOutcome.NUMBER_TOO_LOW, accept(6, "late"));
        assertEquals(ApplyOutcome.ACCEPTED, accept(100, "later"));
    }

    @Property(tries = 100, seed = "20261204", shrinking = ShrinkingMode.OFF)
    void shouldNeverRevertWhenOperatorsApplyInAnyOrder(@ForAll long seed) {
        ControlState replica = new ControlState();
        SplittableRandom random = new SplittableRandom(seed);
        Map<Long, String> accepted = new HashMap<>();
        long newest = 0;
        for (int step = 0; step < 200; step++) {
            long number = 1 + random.nextInt(60);
            String text = "text " + number + " " + random.nextInt(2);
            ApplyReply reply = (ApplyReply) replica.apply(
                    CommandCodec.encode(step, new Command.AcceptConfiguration(number, text, "operator", 0)));
            ApplyOutcome expected = accepted.containsKey(number)
                    ? (accepted.get(number).equals(text) ? ApplyOutcome.RESENT : ApplyOutcome.CONFLICT)
                    : (number > newest ? ApplyOutcome.ACCEPTED : ApplyOutcome.NUMBER_TOO_LOW);
            assertEquals(expected, reply.outcome());
            accepted.merge(number, expected == ApplyOutcome.ACCEPTED ? text : "", (old, ignored) -> old);
            accepted.remove(number, "");
            newest = expected == ApplyOutcome.ACCEPTED ? number : newest;
            assertEquals(newest, replica.configurations().newestNumber());
        }
    }

    private static EntryRequest.ClaimRequest claim(String key, String fingerprint, String entry, String attempt) {
        return new EntryRequest.ClaimRequest(
                SERVICE,
                IdempotencyKey.of(key),
                Fingerprint.of(fingerprint),
                HostName.of(entry),
                1,
                1_000,
                5_000,
                attempt);
    }

    private ClaimState claimState(EntryRequest.ClaimRequest request) {
        return ((ClaimReply) apply(new Command.Claim(request))).state();
    }

    private Message outcome(String key, String entry, Optional<RequestOutcome> outcome) {
        return apply(new Command.Outcome(
                new EntryRequest.RecordOutcome(SERVICE, IdempotencyKey.of(key), HostName.of(entry), 1, outcome)));
    }

    private Message returnClaim(String attempt) {
        return apply(new Command.Outcome(new EntryRequest.RecordOutcome(
                SERVICE, IdempotencyKey.of("k"), HostName.of("entry-1"), 1, Optional.empty(), attempt)));
    }

    // A return that is sent twice may arrive after the key was claimed again; it must not release that newer claim.
    @Test
    void shouldRetainNewerClaimWhenDuplicateReturnArrivesLate() {
        claimState(claim("k", "f", "entry-1", "a1"));
        assertInstanceOf(Accepted.class, returnClaim("a1"));
        assertEquals(ClaimState.GRANTED, claimState(claim("k", "f", "entry-1", "a2")));

        assertInstanceOf(Refused.class, returnClaim("a1"));

        assertEquals(ClaimState.IN_PROGRESS, claimState(claim("k", "f", "entry-2", "a3")));
    }

    @Test
    void shouldReportUnknownButAcceptLateOutcomeWhenLeaseOfClaimingEntryLapsed() {
        claimState(claim("k", "f", "entry-1", "a1"));
        claimState(claim("other", "f", "entry-2", "a1"));

        apply(new Command.SettleClaims(HostName.of("entry-1"), 1));

        assertEquals(ClaimState.UNKNOWN, claimState(claim("k", "f", "entry-2", "a2")));
        assertEquals(ClaimState.IN_PROGRESS, claimState(claim("other", "f", "entry-1", "a2")));
        RequestOutcome late = new RequestOutcome(201, Map.of(), new byte[] {1}, false);
        assertInstanceOf(Accepted.class, outcome("k", "entry-1", Optional.of(late)));
        assertEquals(ClaimState.COMPLETED, claimState(claim("k", "f", "entry-2", "a2")));
    }

    @Test
    void shouldGrantClaimOnceWhenOthersRequestIt() {
        assertEquals(ClaimState.GRANTED, claimState(claim("k", "f", "entry-1", "a1")));
        assertEquals(ClaimState.GRANTED, claimState(claim("k", "f", "entry-1", "a1")));
        assertEquals(ClaimState.IN_PROGRESS, claimState(claim("k", "f", "entry-1", "a2")));
        assertEquals(ClaimState.IN_PROGRESS, claimState(claim("k", "f", "entry-2", "a1")));
        assertEquals(ClaimState.KEY_REUSED, claimState(claim("k", "g", "entry-1", "a1")));

        assertInstanceOf(Refused.class, outcome("k", "entry-2", Optional.empty()));
        assertInstanceOf(Accepted.class, outcome("k", "entry-1", Optional.empty()));
        assertEquals(ClaimState.GRANTED, claimState(claim("k", "f", "entry-2", "a1")));
    }

    @Test
    void shouldResolveToUnknownWhenNoOutcomeArrives() {
        claimState(claim("k", "f", "entry-1", "a1"));
        now += 6_499;
        assertEquals(ClaimState.IN_PROGRESS, claimState(claim("k", "f", "entry-2", "a1")));
        now += 1;
        assertEquals(ClaimState.UNKNOWN, claimState(claim("k", "f", "entry-1", "a1")));
        now += 23 * HOUR;
        assertEquals(ClaimState.UNKNOWN, claimState(claim("k", "f", "entry-2", "a1")));
        now += HOUR;
        assertEquals(ClaimState.GRANTED, claimState(claim("k", "f", "entry-2", "a1")));
    }

    @Test
    void shouldRepeatOutcomeWhenRequestIsSentAgain() {
        claimState(claim("k", "f", "entry-1", ""));
        RequestOutcome recorded = new RequestOutcome(201, Map.of("Content-Type", "text/plain"), new byte[] {7}, false);
        outcome("k", "entry-1", Optional.of(recorded));
        outcome("k", "entry-1", Optional.of(new RequestOutcome(500, Map.of(), new byte[0], false)));

        ClaimReply reply = (ClaimReply) apply(new Command.Claim(claim("k", "f", "entry-2", "")));

        assertEquals(ClaimState.COMPLETED, reply.state());
        assertEquals(201, reply.outcome().orElseThrow().status());
        assertArrayEquals(new byte[] {7}, reply.outcome().orElseThrow().body());
    }

    // A key may have another holder only after the first one returned it without having run the request.
    @Property(tries = 100, seed = "20261207", shrinking = ShrinkingMode.OFF)
    void shouldNeverGrantOneKeyToTwoWhenEntriesRace(@ForAll long seed) {
        ControlState replica = new ControlState();
        SplittableRandom random = new SplittableRandom(seed);
        Map<String, String> holders = new HashMap<>();
        long time = 0;
        for (int step = 0; step < 300; step++) {
            time += random.nextInt(1_500);
            String key = "k" + random.nextInt(4);
            String entry = "entry-" + random.nextInt(3);
            String attempt = "a" + random.nextInt(2);
            if (random.nextInt(4) > 0) {
                ClaimReply reply = (ClaimReply)
                        replica.apply(CommandCodec.encode(time, new Command.Claim(claim(key, "f", entry, attempt))));
                if (reply.state() == ClaimState.GRANTED) {
                    String holder = holders.putIfAbsent(key, entry + attempt);
                    assertTrue(holder == null || holder.equals(entry + attempt), key + " was granted to two holders");
                }
            } else {
                boolean notExecuted = random.nextBoolean();
                Optional<RequestOutcome> done = Optional.of(new RequestOutcome(200, Map.of(), new byte[0], false));
                Message reply = replica.apply(CommandCodec.encode(
                        time,
                        new Command.Outcome(new EntryRequest.RecordOutcome(
                                SERVICE,
                                IdempotencyKey.of(key),
                                HostName.of(entry),
                                1,
                                notExecuted ? Optional.empty() : done))));
                boolean isHolder = holders.getOrDefault(key, "").startsWith(entry);
                assertTrue(
                        isHolder || reply instanceof Refused,
                        "an outcome was accepted from an entry without the claim");
                ClaimReply after = (ClaimReply)
                        replica.apply(CommandCodec.encode(time, new Command.Claim(claim(key, "f", "entry-9", "a9"))));
                if (after.state() == ClaimState.GRANTED) {
                    boolean free = !holders.containsKey(key) || isHolder && notExecuted;
                    assertTrue(free || holders.get(key).equals("entry-9a9"), key + " was granted to two holders");
                    holders.put(key, "entry-9a9");
                }
            }
        }
    }

    // An exception here would stop every replica, because all of them apply the same command.
    @Test
    void shouldRefuseMalformedRequestWhenComponentsAreMissing() {
        EntryRequest.ClaimRequest missing = new EntryRequest.ClaimRequest(SERVICE, null, null, null, 1, 10, 10);
        EntryRequest.ClaimRequest endless =
                new EntryRequest.ClaimRequest(SERVICE, IdempotencyKey.of("k"), null, ENTRY, 1, Long.MAX_VALUE, 10);

        assertEquals(ErrorCode.REQUEST_INVALID, code(apply(new Command.Claim(missing))));
        assertEquals(ErrorCode.REQUEST_INVALID, code(apply(new Command.Claim(endless))));
        assertEquals(0, state.claims().size());
    }

    private QuarantineState crash(String endpoint, long incarnation, String... batch) {
        List<Fingerprint> fingerprints =
                Arrays.stream(batch).map(Fingerprint::of).toList();
        return (QuarantineState) apply(new Command.Crash(
                new EntryRequest.ReportCrash(SERVICE, EndpointId.of(endpoint), incarnation, fingerprints)));
    }

    private static List<Fingerprint> fingerprints(String... names) {
        return Arrays.stream(names).map(Fingerprint::of).toList();
    }

    @Test
    void shouldQuarantineOnlyCommonRequestWhenTwoEndpointsCrash() {
        assertEquals(fingerprints("a", "b", "c"), crash("e1", 1, "a", "b", "c").quarantineCandidates());
        QuarantineState second = crash("e2", 1, "b", "d");

        assertEquals(fingerprints("b"), second.quarantined());
        assertEquals(fingerprints("d"), second.quarantineCandidates());
        assertEquals(List.of("brailler-lm/b"), state.quarantine().quarantinedSince(0));
    }

    @Test
    void shouldNotQuarantineWhenSeveralRequestsAreCommonToBoth() {
        crash("e1", 1, "a", "b");
        assertEquals(fingerprints("a", "b", "c"), crash("e2", 1, "a", "b", "c").quarantineCandidates());
        assertEquals(fingerprints("b"), crash("e2", 2, "b").quarantined());
        assertEquals(fingerprints("a"), crash("e3", 1, "a").quarantined());
    }

    // Two reports about one incarnation of an endpoint are one crash and must not quarantine its batch.
    @Test
    void shouldCountOneCrashWhenSeveralEntriesReportIt() {
        crash("e1", 1, "a");
        crash("e1", 1, "a", "b");

        assertEquals(List.of(), state.quarantine().quarantinedSince(0));
        assertEquals(fingerprints("a"), crash("e1", 2, "a").quarantined());
    }

    @Test
    void shouldEndQuarantineWhenNotSeenForAnHour() {
        crash("e1", 1, "a");
        crash("e2", 1, "a");
        now += HOUR;

        assertEquals(fingerprints("a"), crash("e3", 1, "a").quarantineCandidates());
    }

    private static StepSpecification specification(String prompt) {
        return new StepSpecification(
                TRAINER, STEP, SERVICE, WeightVersion.of(3), List.of(new GroupSpecification(prompt, 4, 16)));
    }

    private StepSnapshot open() {
        return ((StepState) apply(new Command.OpenStep(new EntryRequest.OpenStep(ENTRY, specification("p")))))
                .snapshot();
    }

    private Message commit(long epoch, boolean replacing, int index, String digest) {
        SampleCommit sample = new SampleCommit(index, digest, List.of(), List.of(ENTRY));
        return apply(new Command.CommitSamples(
                new EntryRequest.CommitSamples(TRAINER, STEP, epoch, List.of(sample), replacing)));
    }

    private Message handOver(long epoch, long cursor, Integer... indexes) {
        return apply(new Command.RecordHandOver(
                new EntryRequest.RecordHandOver(TRAINER, STEP, epoch, cursor, List.of(indexes))));
    }

    private Message acknowledge(long cursor) {
        return apply(new Command.AcknowledgeHandOver(new EntryRequest.AcknowledgeHandOver(TRAINER, STEP, cursor)));
    }

    private static ErrorCode code(Message reply) {
        return ((Refused) reply).code();
    }

    @Test
    void shouldHandEachSampleOverOnceWhenRequestsAreRepeated() {
        open();
        commit(1, false, 0, "first");
        commit(1, false, 0, "late winner");
        commit(1, false, 1, "one");

        assertInstanceOf(Accepted.class, handOver(1, 1, 0, 1));
        assertInstanceOf(Accepted.class, handOver(1, 1, 0, 1));
        assertEquals(ErrorCode.CURSOR_INVALID, code(handOver(1, 1, 1)));
        assertEquals(ErrorCode.CURSOR_INVALID, code(handOver(1, 2, 1)));
        assertEquals(ErrorCode.CURSOR_INVALID, code(handOver(1, 2, 2)));
        assertEquals(ErrorCode.CURSOR_INVALID, code(handOver(1, 3, 1)));
        assertEquals(ErrorCode.CURSOR_INVALID, code(acknowledge(2)));
        assertInstanceOf(Accepted.class, acknowledge(1));
        commit(1, true, 0, "replaced after delivery");
        assertEquals("first", open().committed().getFirst().digest());
    }

    // Two entries race for a step, and the former owner still writes: only the owner of the newest epoch may change it.
    @Test
    void shouldRefuseFormerOwnerWhenStepWasTakenOver() {
        open();
        EntryRequest.TakeStep take = new EntryRequest.TakeStep(TRAINER, STEP, HostName.of("entry-2"), true);
        apply(new Command.TakeStep(take, 1));
        StepSnapshot raced = ((StepState) apply(new Command.TakeStep(
                        new EntryRequest.TakeStep(TRAINER, STEP, HostName.of("entry-3"), true), 1)))
                .snapshot();

        assertEquals(Optional.of(HostName.of("entry-2")), raced.owner());
        assertEquals(ErrorCode.STALE_OWNER, code(commit(1, false, 0, "stale")));
        assertEquals(ErrorCode.STALE_OWNER, code(handOver(1, 1, 0)));
        assertInstanceOf(Accepted.class, commit(2, false, 0, "fresh"));
    }

    @Test
    void shouldRefuseStepWhenSpecificationDiffersOrTooManyAreOpen() {
        open();
        Message other = apply(new Command.OpenStep(new EntryRequest.OpenStep(ENTRY, specification("other"))));
        assertEquals(ErrorCode.STEP_CONFLICT, code(other));
        for (int number = 2; number <= StepTable.MAXIMUM_OPEN_STEPS; number++) {
            openNumbered(number);
        }
        assertEquals(ErrorCode.TABLE_FULL, code(openNumbered(65)));
        for (int index = 0; index < 4; index++) {
            commit(1, false, index, "s" + index);
        }
        handOver(1, 1, 0, 1, 2, 3);
        acknowledge(1);
        assertInstanceOf(StepState.class, openNumbered(65));
        assertEquals(4, open().committed().size());
    }

    @Test
    void shouldRefuseStepWhenPromptsOfOpenStepsAreTooLarge() {
        String prompt = "p".repeat((int) StepTable.MAXIMUM_SPECIFICATION_BYTES / 2);
        apply(new Command.OpenStep(new EntryRequest.OpenStep(ENTRY, specification(prompt))));
        StepSpecification another = new StepSpecification(
                TRAINER,
                StepId.of("step-2"),
                SERVICE,
                WeightVersion.of(3),
                List.of(new GroupSpecification(prompt, 4, 16)));

        Message refused = apply(new Command.OpenStep(new EntryRequest.OpenStep(ENTRY, another)));

        assertEquals(ErrorCode.TABLE_FULL, code(refused));
        assertInstanceOf(StepState.class, openNumbered(3));
    }

    private Message openNumbered(int number) {
        StepSpecification base = specification("p");
        StepSpecification numbered = new StepSpecification(
                TRAINER, StepId.of("step-" + number), SERVICE, base.trainerVersion(), base.groups());
        return apply(new Command.OpenStep(new EntryRequest.OpenStep(ENTRY, numbered)));
    }

    @Test
    void shouldReportNewestVersionWhenTrainerPublished() {
        open();
        apply(new Command.PublishWeights(new EntryRequest.PublishWeights(TRAINER, SERVICE, WeightVersion.of(5))));
        apply(new Command.PublishWeights(new EntryRequest.PublishWeights(TRAINER, SERVICE, WeightVersion.of(4))));

        assertEquals(WeightVersion.of(5), open().trainerVersion());
        assertEquals(Map.of("brailler-lm", WeightVersion.of(5)), state.weights().newestByService());
    }

    @Test
    void shouldGrantLargerFencingNumberWhenIssuerChanges() {
        EntryRequest.AcquireIssuer one = new EntryRequest.AcquireIssuer(SERVICE, ENTRY, 1);
        EntryRequest.AcquireIssuer two = new EntryRequest.AcquireIssuer(SERVICE, HostName.of("entry-2"), 1);
        IssuerLease first = (IssuerLease) apply(new Command.GrantIssuer(one, FencingNumber.of(0)));
        Message raced = apply(new Command.GrantIssuer(two, FencingNumber.of(0)));
        IssuerLease second = (IssuerLease) apply(new Command.GrantIssuer(two, first.fencingNumber()));

        assertEquals(new IssuerHeld(ENTRY), raced);
        assertTrue(second.fencingNumber().compareTo(first.fencingNumber()) > 0);
    }

    private static EndpointRecord endpoint(int number, long incarnation) {
        return new EndpointRecord(
                EndpointId.of("endpoint-" + number),
                incarnation,
                SERVICE,
                "http://127.0.0.1:9001",
                FailureDomain.of("fes"),
                4,
                true,
                true,
                true,
                false,
                Optional.empty(),
                false);
    }

    @Test
    void shouldReturnOnlyChangesWhenEntryHasAnEarlierVersion() {
        apply(new Command.RegisterEntry(
                new EntryHostRecord(ENTRY, 1, "127.0.0.1:1", "127.0.0.1:2", FailureDomain.of("fes"), false)));
        apply(new Command.AnnounceEndpoint(endpoint(1, 1)));
        apply(new Command.AnnounceEndpoint(endpoint(2, 1)));
        long earlierVersion = state.membershipVersion();
        apply(new Command.AnnounceEndpoint(endpoint(2, 1)));
        apply(new Command.LeaveEndpoint(EndpointId.of("endpoint-1"), 1));
        apply(new Command.RemoveEndpoint(EndpointId.of("endpoint-2"), 1));
        Message stale = apply(new Command.AnnounceEndpoint(endpoint(1, 0)));

        MembershipDelta delta = state.membershipSince(earlierVersion);
        MembershipDelta full = state.membershipSince(0);

        assertEquals(earlierVersion + 2, delta.toVersion());
        assertEquals(List.of(endpoint(1, 1).asLeaving()), delta.endpoints());
        assertEquals(List.of(EndpointId.of("endpoint-2")), delta.removedEndpoints());
        assertEquals(List.of(), delta.entryHosts());
        assertTrue(full.isFull());
        assertEquals(1, full.endpoints().size());
        assertInstanceOf(Refused.class, stale);
    }

    @Test
    void shouldRefuseEndpointWhenTableIsFull() {
        for (int number = 0; number < EndpointTable.MAXIMUM_ENDPOINTS; number++) {
            apply(new Command.AnnounceEndpoint(endpoint(number, 1)));
        }
        long version = state.membershipVersion();

        assertEquals(ErrorCode.TABLE_FULL, code(apply(new Command.AnnounceEndpoint(endpoint(9_999, 1)))));
        assertInstanceOf(Accepted.class, apply(new Command.AnnounceEndpoint(endpoint(5, 2))));
        assertEquals(version + 1, state.membershipVersion());
    }

    // Guards against state that a snapshot lacks: a replica that is restored at random must reply like one that is not.
    @Property(tries = 50, seed = "20261208", shrinking = ShrinkingMode.OFF)
    void shouldAgreeWithOtherReplicaWhenRestoredFromSnapshot(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        ControlState one = new ControlState();
        ControlState other = new ControlState();
        long time = 0;
        for (int step = 0; step < 150; step++) {
            time += random.nextInt(4) == 0 ? random.nextLong(HOUR) : random.nextLong(2_000);
            byte[] command = CommandCodec.encode(time, randomCommand(random));
            assertEquals(text(one.apply(command)), text(other.apply(command)));
            if (random.nextInt(20) == 0) {
                ControlState restored = new ControlState();
                restored.restore(other.snapshot());
                other = restored;
            }
        }
        assertArrayEquals(one.snapshot(), other.snapshot());
    }

    private static String text(Message reply) {
        return new String(io.rosemarybeam.common.wire.MessageCodec.encode((Record) reply));
    }

    private static Command randomCommand(SplittableRandom random) {
        String key = "k" + random.nextInt(5);
        List<Fingerprint> batch = new ArrayList<>();
        for (int count = random.nextInt(3); count >= 0; count--) {
            batch.add(Fingerprint.of("f" + count + random.nextInt(3)));
        }
        EndpointId endpoint = EndpointId.of("endpoint-" + random.nextInt(4));
        return switch (random.nextInt(9)) {
            case 0 -> new Command.AcceptConfiguration(random.nextInt(50), "t" + random.nextInt(3), "operator", 1);
            case 1 -> new Command.Claim(claim(key, "f", "entry-" + random.nextInt(2), "a"));
            case 2 ->
                new Command.Outcome(
                        new EntryRequest.RecordOutcome(SERVICE, IdempotencyKey.of(key), ENTRY, 1, Optional.empty()));
            case 3 -> new Command.Crash(new EntryRequest.ReportCrash(SERVICE, endpoint, random.nextInt(3), batch));
            case 4 -> new Command.OpenStep(new EntryRequest.OpenStep(ENTRY, specification("p")));
            case 5 -> new Command.AnnounceEndpoint(endpoint(random.nextInt(4), random.nextInt(3)));
            case 6 -> new Command.RemoveEndpoint(endpoint, random.nextInt(3));
            case 7 ->
                new Command.CommitSamples(new EntryRequest.CommitSamples(
                        TRAINER,
                        STEP,
                        1,
                        List.of(new SampleCommit(random.nextInt(4), key, List.of(), List.of(ENTRY))),
                        random.nextBoolean()));
            default ->
                new Command.GrantIssuer(
                        new EntryRequest.AcquireIssuer(SERVICE, HostName.of("entry-" + random.nextInt(2)), 1),
                        FencingNumber.of(random.nextInt(4)));
        };
    }
}
