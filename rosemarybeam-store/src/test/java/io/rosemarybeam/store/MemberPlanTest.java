package io.rosemarybeam.store;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.rosemarybeam.consensus.DurableState;
import io.rosemarybeam.consensus.HardState;
import io.rosemarybeam.consensus.LogOptions;
import io.rosemarybeam.consensus.LogSnapshot;
import io.rosemarybeam.consensus.Member;
import io.rosemarybeam.consensus.MemberId;
import io.rosemarybeam.consensus.Membership;
import io.rosemarybeam.consensus.MembershipChange;
import io.rosemarybeam.consensus.Ready;
import io.rosemarybeam.consensus.ReplicatedLog;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against hosts that are gone for good and that all others try to reach for ever. */
class MemberPlanTest {
    private static final long SILENCE = 2_000;
    private static final long FORGET = 10_000;
    private static final Member SELF = member("10.0.0.1");
    private static final Member LEARNER = member("10.0.0.2");

    private static Member member(String host) {
        return new Member(new MemberId(host, 1), host + ":7000");
    }

    /** The log of a leader that is the only voter and has one learner. */
    private static ReplicatedLog leader() {
        Membership members = new Membership(List.of(SELF), List.of(LEARNER));
        LogSnapshot first = new LogSnapshot(1, 1, members, new byte[0]);
        DurableState durable = new DurableState(new HardState(1, Optional.empty()), Optional.of(first), List.of());
        ReplicatedLog log = new ReplicatedLog(LogOptions.standard(1), SELF.id(), durable);
        for (int tick = 0; tick < 50 && !log.hasCommittedInTerm(); tick++) {
            log.tick();
            while (log.hasReady()) {
                Ready ready = log.ready();
                if (ready.needsPersisting()) {
                    boolean hasEntries = !ready.entries().isEmpty();
                    log.persisted(
                            hasEntries ? ready.entries().getLast().index() : 0,
                            hasEntries ? ready.entries().getLast().term() : 0);
                }
            }
        }
        return log;
    }

    private static MemberPlan.Situation silentFor(long milliseconds) {
        Map<String, MemberPlan.Seen> seen = Map.of(LEARNER.id().name(), new MemberPlan.Seen(LEARNER, milliseconds));
        return new MemberPlan.Situation(1, seen, Set.of(), SILENCE, FORGET);
    }

    @Test
    void shouldForgetLearnerWhenItIsSilentForLong() {
        assertEquals(
                Optional.of(new MembershipChange.Remove(LEARNER.id())),
                MemberPlan.next(leader(), silentFor(FORGET + 1)));
    }

    @Test
    void shouldKeepLearnerWhenItMayOnlyBeSuspended() {
        assertEquals(Optional.empty(), MemberPlan.next(leader(), silentFor(FORGET - 1)));
    }

    @Test
    void shouldKeepLearnerWhenLeaderHasNeverHeardOfIt() {
        MemberPlan.Situation unknown = new MemberPlan.Situation(1, Map.of(), Set.of(), SILENCE, FORGET);

        assertEquals(Optional.empty(), MemberPlan.next(leader(), unknown));
    }

    @Test
    void shouldTakeHostInAgainWhenItIsHeard() {
        Member back = new Member(new MemberId("10.0.0.3", 9), "10.0.0.3:7000");
        MemberPlan.Situation heard = new MemberPlan.Situation(
                1, Map.of("10.0.0.3", new MemberPlan.Seen(back, 100)), Set.of(), SILENCE, FORGET);

        assertEquals(Optional.of(new MembershipChange.AddLearner(back)), MemberPlan.next(leader(), heard));
    }
}
