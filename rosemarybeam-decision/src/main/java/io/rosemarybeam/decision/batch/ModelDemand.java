package io.rosemarybeam.decision.batch;

import java.util.Objects;

import io.rosemarybeam.common.id.ModelName;

/**
 * The work that trainers have for one model. Immutable.
 *
 * @param model the model
 * @param publishedVersion newest named weight version; 0 if none was named
 * @param oldestVersion oldest version that may run the items that wait; 0 if none waits
 * @param waitingItems items that wait for a slot
 * @param averageSlots slots that its items used lately, on average
 */
public record ModelDemand(
        ModelName model, long publishedVersion, long oldestVersion, int waitingItems, double averageSlots) {
    /** Checks the model. */
    public ModelDemand {
        Objects.requireNonNull(model, "model");
    }
}
