package io.rosemarybeam.consensus;

/** A change of one member. Implementations are immutable and safe for use by several threads. */
public sealed interface MembershipChange {
    /**
     * Adds a member that receives the log but has no vote.
     *
     * @param member the member
     */
    record AddLearner(Member member) implements MembershipChange {}

    /**
     * Gives a learner a vote.
     *
     * @param id the learner
     */
    record Promote(MemberId id) implements MembershipChange {}

    /**
     * Removes a voter or learner.
     *
     * @param id the member
     */
    record Remove(MemberId id) implements MembershipChange {}
}
