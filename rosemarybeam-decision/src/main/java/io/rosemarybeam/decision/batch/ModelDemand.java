package io.rosemarybeam.decision.batch;

import java.util.Objects;

import io.rosemarybeam.common.id.ModelName;

/**
 * The work that trainers have for one model. Immutable.
 *
 * @param model the model
 * @param named newest named weight version; 0 if none was named
 * @param oldestVersion oldest version that may run the items that wait; 0 if none waits
 * @param waiting items that wait for a slot
 * @param load slots that its items used lately, on average
 */
public record ModelDemand(ModelName model, long named, long oldestVersion, int waiting, double load) {
    /** Checks the model. */
    public ModelDemand {
        Objects.requireNonNull(model, "model");
    }
}
