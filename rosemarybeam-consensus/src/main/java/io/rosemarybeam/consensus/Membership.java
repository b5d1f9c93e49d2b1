package io.rosemarybeam.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * The hosts that replicate the log.
 *
 * <p>Invariant: no member is both voter and learner. Immutable and safe for use by several threads.
 *
 * @param voters members that count towards a quorum
 * @param learners members that receive the log without counting towards a quorum
 */
public record Membership(List<Member> voters, List<Member> learners) {
    /** Copies the lists. */
    public Membership {
        voters = List.copyOf(voters);
        learners = List.copyOf(learners);
    }

    public static Membership empty() {
        return new Membership(List.of(), List.of());
    }

    /** Returns the number of voters that form a majority; 1 if there is no voter. */
    public int quorum() {
        return voters.size() / 2 + 1;
    }

    public boolean isVoter(MemberId id) {
        return voters.stream().anyMatch(member -> member.id().equals(id));
    }

    public boolean isLearner(MemberId id) {
        return learners.stream().anyMatch(member -> member.id().equals(id));
    }

    /** Returns the voters followed by the learners. */
    public List<Member> members() {
        return Stream.concat(voters.stream(), learners.stream()).toList();
    }

    /** Returns the voter or learner of an identity, or empty if there is none. */
    public Optional<Member> find(MemberId id) {
        return members().stream().filter(member -> member.id().equals(id)).findFirst();
    }

    /**
     * Returns the membership after a change.
     *
     * @param change the change
     * @return the changed membership; equal to this one if the change does not apply
     */
    public Membership after(MembershipChange change) {
        return switch (change) {
            case MembershipChange.AddLearner add ->
                find(add.member().id()).isPresent() ? this : new Membership(voters, with(learners, add.member()));
            case MembershipChange.Promote promote ->
                learners.stream()
                        .filter(member -> member.id().equals(promote.id()))
                        .findFirst()
                        .map(member -> new Membership(with(voters, member), without(learners, promote.id())))
                        .orElse(this);
            case MembershipChange.Remove remove ->
                new Membership(without(voters, remove.id()), without(learners, remove.id()));
        };
    }

    private static List<Member> with(List<Member> members, Member added) {
        List<Member> result = new ArrayList<>(members);
        result.add(added);
        return result;
    }

    private static List<Member> without(List<Member> members, MemberId removed) {
        Predicate<Member> isRemoved = member -> member.id().equals(removed);
        return members.stream().filter(isRemoved.negate()).toList();
    }
}
