package io.rosemarybeam.store;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.rosemarybeam.consensus.Member;
import io.rosemarybeam.consensus.MemberId;
import io.rosemarybeam.consensus.Membership;
import io.rosemarybeam.consensus.MembershipChange;
import io.rosemarybeam.consensus.ReplicatedLog;

/**
 * Decides the next change of the log's members.
 *
 * <p>Load pattern: hosts that lose their disk, are replaced by others, are retired, or fall silent, one after the other. The
 * number of voters is 2f + 1 for f hosts that may be lost at once; all other hosts are learners. A voter that is silent, has
 * a new disk or is retired gives way once a learner holds everything. A learner that is silent for long is forgotten, because
 * all hosts would go on trying to reach it; it joins again when it is heard. Stateless.
 */
final class MemberPlan {
    private MemberPlan() {}

    /**
     * What the leader sees of a host.
     *
     * @param member its identity and address
     * @param silentMilliseconds time since it was last heard
     */
    record Seen(Member member, long silentMilliseconds) {}

    /**
     * What to plan for.
     *
     * @param wantedVoters number of voters to reach
     * @param seen hosts by name, as they last identified themselves
     * @param retiring names, that is IP numbers, of hosts that are to be emptied
     * @param silenceLimit time after which a silent voter is replaced, in milliseconds
     * @param forgetLimit time after which a silent learner is forgotten, in milliseconds
     */
    record Situation(
            int wantedVoters, Map<String, Seen> seen, Set<String> retiring, long silenceLimit, long forgetLimit) {}

    /**
     * Plans the next change.
     *
     * @param log the log of the leader
     * @param situation what to plan for
     * @return the change, or empty if nothing is to be done now
     */
    static Optional<MembershipChange> next(ReplicatedLog log, Situation situation) {
        if (!log.hasCommittedInTerm() || log.isChangePending()) {
            return Optional.empty();
        }
        return staleLearner(log, situation)
                .or(() -> addition(log, situation))
                .or(() -> promotion(log, situation))
                .or(() -> removal(log, situation));
    }

    private static Optional<MembershipChange> staleLearner(ReplicatedLog log, Situation situation) {
        return log.membership().learners().stream()
                .map(Member::id)
                .filter(id -> isReplaced(id, situation)
                        || situation.retiring().contains(id.name())
                        || isForgotten(log, id, situation))
                .findFirst()
                .map(MembershipChange.Remove::new);
    }

    /** A leader that has never heard of a host cannot tell since when it is silent. */
    private static boolean isForgotten(ReplicatedLog log, MemberId id, Situation situation) {
        Seen seen = situation.seen().get(id.name());
        return !log.isActive(id) && seen != null && seen.silentMilliseconds() > situation.forgetLimit();
    }

    private static Optional<MembershipChange> addition(ReplicatedLog log, Situation situation) {
        Membership membership = log.membership();
        return situation.seen().values().stream()
                .filter(seen -> seen.silentMilliseconds() < situation.silenceLimit())
                .map(Seen::member)
                .filter(member -> !situation.retiring().contains(member.id().name()))
                .filter(member -> membership.find(member.id()).isEmpty())
                .min(Comparator.comparing(Member::id))
                .map(MembershipChange.AddLearner::new);
    }

    private static Optional<MembershipChange> promotion(ReplicatedLog log, Situation situation) {
        if (log.membership().voters().size() >= situation.wantedVoters()) {
            return Optional.empty();
        }
        return successor(log, situation).map(MembershipChange.Promote::new);
    }

    private static Optional<MemberId> successor(ReplicatedLog log, Situation situation) {
        return log.membership().learners().stream()
                .map(Member::id)
                .filter(id -> !situation.retiring().contains(id.name()))
                .filter(id -> log.isActive(id) && log.isCaughtUp(id))
                .min(Comparator.naturalOrder());
    }

    private static Optional<MembershipChange> removal(ReplicatedLog log, Situation situation) {
        List<MemberId> voters =
                log.membership().voters().stream().map(Member::id).toList();
        boolean hasSuccessor = successor(log, situation).isPresent();
        boolean isSurplus = voters.size() > situation.wantedVoters();
        return voters.stream()
                .filter(id -> !id.equals(log.self()))
                .filter(id -> mustLeave(log, id, situation))
                .filter(id -> hasSuccessor || isSurplus)
                .filter(id -> quorumSurvivesWithout(log, id))
                .findFirst()
                .map(MembershipChange.Remove::new);
    }

    private static boolean mustLeave(ReplicatedLog log, MemberId id, Situation situation) {
        Seen seen = situation.seen().get(id.name());
        boolean isSilent = !log.isActive(id) && (seen == null || seen.silentMilliseconds() > situation.silenceLimit());
        return isReplaced(id, situation) || situation.retiring().contains(id.name()) || isSilent;
    }

    private static boolean isReplaced(MemberId id, Situation situation) {
        Seen seen = situation.seen().get(id.name());
        return seen != null && seen.member().id().incarnation() != id.incarnation();
    }

    private static boolean quorumSurvivesWithout(ReplicatedLog log, MemberId removed) {
        Membership after = log.membership().after(new MembershipChange.Remove(removed));
        long active = after.voters().stream()
                .filter(voter -> voter.id().equals(log.self()) || log.isActive(voter.id()))
                .count();
        return !after.voters().isEmpty() && active >= after.quorum();
    }
}
