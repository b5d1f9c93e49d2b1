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
 * Leads the members of the log to the wanted control hosts, one change at a time.
 *
 * <p>A wanted host becomes a learner, is promoted when it holds every committed entry, and only then are unwanted hosts
 * removed. A host whose disk was lost comes back with another incarnation: it becomes a learner beside the voter that it
 * was; once caught up, the old incarnation is removed and the new one promoted. Confined to the control executor.
 */
final class MembershipReconciler {
    /** Incarnations by name, one element for every open connection, the newest last. */
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

    /** What to do next. */
    sealed interface Step {
        /**
         * Change the membership.
         *
         * @param change the change
         */
        record Change(MembershipChange change) implements Step {}

        /**
         * Hand leadership over, because this host is to be removed.
         *
         * @param target the next leader
         */
        record Transfer(MemberId target) implements Step {}
    }

    Optional<Step> next(ReplicatedLog log, List<ControlHost> wanted) {
        if (!log.hasCommittedInTerm() || log.isChangePending()) {
            return Optional.empty();
        }
        return staleLearner(log, wanted).or(() -> addition(log, wanted)).or(() -> removal(log, wanted));
    }

    private Optional<Step> staleLearner(ReplicatedLog log, List<ControlHost> wanted) {
        Set<String> names = names(wanted);
        return log.membership().learners().stream()
                .map(Member::id)
                .filter(id -> !names.contains(id.name()) || isOtherConnected(id))
                .findFirst()
                .map(id -> new Step.Change(new MembershipChange.Remove(id)));
    }

    private boolean isOtherConnected(MemberId id) {
        return incarnationOf(id.name())
                .filter(connected -> connected != id.incarnation())
                .isPresent();
    }

    private Optional<Step> addition(ReplicatedLog log, List<ControlHost> wanted) {
        for (ControlHost host : wanted) {
            Optional<Step> step = addition(log, host);
            if (step.isPresent()) {
                return step;
            }
        }
        return Optional.empty();
    }

    private Optional<Step> addition(ReplicatedLog log, ControlHost host) {
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
            return Optional.of(new Step.Change(new MembershipChange.AddLearner(new Member(id, host.address()))));
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
                    .map(voter -> new Step.Change(new MembershipChange.Remove(voter)));
        }
        return Optional.of(new Step.Change(new MembershipChange.Promote(id)));
    }

    private Optional<Step> removal(ReplicatedLog log, List<ControlHost> wanted) {
        Set<String> names = names(wanted);
        Membership membership = log.membership();
        Set<String> voterNames =
                membership.voters().stream().map(voter -> voter.id().name()).collect(Collectors.toSet());
        if (!voterNames.containsAll(names)) {
            return Optional.empty();
        }
        Optional<MemberId> unwanted = membership.voters().stream()
                .map(Member::id)
                .filter(id -> !names.contains(id.name()))
                .filter(id -> quorumSurvivesWithout(log, id))
                .min((one, other) -> Boolean.compare(one.equals(log.self()), other.equals(log.self())));
        if (unwanted.isEmpty() || !unwanted.get().equals(log.self())) {
            return unwanted.map(id -> new Step.Change(new MembershipChange.Remove(id)));
        }
        return membership.voters().stream()
                .map(Member::id)
                .filter(id -> names.contains(id.name()) && log.isActive(id) && log.isCaughtUp(id))
                .findFirst()
                .map(Step.Transfer::new);
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
