package io.rosemarybeam.entry;

import io.rosemarybeam.common.error.ErrorCode;

/** Serves HTTP requests. Called on event loops, so implementations must not block. Safe for use by several threads. */
interface HttpRoutes {
    /**
     * Returns how large the body of a request may be.
     *
     * @param head request line and headers
     * @return the limit in bytes
     * @throws io.rosemarybeam.common.error.RosemarybeamException if the request is refused at once
     */
    long bodyLimit(HttpRequestHead head);

    /**
     * Serves a request.
     *
     * @param call the request, and the way to answer it
     * @throws io.rosemarybeam.common.error.RosemarybeamException if the request is refused before anything was done
     */
    void handle(HttpCall call);

    /**
     * Counts a refusal that never reached {@link #handle}.
     *
     * @param code the reason
     */
    void countRefusal(ErrorCode code);
}
