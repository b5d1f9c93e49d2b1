package io.rosemarybeam.decision.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import io.rosemarybeam.common.id.AttemptId;
import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.Fingerprint;
import io.rosemarybeam.common.id.RequestId;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.id.WeightVersion;
import io.rosemarybeam.common.wire.ControlReply.ClaimState;
import io.rosemarybeam.common.wire.EndpointRecord;
import io.rosemarybeam.common.wire.MembershipDelta;
import io.rosemarybeam.decision.request.RequestCommand.RunState;
import io.rosemarybeam.decision.request.RequestCommand.StartAttempt;
import io.rosemarybeam.decision.request.RequestInput.AttemptFailure;
import io.rosemarybeam.decision.request.RequestInput.Precedence;
import io.rosemarybeam.decision.request.RequestInput.RequestArrived;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against violated invariants under random interleavings of inputs, including late and lost answers: dispatch
 * without lease, share or claim, a second run of a non-idempotent request, false run states, two quarantine candidates
 * on one endpoint, and requests without exactly one final command.
 */
class RequestCoreInvariantTest {
    private static final int STEPS = 400;
    private static final int MAXIMUM_SHARE = 8;
    private static final List<ServiceName> SERVICES = List.of(CoreFixture.MODEL, CoreFixture.PLAIN);

    private Random random;
    private RequestCore core;
    private long now;
    private long leaseUntil;
    private int nextRequest;
    private int share;
    private Set<Fingerprint> publishedCandidates = Set.of();
    private Set<Fingerprint> quarantined = Set.of();

    /** Published candidates that were not answered in full since. */
    private final Set<String> candidates = new HashSet<>();

    private final Map<RequestId, RequestArrived> arrived = new HashMap<>();
    private final Set<RequestId> cancelled = new HashSet<>();
    private final Map<RequestId, Integer> finalCommandCounts = new HashMap<>();
    private final Map<AttemptId, StartAttempt> open = new HashMap<>();
    private final List<AttemptId> closed = new ArrayList<>();
    private final Set<AttemptId> possiblySent = new HashSet<>();
    private final Map<RequestId, Integer> mayHaveRun = new HashMap<>();
    private final Map<RequestId, Long> claimDeadlines = new HashMap<>();
    private final List<RequestId> claiming = new ArrayList<>();
    private final Set<RequestId> claimsRun = new HashSet<>();
    private final Map<AttemptId, EndpointRecord> endpointByAttempt = new HashMap<>();
    private final Map<EndpointId, EndpointRecord> members = new HashMap<>();

    @Property(seed = "20261204", tries = 300)
    void shouldHoldInvariantsWhenInputsInterleave(@ForAll long seed) {
        start(seed);
        for (int step = 0; step < STEPS; step++) {
            now += random.nextInt(4) == 0 ? random.nextInt(300) : random.nextInt(5);
            check(core.handle(now, nextInput()));
        }
        for (int step = 0; step < 800; step++) {
            now += 100;
            check(core.handle(now, new RequestInput.Tick()));
        }
        for (RequestId request : arrived.keySet()) {
            int expected = cancelled.contains(request) && !finalCommandCounts.containsKey(request) ? 0 : 1;
            assertEquals(expected, finalCommandCounts.getOrDefault(request, 0), "final commands of " + request);
        }
        assertTrue(core.demandByService().values().stream().allMatch(demand -> demand == 0));
    }

    private void start(long seed) {
        random = new Random(seed);
        core = RequestCore.of(CoreFixture.settings(seed));
        now = 0;
        nextRequest = 0;
        List.of(arrived, finalCommandCounts, open, mayHaveRun, claimDeadlines, endpointByAttempt, members)
                .forEach(Map::clear);
        List.of(cancelled, closed, possiblySent, claiming, claimsRun).forEach(java.util.Collection::clear);
        core.handle(
                0, new RequestInput.ConfigurationActivated(CoreFixture.configuration(1, CoreFixture.limits(2, 12))));
        core.handle(0, shares(MAXIMUM_SHARE));
        publishedCandidates = Set.of();
        quarantined = Set.of();
        candidates.clear();
        leaseUntil = 3_000;
        core.handle(0, new RequestInput.LeaseRenewed(leaseUntil));
        for (int index = 0; index < 6; index++) {
            check(core.handle(0, joinEndpoint(index, 1)));
        }
    }

