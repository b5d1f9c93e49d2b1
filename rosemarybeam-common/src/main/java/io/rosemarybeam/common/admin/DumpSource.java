package io.rosemarybeam.common.admin;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;

/**
 * Provides the state of a process as JSON.
 *
 * <p>Called on the event loop of the admin server; an implementation whose state is confined to another thread
 * completes the result on that thread.
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
     * Returns a source whose state any thread may read at any time.
     *
     * @param json supplies a JSON document without blocking
     * @return the source
     */
    static DumpSource of(Supplier<String> json) {
        return () -> CompletableFuture.completedFuture(json.get());
    }
}
