package io.rosemarybeam.entry;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import io.rosemarybeam.common.wire.EntryRequest;
import io.rosemarybeam.common.wire.Message;

/** Sends idempotent requests to the leader of the control processes. Safe for use by several threads. */
@FunctionalInterface
interface ControlGateway {
    /**
     * Sends a request, again and to other control hosts if need be, until it is answered or the deadline passes.
     *
     * @param request the request
     * @param deadline how long to try
     * @return completes with the reply of the leader, or with a
     *     {@link io.rosemarybeam.common.error.RosemarybeamException} if it refuses or the deadline passes
     */
    CompletableFuture<Message> request(EntryRequest request, Duration deadline);
}