    private RequestInput nextInput() {
        return switch (random.nextInt(19)) {
            case 0, 1, 2, 3 -> arrival();
            case 4 -> claimInput();
            case 5, 6 -> attemptInput(id -> new RequestInput.AttemptCompleted(id, 9));
            case 7 ->
                attemptInput(id -> new RequestInput.AttemptFailed(id, AttemptFailure.values()[random.nextInt(6)]));
            case 8 -> attemptInput(RequestInput.AttemptSent::new);
            case 9 ->
                attemptInput(id -> new RequestInput.AttemptProgressed(
                        id, random.nextInt(9), Optional.of(WeightVersion.of(7)), random.nextBoolean()));
            case 10 -> memberInput();
            case 11 -> leaseInput();
            case 12 -> new RequestInput.EndpointAvailability(anyEndpoint(), random.nextInt(4) > 0);
            case 13 -> cancellation();
            case 14 ->
                new RequestInput.LoadReported(
                        anyEndpoint(), 1, now, random.nextInt(4), random.nextInt(3), now - random.nextInt(50));
            case 15 -> shares(1 + random.nextInt(MAXIMUM_SHARE));
            case 16 -> quarantine();
            default -> new RequestInput.Tick();
        };
    }

    private RequestInput shares(int value) {
        share = value;
        return new RequestInput.SharesAssigned(Map.of(CoreFixture.MODEL, share, CoreFixture.PLAIN, share));
    }

    private RequestInput quarantine() {
        quarantined = Set.of(anyFingerprint());
        Set<Fingerprint> candidateFingerprints = Set.copyOf(List.of(anyFingerprint()));
        for (Fingerprint fingerprint : candidateFingerprints) {
            if (!publishedCandidates.contains(fingerprint)) {
                SERVICES.forEach(service -> candidates.add(service + "/" + fingerprint));
            }
        }
        publishedCandidates = candidateFingerprints;
        return new RequestInput.QuarantineChanged(
                Map.of(CoreFixture.MODEL, quarantined, CoreFixture.PLAIN, quarantined), candidateFingerprints);
    }

    private Fingerprint anyFingerprint() {
        return Fingerprint.of("f" + random.nextInt(40));
    }

    private String candidateName(RequestId request) {
        return arrived.get(request).service() + "/" + arrived.get(request).fingerprint();
    }

    private RequestInput arrival() {
        RequestBuilder request = new RequestBuilder("r" + nextRequest++)
                .service(SERVICES.get(random.nextInt(2)))
                .fingerprint("f" + random.nextInt(40))
                .prefix((long) random.nextInt(5))
                .deadline(now + 50 + random.nextInt(5_000));
        switch (random.nextInt(5)) {
            case 0 -> request.notIdempotent();
            case 1 -> request.key("key-" + random.nextInt(30));
            case 2 -> request.training("trainer-" + random.nextInt(2)).service(CoreFixture.MODEL);
            default -> request.avoid("e" + random.nextInt(6));
        }
        RequestArrived input = request.build();
        arrived.put(input.request(), input);
        return input;
    }

    private RequestInput claimInput() {
        if (claiming.isEmpty()) {
            return new RequestInput.Tick();
        }
        RequestId request = claiming.remove(random.nextInt(claiming.size()));
        if (random.nextInt(4) == 0) {
            return new RequestInput.ClaimFailed(request);
        }
        ClaimState state = random.nextInt(3) > 0 ? ClaimState.GRANTED : ClaimState.values()[random.nextInt(5)];
        claimDeadlines.put(request, now + random.nextInt(400) - 50);
        return new RequestInput.ClaimAnswered(request, state, Optional.empty(), claimDeadlines.get(request));
    }

    private RequestInput attemptInput(java.util.function.Function<AttemptId, RequestInput> inputFactory) {
        List<AttemptId> ids = new ArrayList<>(random.nextInt(8) == 0 ? closed : open.keySet());
        ids.sort(null);
        if (ids.isEmpty()) {
            return new RequestInput.Tick();
        }
        AttemptId id = ids.get(random.nextInt(ids.size()));
        RequestInput input = inputFactory.apply(id);
        StartAttempt start = open.get(id);
        if (start != null) {
            record(start, input);
        }
        return input;
    }

    private void record(StartAttempt start, RequestInput input) {
        boolean ends = input instanceof RequestInput.AttemptCompleted || input instanceof RequestInput.AttemptFailed;
        boolean provablyNotRun = input instanceof RequestInput.AttemptFailed failed
                && (failed.failure() == AttemptFailure.REFUSED_NOT_RUN
                        || failed.failure() == AttemptFailure.CONNECT_FAILED
                                && !possiblySent.contains(start.attempt()));
        if (!ends) {
            possiblySent.add(start.attempt());
        } else {
            open.remove(start.attempt());
            closed.add(start.attempt());
            if (input instanceof RequestInput.AttemptCompleted) {
                candidates.remove(candidateName(start.request()));
            }
            if (!provablyNotRun) {
                mayHaveRun.merge(start.request(), 1, Integer::sum);
            }
        }
    }

