package io.rosemarybeam.entry;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import io.rosemarybeam.common.wire.EntryRequest;
import io.rosemarybeam.common.wire.Message;

/** Sends idempotent requests to the leader of the control processes. Safe for use by several threads. */
@FunctionalInterface
interface ControlGateway {
    /**
     * Sends a request, and retries it at other control hosts if necessary, until it is answered or the deadline passes.
     *
     * @param request the request
     * @param deadline maximum time for all tries
     * @return completes with the reply of the leader, or with a
     *     {@link io.rosemarybeam.common.error.RosemarybeamException} if it refuses or the deadline passes
     */
    CompletableFuture<Message> request(EntryRequest request, Duration deadline);
}
