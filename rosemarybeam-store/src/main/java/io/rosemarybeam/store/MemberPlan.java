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
    record ObservedHost(Member member, long silentMilliseconds) {}

    /**
     * What to plan for.
     *
     * @param targetVoters number of voters to reach
     * @param observed hosts by name, as they last identified themselves
     * @param retiring names, that is IP numbers, of hosts that are to be emptied
     * @param silenceTimeout time after which a silent voter is replaced, in milliseconds
     * @param learnerRemovalTimeout time after which a silent learner is forgotten, in milliseconds
     */
    record Input(
            int targetVoters,
            Map<String, ObservedHost> observed,
            Set<String> retiring,
            long silenceTimeout,
            long learnerRemovalTimeout) {}

    /**
     * Plans the next change.
     *
     * @param log the log of the leader
     * @param input what to plan for
     * @return the change, or empty if nothing is to be done now
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

    /** A leader that has never heard of a host cannot tell since when it is silent. */
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

    private static Optional<MembershipChange> promotion(ReplicatedLog log, Input input) {
        if (log.membership().voters().size() >= input.targetVoters()) {
            return Optional.empty();
        }
        return successor(log, input).map(MembershipChange.Promote::new);
    }

    private static Optional<MemberId> successor(ReplicatedLog log, Input input) {
        return log.membership().learners().stream()
                .map(Member::id)
                .filter(id -> !input.retiring().contains(id.name()))
                .filter(id -> log.isActive(id) && log.isCaughtUp(id))
                .min(Comparator.naturalOrder());
    }

    private static Optional<MembershipChange> removal(ReplicatedLog log, Input input) {
        List<MemberId> voters =
                log.membership().voters().stream().map(Member::id).toList();
        boolean hasSuccessor = successor(log, input).isPresent();
        boolean isSurplus = voters.size() > input.targetVoters();
        return voters.stream()
                .filter(id -> !id.equals(log.self()))
                .filter(id -> mustBeRemoved(log, id, input))
                .filter(id -> hasSuccessor || isSurplus)
                .filter(id -> quorumSurvivesWithout(log, id))
                .findFirst()
                .map(MembershipChange.Remove::new);
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

    private static boolean quorumSurvivesWithout(ReplicatedLog log, MemberId removed) {
        Membership after = log.membership().after(new MembershipChange.Remove(removed));
        long active = after.voters().stream()
                .filter(voter -> voter.id().equals(log.self()) || log.isActive(voter.id()))
                .count();
        return !after.voters().isEmpty() && active >= after.quorum();
    }
}
