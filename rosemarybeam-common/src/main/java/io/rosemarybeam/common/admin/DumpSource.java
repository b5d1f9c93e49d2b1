package io.rosemarybeam.common.admin;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;

/**
 * Gives the state of a process as JSON.
 *
 * <p>Called on the event loop of the admin server; an implementation whose state is confined to another thread completes
 * the result there.
 */
@FunctionalInterface
public interface DumpSource {
    /**
     * Starts a dump.
     *
     * @return completes with a JSON document, or with the failure
     */
    CompletionStage<String> dump();

    /**
     * Returns a source that any thread may read at once.
     *
     * @param json gives a JSON document without blocking
     * @return the source
     */
    static DumpSource of(Supplier<String> json) {
        return () -> CompletableFuture.completedFuture(json.get());
    }
}
