package io.rosemarybeam.decision.batch;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.ModelName;

/**
 * Chooses the endpoint that runs an item.
 *
 * <p>Load pattern: more items than slots, endpoints that are several times slower than others, and endpoints whose weights
 * are too old. An item is never queued at an endpoint: it waits here, where the order can still change, until an endpoint
 * has a free slot. Stateless and safe for use by several threads.
 */
public final class ItemPlacement {
    /** An endpoint that has the prompt is preferred unless another one has under two thirds of its load. */
    private static final double PREFERRED_COST_FACTOR = 0.66;

    private ItemPlacement() {}

    /**
     * What an item asks for. Immutable.
     *
     * @param model the model that generates
     * @param oldestVersion oldest version that may generate
     * @param exactVersion the only version that may go on with a text; -1 if any fresh one may
     * @param preferred endpoint that has read the item's prompt for another item of its group
     */
    public record Requirements(
            ModelName model, long oldestVersion, long exactVersion, Optional<EndpointId> preferred) {}

    /**
     * Chooses an endpoint.
     *
     * @param need what the item asks for
     * @param endpoints all ready endpoints of the service
     * @return the least loaded endpoint for its pace that can start the item now, or empty if the item must wait
     */
    public static Optional<GenerationEndpoint> choose(Requirements need, Collection<GenerationEndpoint> endpoints) {
        double usualPace = medianEventInterval(endpoints);
        return endpoints.stream()
                .filter(endpoint -> canRun(need, endpoint))
                .min(Comparator.<GenerationEndpoint>comparingDouble(endpoint -> cost(need, endpoint, usualPace))
                        .thenComparing(GenerationEndpoint::id));
    }

    private static boolean canRun(Requirements need, GenerationEndpoint endpoint) {
        boolean isExact = need.exactVersion() < 0 || endpoint.version(need.model()) == need.exactVersion();
        return isExact && endpoint.canStart(need.model(), need.oldestVersion());
    }

    /** Share of the endpoint that is taken after the item starts, longer the slower the endpoint is. */
    private static double cost(Requirements need, GenerationEndpoint endpoint, double usualPace) {
        double fill = (endpoint.running() + 1.0) / Math.max(1, endpoint.capacity());
        double slowness = endpoint.eventIntervalMilliseconds() > 0 && usualPace > 0
                ? Math.max(1, endpoint.eventIntervalMilliseconds() / usualPace)
                : 1;
        double prompt = need.preferred().filter(endpoint.id()::equals).isPresent() ? PREFERRED_COST_FACTOR : 1;
        return fill * slowness * slowness * prompt;
    }

    /**
     * Returns the usual pace of endpoints.
     *
     * @param endpoints the endpoints
     * @return median time between two events, in milliseconds; 0 if none is known
     */
    public static double medianEventInterval(Collection<GenerationEndpoint> endpoints) {
        double[] paces = endpoints.stream()
                .mapToDouble(GenerationEndpoint::eventIntervalMilliseconds)
                .filter(pace -> pace > 0)
                .sorted()
                .toArray();
        return paces.length == 0 ? 0 : paces[(paces.length - 1) / 2];
    }
}
