package io.rosemarybeam.control;

import java.util.function.Supplier;

import io.rosemarybeam.common.wire.Message;

/** The state that the committed commands of a replicated log change. Confined to the thread of the log driver. */
public interface StateMachine {
    /**
     * Applies a committed command.
     *
     * @param command the encoded command
     * @return the reply to the proposer
     */
    Message apply(byte[] command);

    /**
     * Replaces the complete state.
     *
     * @param snapshot an encoded state, or an empty array for the initial state
     */
    void restore(byte[] snapshot);

    /**
     * Captures the current state for a snapshot.
     *
     * @return a supplier that encodes the captured state; may be called by another thread
     */
    Supplier<byte[]> capture();
}
