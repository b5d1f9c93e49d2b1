package io.rosemarybeam.decision.step;

import java.util.List;
import java.util.Map;

/**
 * Works on the training steps that this entry owns.
 *
 * <p>Invariant: deterministic; time, randomness and I/O come from outside. Confined to one thread.
 */
public interface StepCore {
    /**
     * Returns a core that owns no step yet.
     *
     * @param settings whose steps it works on and how
     * @return the core
     */
    static StepCore of(StepCoreSettings settings) {
        return new DefaultStepCore(settings);
    }

    /**
     * Takes an input and runs all systems.
     *
     * @param nowMilliseconds the time, never smaller than before
     * @param input what happened
     * @return what to do, in order
     */
    List<StepCommand> handle(long nowMilliseconds, StepInput input);

    /**
     * Returns the tables for a state dump.
     *
     * @return names and values that Jackson can write
     */
    Map<String, Object> dump();
}
