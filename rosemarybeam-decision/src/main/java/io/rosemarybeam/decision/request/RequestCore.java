package io.rosemarybeam.decision.request;

import java.util.List;
import java.util.Map;

/**
 * Decides which request runs where and when.
 *
 * <p>Invariant: deterministic; time, randomness and I/O come from outside. Confined to one thread.
 */
public interface RequestCore {
    /**
     * Creates a core without endpoints, configuration or lease.
     *
     * @param settings name, failure domain, seed and policies of this entry
     * @return the core
     */
    static RequestCore of(RequestCoreSettings settings) {
        return new TableRequestCore(settings);
    }

    /**
     * Takes an input and runs all systems.
     *
     * @param nowMilliseconds the time, never smaller than before
     * @param input what happened
     * @return what to do, in order
     */
    List<RequestCommand> handle(long nowMilliseconds, RequestInput input);

    /**
     * Returns the tables for a state dump.
     *
     * @return names and values that Jackson can write
     */
    Map<String, Object> dump();

    /**
     * Returns requests in progress and queued, by service.
     *
     * @return the demand, for the lending of limits
     */
    Map<String, Integer> demandByService();
}
