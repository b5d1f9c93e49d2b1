package io.rosemarybeam.decision.rollout;

import java.util.List;
import java.util.Map;

/**
 * State machine that brings the endpoints of each service to the published weight version and the configured role.
 *
 * <p>Invariant: deterministic; time, randomness and I/O come from outside. Confined to one thread.
 */
public interface RolloutCore {
    /**
     * Returns a core without endpoints.
     *
     * @param settings the host of the core and its timeouts
     * @return the core
     */
    static RolloutCore of(RolloutCoreSettings settings) {
        return new DefaultRolloutCore(settings);
    }

    /**
     * Applies an input and returns the resulting commands.
     *
     * @param nowMilliseconds the current time, never smaller than in an earlier call
     * @param input the event to apply
     * @return commands to execute, in order
     */
    List<RolloutCommand> handle(long nowMilliseconds, RolloutInput input);

    /**
     * Returns the contents of the tables for a state dump.
     *
     * @return names and values that Jackson can serialize
     */
    Map<String, Object> dump();
}
