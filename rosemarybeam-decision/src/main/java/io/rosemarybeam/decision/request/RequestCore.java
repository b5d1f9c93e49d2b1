package io.rosemarybeam.decision.request;

import java.util.List;
import java.util.Map;

/**
 * Decides when and on which endpoint each request runs.
 *
 * <p>Invariant: deterministic; the entry host supplies time and the random seed and performs all I/O. Confined to one
 * thread.
 */
public interface RequestCore {
    /** Creates a core without endpoints, configuration or lease. */
    static RequestCore of(RequestCoreSettings settings) {
        return new TableRequestCore(settings);
    }

    /**
     * Applies an input and returns the resulting commands.
     *
     * @param nowMilliseconds current time; never earlier than in the call before
     * @return the commands, to be executed in order
     */
    List<RequestCommand> handle(long nowMilliseconds, RequestInput input);

    /**
     * Returns the tables for a state dump.
     *
     * @return maps, lists and scalars that Jackson can serialize
     */
    Map<String, Object> dump();

    /** Returns the number of queued and running requests by service, from which limits are allocated. */
    Map<String, Integer> demandByService();
}
