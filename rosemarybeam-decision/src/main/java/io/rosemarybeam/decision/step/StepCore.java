package io.rosemarybeam.decision.step;

import java.util.List;
import java.util.Map;

/**
 * State machine that runs the training steps owned by this entry host: generates, scores, copies, commits and delivers their
 * samples.
 *
 * <p>Invariant: deterministic; time, randomness and I/O come from outside. Confined to one thread.
 */
public interface StepCore {
    /**
     * Returns a core that owns no step yet.
     *
     * @param settings the host of the core and its policies
     * @return the core
     */
    static StepCore of(StepCoreSettings settings) {
        return new DefaultStepCore(settings);
    }

    /**
     * Applies an input and returns the resulting commands.
     *
     * @param nowMilliseconds the current time, never smaller than in an earlier call
     * @param input the event to apply
     * @return commands to execute, in order
     */
    List<StepCommand> handle(long nowMilliseconds, StepInput input);

    /**
     * Returns the contents of the tables for a state dump.
     *
     * @return names and values that Jackson can serialize
     */
    Map<String, Object> dump();
}
