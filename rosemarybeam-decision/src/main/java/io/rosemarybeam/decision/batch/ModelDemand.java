package io.rosemarybeam.decision.batch;

import java.util.Objects;

import io.rosemarybeam.common.id.ModelName;

/**
 * Demand of all trainers for one model. Immutable.
 *
 * @param model the model
 * @param publishedVersion newest published weight version; 0 if none was published
 * @param oldestVersion oldest weight version that may run all waiting items; 0 if none waits
 * @param waitingItems items that wait for a slot
 * @param averageSlots moving average of the slots that its items use or wait for
 */
public record ModelDemand(
        ModelName model, long publishedVersion, long oldestVersion, int waitingItems, double averageSlots) {
    public ModelDemand {
        Objects.requireNonNull(model, "model");
    }
}
