package io.rosemarybeam.forward;

import java.util.function.Consumer;

import io.rosemarybeam.decision.routing.PermitDecision;
import io.rosemarybeam.decision.routing.PermitRequest;

/** Grants permits for requests to endpoints with a rate limit, which holds for all hosts together. */
@FunctionalInterface
public interface PermitSource {
    /**
     * Requests a permit.
     *
     * @param request what is asked for
     * @param onDecision called exactly once on the event loop, possibly before this method returns; the request is denied if
     *     the source cannot be reached
     */
    void acquire(PermitRequest request, Consumer<PermitDecision> onDecision);
}
