package io.rosemarybeam.entry;

import io.rosemarybeam.common.error.ErrorCode;

/** Serves HTTP requests. Called on event loops, so implementations must not block. Safe for use by several threads. */
interface HttpRoutes {
    /**
     * Returns the maximum size of the body of a request.
     *
     * @param head request line and headers
     * @return the limit in bytes
     * @throws io.rosemarybeam.common.error.RosemarybeamException if the request is refused before its body is read
     */
    long bodyLimit(HttpRequestHead head);

    /**
     * Serves a request.
     *
     * @param call the request, and the means to answer it
     * @throws io.rosemarybeam.common.error.RosemarybeamException if the request is refused before anything was done for
     *     it
     */
    void handle(HttpCall call);

    /**
     * Counts a refusal that never reached {@link #handle}.
     *
     * @param code the reason
     */
    void countRefusal(ErrorCode code);
}
