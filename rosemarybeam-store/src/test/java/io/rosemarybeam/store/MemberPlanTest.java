package io.rosemarybeam.store;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.rosemarybeam.consensus.DurableState;
import io.rosemarybeam.consensus.HardState;
import io.rosemarybeam.consensus.LogMessage;
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

/**
 * Guards against permanently lost hosts that stay members, so that all others keep trying to connect to them, and against the
 * removal of hosts that are only suspended.
 */
class MemberPlanTest {
    private static final long SILENCE_MILLISECONDS = 2_000;
    private static final long REMOVAL_MILLISECONDS = 10_000;
    private static final Member SELF = member("10.0.0.1");
    private static final Member LEARNER = member("10.0.0.2");

    private static Member member(String host) {
        return new Member(new MemberId(host, 1), host + ":7000");
    }

    /** Returns the log of a leader that is the only voter and has one learner. */
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

    private static MemberPlan.Input silentFor(long milliseconds) {
        Map<String, MemberPlan.ObservedHost> observed =
                Map.of(LEARNER.id().name(), new MemberPlan.ObservedHost(LEARNER, milliseconds));
        return new MemberPlan.Input(1, observed, Set.of(), SILENCE_MILLISECONDS, REMOVAL_MILLISECONDS);
    }

    @Test
    void shouldRemoveLearnerWhenItIsSilentForLong() {
        assertEquals(
                Optional.of(new MembershipChange.Remove(LEARNER.id())),
                MemberPlan.next(leader(), silentFor(REMOVAL_MILLISECONDS + 1)));
    }

    @Test
    void shouldRetainLearnerWhenItMayOnlyBeSuspended() {
        assertEquals(Optional.empty(), MemberPlan.next(leader(), silentFor(REMOVAL_MILLISECONDS - 1)));
    }

    @Test
    void shouldRetainLearnerWhenLeaderNeverHadContactWithIt() {
        MemberPlan.Input unknown =
                new MemberPlan.Input(1, Map.of(), Set.of(), SILENCE_MILLISECONDS, REMOVAL_MILLISECONDS);

        assertEquals(Optional.empty(), MemberPlan.next(leader(), unknown));
    }

    @Test
    void shouldAddHostAgainWhenContactIsRestored() {
        Member returned = new Member(new MemberId("10.0.0.3", 9), "10.0.0.3:7000");
        MemberPlan.Input input = new MemberPlan.Input(
                1,
                Map.of("10.0.0.3", new MemberPlan.ObservedHost(returned, 100)),
                Set.of(),
                SILENCE_MILLISECONDS,
                REMOVAL_MILLISECONDS);

        assertEquals(Optional.of(new MembershipChange.AddLearner(returned)), MemberPlan.next(leader(), input));
    }

    /** Membership of three voters and a learner, as seen by a leader that one of the voters does not answer. */
    private static final class Replacement {
        private static final Member SILENT = member("10.0.0.2");
        private static final Member FOLLOWER = member("10.0.0.3");
        private static final Member SPARE = member("10.0.0.4");

        final ReplicatedLog log;

        Replacement() {
            Membership members = new Membership(List.of(SELF, SILENT, FOLLOWER), List.of(SPARE));
            LogSnapshot first = new LogSnapshot(1, 1, members, new byte[0]);
            DurableState durable = new DurableState(new HardState(1, Optional.empty()), Optional.of(first), List.of());
            log = new ReplicatedLog(LogOptions.standard(1), SELF.id(), durable);
            run(60);
        }

        void run(int ticks) {
            for (int tick = 0; tick < ticks; tick++) {
                log.tick();
                while (log.hasReady()) {
                    Ready ready = log.ready();
                    if (ready.needsPersisting()) {
                        log.persisted(0, 0);
                    }
                    ready.messages().stream()
                            .filter(envelope -> !envelope.to().equals(SILENT.id()))
                            .forEach(this::answer);
                }
            }
        }

        private void answer(LogMessage.Envelope envelope) {
            Optional<LogMessage> answer = switch (envelope.message()) {
                case LogMessage.RequestVote request ->
                    Optional.of(new LogMessage.Vote(request.term(), request.preVote(), true));
                case LogMessage.Append append -> {
                    long last = append.previousIndex() + append.entries().size();
                    yield Optional.of(new LogMessage.Appended(append.term(), true, last, 0, append.readRound()));
                }
                default -> Optional.empty();
            };
            answer.ifPresent(message -> log.receive(new LogMessage.Envelope(envelope.to(), SELF.id(), message)));
        }

        MemberPlan.Input input(Set<String> retiring, long silence) {
            Map<String, MemberPlan.ObservedHost> observed = Map.of(
                    SILENT.id().name(), new MemberPlan.ObservedHost(SILENT, silence),
                    FOLLOWER.id().name(), new MemberPlan.ObservedHost(FOLLOWER, 100),
                    SPARE.id().name(), new MemberPlan.ObservedHost(SPARE, 100));
            return new MemberPlan.Input(3, observed, retiring, SILENCE_MILLISECONDS, REMOVAL_MILLISECONDS);
        }

        /** Applies the planned changes one after the other and returns the smallest number of voters on the way. */
        int fewestVoters(MemberPlan.Input input) {
            int fewest = log.membership().voters().size();
            for (int round = 0; round < 10; round++) {
                MemberPlan.next(log, input).ifPresent(log::proposeChange);
                fewest = Math.min(fewest, log.membership().voters().size());
                run(20);
            }
            return fewest;
        }
    }

    /**
     * With two voters the loss of a single disk would end the log for good, although the silent host still has its disk.
     */
    @Test
    void shouldNeverHaveFewerVotersThanTheTargetWhenSilentVoterIsReplaced() {
        Replacement replacement = new Replacement();

        int fewest = replacement.fewestVoters(replacement.input(Set.of(), SILENCE_MILLISECONDS + 1));

        assertEquals(3, fewest);
        assertEquals(
                Set.of(SELF, Replacement.FOLLOWER, Replacement.SPARE),
                Set.copyOf(replacement.log.membership().voters()));
    }

    /** A retiring host holds the log until its successor has a vote, so that the loss of another disk is survived. */
    @Test
    void shouldNeverHaveFewerVotersThanTheTargetWhenVoterIsRetired() {
        Replacement replacement = new Replacement();
        String retiring = Replacement.SILENT.id().name();

        int fewest = replacement.fewestVoters(replacement.input(Set.of(retiring), 100));

        assertEquals(3, fewest);
        assertEquals(
                Set.of(SELF, Replacement.FOLLOWER, Replacement.SPARE),
                Set.copyOf(replacement.log.membership().voters()));
    }
}
