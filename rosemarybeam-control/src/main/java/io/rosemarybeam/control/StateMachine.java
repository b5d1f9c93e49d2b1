package io.rosemarybeam.control;

import java.util.function.Supplier;

import io.rosemarybeam.common.wire.Message;

/** What the committed commands of a replicated log change. Confined to the thread of the log's driver. */
public interface StateMachine {
    /**
     * Applies a committed command.
     *
     * @param command the command
     * @return the reply to its proposer
     */
    Message apply(byte[] command);

    /**
     * Replaces the state.
     *
     * @param snapshot a state that was captured, or an empty array for the first state
     */
    void restore(byte[] snapshot);

    /**
     * Captures the state of this moment.
     *
     * @return encodes the captured state; may be called by another thread
     */
    Supplier<byte[]> capture();
}
