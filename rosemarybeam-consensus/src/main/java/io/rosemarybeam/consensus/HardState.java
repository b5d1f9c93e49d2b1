package io.rosemarybeam.consensus;

import java.util.Optional;

/**
 * What a member must not forget. Immutable and safe for use by several threads.
 *
 * @param term the largest term that it has seen
 * @param votedFor whom it voted for in that term
 */
public record HardState(long term, Optional<MemberId> votedFor) {
    /**
     * Returns the state of a member that has seen nothing.
     *
     * @return term zero without a vote
     */
    public static HardState initial() {
        return new HardState(0, Optional.empty());
    }
}
