package io.rosemarybeam.decision.rollout;

import java.util.List;
import java.util.Map;

/**
 * Brings the endpoints of a service to the published weight version and the configured role.
 *
 * <p>Invariant: deterministic; time, randomness and I/O come from outside. Confined to one thread.
 */
public interface RolloutCore {
    /**
     * Returns a core that knows no endpoint yet.
     *
     * @param settings how it paces its orders
     * @return the core
     */
    static RolloutCore of(RolloutCoreSettings settings) {
        return new DefaultRolloutCore(settings);
    }

    /**
     * Takes an input and runs all systems.
     *
     * @param nowMilliseconds the time, never smaller than before
     * @param input what happened
     * @return what to do, in order
     */
    List<RolloutCommand> handle(long nowMilliseconds, RolloutInput input);

    /**
     * Returns the tables for a state dump.
     *
     * @return names and values that Jackson can write
     */
    Map<String, Object> dump();
}
