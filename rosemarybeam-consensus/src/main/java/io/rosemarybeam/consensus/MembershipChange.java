package io.rosemarybeam.consensus;

/**
 * A change of a single member, so that a majority before the change and one after it always overlap. Implementations are
 * immutable and safe for use by several threads.
 */
public sealed interface MembershipChange {
    /**
     * Adds a learner, which receives the log but has no vote. Does not apply to a member that is present.
     *
     * @param member the new member
     */
    record AddLearner(Member member) implements MembershipChange {}

    /**
     * Turns a learner into a voter. Does not apply to other members.
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
