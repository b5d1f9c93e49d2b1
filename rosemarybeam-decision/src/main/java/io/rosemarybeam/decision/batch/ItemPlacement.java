package io.rosemarybeam.decision.batch;

import java.util.Collection;
import java.util.Optional;

import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.ModelName;

/**
 * Chooses the endpoint that runs an item.
 *
 * <p>Load pattern: more items than slots, endpoints that are several times slower than others, and endpoints whose weights
 * are too old. Items are never queued at an endpoint: they wait at the store leader, where the order can still change, until
 * an endpoint has a free slot. Stateless and safe for use by several threads.
 */
public final class ItemPlacement {
    /**
     * Factor on the cost of the endpoint that has already processed the prompt: it is chosen unless the cost of another one
     * is less than two thirds of its own.
     */
    private static final double PREFERRED_COST_FACTOR = 0.66;

    private ItemPlacement() {}

    /**
     * Requirements of an item on its endpoint. Immutable.
     *
     * @param model the model that generates
     * @param oldestVersion oldest weight version that may generate the item
     * @param exactVersion the only weight version that may continue a partial text; -1 if any sufficiently new one may
     * @param softwareVersion the only software version that may continue a partial text; empty without a text
     * @param preferred endpoint that has already processed the item's prompt for another item of its group
     */
    public record Requirements(
            ModelName model,
            long oldestVersion,
            long exactVersion,
            Optional<String> softwareVersion,
            Optional<EndpointId> preferred) {
        /** Returns the same requirements without the preferred endpoint, which decides which endpoint but not whether one. */
        Requirements withoutPreference() {
            return preferred.isEmpty()
                    ? this
                    : new Requirements(model, oldestVersion, exactVersion, softwareVersion, Optional.empty());
        }

        /** Returns the requirements of the item once its partial text is discarded. */
        public Requirements withoutText() {
            return new Requirements(model, oldestVersion, -1, Optional.empty(), preferred);
        }

        /** Returns whether endpoints of any weight and software version may run the item. */
        boolean isFree() {
            return exactVersion < 0 && softwareVersion.isEmpty();
        }

        boolean allowsSoftwareOf(GenerationEndpoint endpoint) {
            return softwareVersion.isEmpty() || softwareVersion.get().equals(endpoint.softwareVersion());
        }

        boolean allowsWeightsOf(GenerationEndpoint endpoint) {
            long version = endpoint.version(model);
            return version >= oldestVersion && (exactVersion < 0 || version == exactVersion);
        }
    }

    /**
     * Chooses an endpoint.
     *
     * @param requirements requirements of the item
     * @param endpoints all ready endpoints of the service
     * @return the endpoint with the lowest cost, by utilization and speed, among those that can start the item now; empty if
     *     the item must wait
     */
    public static Optional<GenerationEndpoint> choose(
            Requirements requirements, Collection<GenerationEndpoint> endpoints) {
        return choose(requirements, endpoints, medianEventInterval(endpoints));
    }

    /** Chooses like {@link #choose(Requirements, Collection)}, relative to the given median time between two events. */
    static Optional<GenerationEndpoint> choose(
            Requirements requirements, Collection<GenerationEndpoint> endpoints, double medianInterval) {
        GenerationEndpoint best = null;
        double lowestCost = Double.MAX_VALUE;
        for (GenerationEndpoint endpoint : endpoints) {
            if (canRun(requirements, endpoint)) {
                double cost = cost(requirements, endpoint, medianInterval);
                boolean isBetter = best == null
                        || cost < lowestCost
                        || cost == lowestCost && endpoint.id().compareTo(best.id()) < 0;
                if (isBetter) {
                    best = endpoint;
                    lowestCost = cost;
                }
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Returns whether an endpoint may continue the partial text of an item, now or when it has a free slot.
     *
     * @param requirements requirements of the item
     * @param endpoints all ready endpoints of the service
     * @return false if no responsive endpoint has the software version of the text, weights that are new enough and, if the
     *     text must have a single weight version, that one
     */
    public static boolean canContinue(Requirements requirements, Collection<GenerationEndpoint> endpoints) {
        return requirements.isFree()
                || endpoints.stream()
                        .filter(endpoint ->
                                !endpoint.avoided() && !endpoint.loadingModels().contains(requirements.model()))
                        .anyMatch(endpoint ->
                                requirements.allowsWeightsOf(endpoint) && requirements.allowsSoftwareOf(endpoint));
    }

    /**
     * Returns whether the partial text of an item is lost: no endpoint runs the software version that generated it.
     *
     * @param requirements requirements of the item
     * @param endpoints all ready endpoints of the service, those that are avoided included
     * @return true if waiting does not help, because a released version does not come back
     */
    public static boolean isSoftwareGone(Requirements requirements, Collection<GenerationEndpoint> endpoints) {
        return !endpoints.isEmpty() && endpoints.stream().noneMatch(requirements::allowsSoftwareOf);
    }

    /**
     * Returns whether an endpoint can start an item now.
     *
     * @param requirements requirements of the item
     * @param endpoint the endpoint
     */
    public static boolean canRun(Requirements requirements, GenerationEndpoint endpoint) {
        return requirements.allowsWeightsOf(endpoint)
                && requirements.allowsSoftwareOf(endpoint)
                && endpoint.canStart(requirements.model(), requirements.oldestVersion());
    }

    /** Utilization of the endpoint after the item starts, times the square of its slowness relative to the median. */
    private static double cost(Requirements requirements, GenerationEndpoint endpoint, double medianInterval) {
        double utilization = (endpoint.running() + 1.0) / Math.max(1, endpoint.capacity());
        double slowness = endpoint.eventIntervalMilliseconds() > 0 && medianInterval > 0
                ? Math.max(1, endpoint.eventIntervalMilliseconds() / medianInterval)
                : 1;
        double preference =
                requirements.preferred().filter(endpoint.id()::equals).isPresent() ? PREFERRED_COST_FACTOR : 1;
        return utilization * slowness * slowness * preference;
    }

    /**
     * Returns the median time between two events over the endpoints for which it is known.
     *
     * @param endpoints the endpoints
     * @return median time between two events, in milliseconds; 0 if it is known for none
     */
    public static double medianEventInterval(Collection<GenerationEndpoint> endpoints) {
        double[] intervals = endpoints.stream()
                .mapToDouble(GenerationEndpoint::eventIntervalMilliseconds)
                .filter(interval -> interval > 0)
                .sorted()
                .toArray();
        return intervals.length == 0 ? 0 : intervals[(intervals.length - 1) / 2];
    }
}