    private RequestInput memberInput() {
        int index = random.nextInt(6);
        EndpointRecord member = members.get(EndpointId.of("e" + index));
        if (member == null || random.nextInt(3) == 0) {
            return joinEndpoint(index, member == null ? now + 2 : member.incarnation() + 1);
        }
        if (random.nextBoolean()) {
            members.put(member.id(), member.asLeaving());
            return CoreFixture.endpointsChanged(member.asLeaving());
        }
        members.remove(member.id());
        return new RequestInput.MembershipChanged(
                new MembershipDelta(1, 2, List.of(), List.of(member.id()), List.of(), List.of()));
    }

    private RequestInput joinEndpoint(int index, long incarnation) {
        EndpointRecord endpoint =
                CoreFixture.endpoint("e" + index, SERVICES.get(index % 2), 2, incarnation, CoreFixture.LOCAL_DOMAIN, 7);
        members.put(endpoint.id(), endpoint);
        return CoreFixture.endpointsChanged(endpoint);
    }

    private RequestInput leaseInput() {
        leaseUntil = Math.max(leaseUntil, now + random.nextInt(3_000));
        return new RequestInput.LeaseRenewed(leaseUntil);
    }

    private RequestInput cancellation() {
        RequestId request = RequestId.of("r" + random.nextInt(nextRequest + 1));
        if (arrived.containsKey(request)) {
            cancelled.add(request);
        }
        return new RequestInput.RequestCancelled(request);
    }

    private EndpointId anyEndpoint() {
        return EndpointId.of("e" + random.nextInt(6));
    }

    private void check(List<RequestCommand> commands) {
        for (RequestCommand command : commands) {
            switch (command) {
                case StartAttempt start -> checkStart(start);
                case RequestCommand.CancelAttempt cancel -> {
                    StartAttempt start = open.remove(cancel.attempt());
                    closed.add(cancel.attempt());
                    mayHaveRun.merge(start.request(), 1, Integer::sum);
                }
                case RequestCommand.FinishRequest finish -> finalCommandCounts.merge(finish.request(), 1, Integer::sum);
                case RequestCommand.ReplayOutcome replay -> finalCommandCounts.merge(replay.request(), 1, Integer::sum);
                case RequestCommand.RefuseRequest refuse -> {
                    finalCommandCounts.merge(refuse.request(), 1, Integer::sum);
                    if (refuse.runState() == RunState.NOT_RUN) {
                        assertFalse(mayHaveRun.containsKey(refuse.request()), "may have run: " + refuse);
                    }
                }
                case RequestCommand.RequestClaim claim -> claiming.add(claim.request());
                case RequestCommand.RecordOutcome outcome ->
                    assertTrue(
                            outcome.completedBy().isPresent() || !mayHaveRun.containsKey(outcome.request()),
                            "claim released although the request may have run: " + outcome);
                case RequestCommand.ReportCrash crash ->
                    assertFalse(crash.batch().isEmpty());
            }
        }
    }

    /** A quarantined sample is owed, so it runs, but like a candidate. */
    private boolean runsApart(RequestId request) {
        return candidates.contains(candidateName(request))
                || quarantined.contains(arrived.get(request).fingerprint());
    }

    private void checkStart(StartAttempt start) {
        RequestArrived request = arrived.get(start.request());
        assertTrue(now < leaseUntil, "dispatch after the lease lapsed");
        assertTrue(now < request.deadlineMilliseconds(), "dispatch after the deadline");
        assertFalse(request.avoid().contains(start.endpoint()), "dispatch to an excluded endpoint");
        EndpointRecord member = members.get(start.endpoint());
        assertTrue(member != null && !member.leaving(), "dispatch to a leaving endpoint");
        if (!request.idempotent()) {
            assertFalse(mayHaveRun.containsKey(start.request()), "second run of " + request);
            if (request.key().isPresent()) {
                assertTrue(now < claimDeadlines.getOrDefault(start.request(), 0L), "dispatch without claim");
                claimsRun.add(start.request());
            }
        }
        assertFalse(
                quarantined.contains(request.fingerprint()) && request.precedence() == Precedence.CUSTOMER,
                "dispatch of a quarantined request");
        assertFalse(
                runsApart(start.request())
                        && open.values().stream()
                                .anyMatch(other -> member.equals(endpointByAttempt.get(other.attempt()))
                                        && runsApart(other.request())),
                "two quarantine candidates on one endpoint");
        endpointByAttempt.put(start.attempt(), member);
        open.put(start.attempt(), start);
        long ofService = open.values().stream()
                .filter(other -> arrived.get(other.request()).service().equals(request.service()))
                .count();
        assertTrue(ofService <= share, "more attempts than the share");
    }
}
