package io.rosemarybeam.control;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import io.rosemarybeam.common.configuration.OperatorConfiguration.ControlHost;
import io.rosemarybeam.consensus.Member;
import io.rosemarybeam.consensus.MemberId;
import io.rosemarybeam.consensus.Membership;
import io.rosemarybeam.consensus.MembershipChange;
import io.rosemarybeam.consensus.ReplicatedLog;

/**
 * Reconciles the members of the log with the configured control hosts, one membership change at a time.
 *
 * <p>A desired host is added as a learner and promoted when it holds every committed entry; obsolete voters are removed
 * only when all desired hosts vote. A host whose disk was lost returns with another incarnation, which is added as a
 * learner beside the voter of the old incarnation; once it is caught up, the old incarnation is removed and the new one
 * promoted. Confined to the control executor.
 */
final class MembershipReconciler {
    /** Incarnations by host name, one element for every open connection, the newest last. */
    private final Map<String, Deque<Long>> connectedIncarnations = new HashMap<>();

    void connected(String name, long incarnation) {
        connectedIncarnations
                .computeIfAbsent(name, ignored -> new ArrayDeque<>())
                .addLast(incarnation);
    }

    void disconnected(String name, long incarnation) {
        connectedIncarnations.getOrDefault(name, new ArrayDeque<>()).removeFirstOccurrence(incarnation);
    }

    private Optional<Long> incarnationOf(String name) {
        return Optional.ofNullable(connectedIncarnations.get(name)).map(Deque::peekLast);
    }

    /** The next action of the leader. */
    sealed interface Action {
        /** Change the membership. */
        record ChangeMembership(MembershipChange change) implements Action {}

        /**
         * Transfer leadership, because this host is to be removed.
         *
         * @param target the voter that is to lead next
         */
        record TransferLeadership(MemberId target) implements Action {}
    }

    /** Returns the next action, or empty if the members match or a change is still in progress. */
    Optional<Action> nextAction(ReplicatedLog log, List<ControlHost> desired) {
        if (!log.hasCommittedInTerm() || log.isChangePending()) {
            return Optional.empty();
        }
        return nextStaleLearnerRemoval(log, desired)
                .or(() -> nextAddition(log, desired))
                .or(() -> nextRemoval(log, desired));
    }

    private Optional<Action> nextStaleLearnerRemoval(ReplicatedLog log, List<ControlHost> desired) {
        Set<String> names = names(desired);
        return log.membership().learners().stream()
                .map(Member::id)
                .filter(id -> !names.contains(id.name()) || isOtherIncarnationConnected(id))
                .findFirst()
                .map(id -> new Action.ChangeMembership(new MembershipChange.Remove(id)));
    }

    private boolean isOtherIncarnationConnected(MemberId id) {
        return incarnationOf(id.name())
                .filter(connected -> connected != id.incarnation())
                .isPresent();
    }

    private Optional<Action> nextAddition(ReplicatedLog log, List<ControlHost> desired) {
        for (ControlHost host : desired) {
            Optional<Action> action = nextAddition(log, host);
            if (action.isPresent()) {
                return action;
            }
        }
        return Optional.empty();
    }

    private Optional<Action> nextAddition(ReplicatedLog log, ControlHost host) {
        String name = host.name().value();
        Optional<Long> incarnation = incarnationOf(name);
        boolean isSelf = name.equals(log.self().name());
        if (incarnation.isEmpty() || isSelf) {
            return Optional.empty();
        }
        MemberId id = new MemberId(name, incarnation.get());
        Membership membership = log.membership();
        if (membership.isVoter(id)) {
            return Optional.empty();
        }
        if (!membership.isLearner(id)) {
            return Optional.of(
                    new Action.ChangeMembership(new MembershipChange.AddLearner(new Member(id, host.address()))));
        }
        if (!log.isCaughtUp(id) || !log.isActive(id)) {
            return Optional.empty();
        }
        Optional<MemberId> former = membership.voters().stream()
                .map(Member::id)
                .filter(voter -> voter.name().equals(name))
                .findFirst();
        if (former.isPresent()) {
            return former.filter(voter -> quorumSurvivesWithout(log, voter))
                    .map(voter -> new Action.ChangeMembership(new MembershipChange.Remove(voter)));
        }
        return Optional.of(new Action.ChangeMembership(new MembershipChange.Promote(id)));
    }

    private Optional<Action> nextRemoval(ReplicatedLog log, List<ControlHost> desired) {
        Set<String> names = names(desired);
        Membership membership = log.membership();
        Set<String> voterNames =
                membership.voters().stream().map(voter -> voter.id().name()).collect(Collectors.toSet());
        if (!voterNames.containsAll(names)) {
            return Optional.empty();
        }
        Optional<MemberId> obsolete = membership.voters().stream()
                .map(Member::id)
                .filter(id -> !names.contains(id.name()))
                .filter(id -> quorumSurvivesWithout(log, id))
                .min((one, other) -> Boolean.compare(one.equals(log.self()), other.equals(log.self())));
        if (obsolete.isEmpty() || !obsolete.get().equals(log.self())) {
            return obsolete.map(id -> new Action.ChangeMembership(new MembershipChange.Remove(id)));
        }
        return membership.voters().stream()
                .map(Member::id)
                .filter(id -> names.contains(id.name()) && log.isActive(id) && log.isCaughtUp(id))
                .findFirst()
                .map(Action.TransferLeadership::new);
    }

    private static boolean quorumSurvivesWithout(ReplicatedLog log, MemberId removed) {
        Membership after = log.membership().after(new MembershipChange.Remove(removed));
        long active = after.voters().stream()
                .filter(voter -> log.isActive(voter.id()))
                .count();
        return active >= after.quorum() && !after.voters().isEmpty();
    }

    private static Set<String> names(List<ControlHost> hosts) {
        return hosts.stream().map(host -> host.name().value()).collect(Collectors.toSet());
    }
}
