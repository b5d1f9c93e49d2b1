package io.rosemarybeam.consensus;

import java.util.Optional;

/**
 * Term and vote of a member, the part of its Raft state that must be durable before it answers. A member that lost them
 * could vote twice in one term. Immutable and safe for use by several threads.
 *
 * @param term the largest term that it has seen
 * @param votedFor the candidate that it voted for in that term, if any
 */
public record HardState(long term, Optional<MemberId> votedFor) {
    /** Returns the state of a new member: term zero without a vote. */
    public static HardState initial() {
        return new HardState(0, Optional.empty());
    }
}
