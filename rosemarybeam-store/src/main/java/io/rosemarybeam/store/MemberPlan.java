package io.rosemarybeam.store;

import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

import io.rosemarybeam.consensus.Member;
import io.rosemarybeam.consensus.MemberId;
import io.rosemarybeam.consensus.Membership;
import io.rosemarybeam.consensus.MembershipChange;
import io.rosemarybeam.consensus.ReplicatedLog;

/**
 * Decides the next membership change of the replicated log.
 *
 * <p>Handles hosts that lose their disk, are replaced, are retired, or become unreachable, one after the other. The number of
 * voters is 2f + 1 for f hosts that may be lost at once; all other hosts are learners. A voter that is silent, has a new disk
 * or is retired is removed once a learner has caught up and was promoted in its place. A learner that is silent for too
 * long is removed, because all hosts would otherwise keep trying to connect to it; it is added again at the next contact.
 * Stateless.
 */
final class MemberPlan {
    private MemberPlan() {}

    /**
     * A host as observed by the leader.
     *
     * @param member its identity and address
     * @param silentMilliseconds time since the last contact, in milliseconds
     */
    record ObservedHost(Member member, long silentMilliseconds) {}

    /**
     * The input of a planning round.
     *
     * @param targetVoters number of voters to reach
     * @param observed hosts by IP number, as they last identified themselves
     * @param retiring IP numbers of retiring hosts
     * @param silenceTimeout time without contact after which a voter is replaced, in milliseconds
     * @param learnerRemovalTimeout time without contact after which a learner is removed, in milliseconds
     */
    record Input(
            int targetVoters,
            Map<String, ObservedHost> observed,
            Set<String> retiring,
            long silenceTimeout,
            long learnerRemovalTimeout) {}

    /**
     * Plans the next change; changes are made one at a time, and only in a term in which the leader has committed an entry.
     *
     * @param log the log of the leader
     * @param input the observed hosts and the targets
     * @return the change, or empty if none is needed or possible now
     */
    static Optional<MembershipChange> next(ReplicatedLog log, Input input) {
        if (!log.hasCommittedInTerm() || log.isChangePending()) {
            return Optional.empty();
        }
        return staleLearner(log, input)
                .or(() -> addition(log, input))
                .or(() -> promotion(log, input))
                .or(() -> removal(log, input));
    }

    private static Optional<MembershipChange> staleLearner(ReplicatedLog log, Input input) {
        return log.membership().learners().stream()
                .map(Member::id)
                .filter(id -> isReplaced(id, input)
                        || input.retiring().contains(id.name())
                        || isSilentForTooLong(log, id, input))
                .findFirst()
                .map(MembershipChange.Remove::new);
    }

    /** Returns false for a host that this leader never had contact with, because the start of its silence is unknown. */
    private static boolean isSilentForTooLong(ReplicatedLog log, MemberId id, Input input) {
        ObservedHost host = input.observed().get(id.name());
        return !log.isActive(id) && host != null && host.silentMilliseconds() > input.learnerRemovalTimeout();
    }

    private static Optional<MembershipChange> addition(ReplicatedLog log, Input input) {
        Membership membership = log.membership();
        return input.observed().values().stream()
                .filter(host -> host.silentMilliseconds() < input.silenceTimeout())
                .map(ObservedHost::member)
                .filter(member -> !input.retiring().contains(member.id().name()))
                .filter(member -> membership.find(member.id()).isEmpty())
                .min(Comparator.comparing(Member::id))
                .map(MembershipChange.AddLearner::new);
    }

    /**
     * Promotes a learner if there are too few voters, or one of them must be removed. The removal follows, so the number of
     * voters never falls below the target, and the loss of any tolerated number of disks leaves a quorum.
     */
    private static Optional<MembershipChange> promotion(ReplicatedLog log, Input input) {
        int voters = log.membership().voters().size();
        boolean isReplacement = voters == input.targetVoters()
                && removableVoters(log, input).findAny().isPresent();
        if (voters >= input.targetVoters() && !isReplacement) {
            return Optional.empty();
        }
        return successor(log, input)
                .<MembershipChange>map(MembershipChange.Promote::new)
                .filter(change -> quorumSurvives(log, change));
    }

    private static Optional<MemberId> successor(ReplicatedLog log, Input input) {
        return log.membership().learners().stream()
                .map(Member::id)
                .filter(id -> !input.retiring().contains(id.name()))
                .filter(id -> log.isActive(id) && log.isCaughtUp(id))
                .min(Comparator.naturalOrder());
    }

    private static Optional<MembershipChange> removal(ReplicatedLog log, Input input) {
        if (log.membership().voters().size() <= input.targetVoters()) {
            return Optional.empty();
        }
        return removableVoters(log, input)
                .<MembershipChange>map(MembershipChange.Remove::new)
                .filter(change -> quorumSurvives(log, change))
                .findFirst();
    }

    private static Stream<MemberId> removableVoters(ReplicatedLog log, Input input) {
        return log.membership().voters().stream()
                .map(Member::id)
                .filter(id -> !id.equals(log.self()))
                .filter(id -> mustBeRemoved(log, id, input));
    }

    private static boolean mustBeRemoved(ReplicatedLog log, MemberId id, Input input) {
        ObservedHost host = input.observed().get(id.name());
        boolean isSilent = !log.isActive(id) && (host == null || host.silentMilliseconds() > input.silenceTimeout());
        return isReplaced(id, input) || input.retiring().contains(id.name()) || isSilent;
    }

    private static boolean isReplaced(MemberId id, Input input) {
        ObservedHost host = input.observed().get(id.name());
        return host != null && host.member().id().incarnation() != id.incarnation();
    }

    private static boolean quorumSurvives(ReplicatedLog log, MembershipChange change) {
        Membership after = log.membership().after(change);
        long active = after.voters().stream()
                .filter(voter -> voter.id().equals(log.self()) || log.isActive(voter.id()))
                .count();
        return !after.voters().isEmpty() && active >= after.quorum();
    }
}
