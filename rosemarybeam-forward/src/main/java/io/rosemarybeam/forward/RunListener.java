package io.rosemarybeam.forward;

/** Is told which requests have run. Called on the event loop of the forwarder. */
@FunctionalInterface
public interface RunListener {
    /** Takes no notice. */
    RunListener NONE = (request, sentAt) -> {};

    /**
     * Called once for each request that has run at an endpoint, or may have run there, when that is known first. Not called for
     * requests that another host sent to an endpoint.
     *
     * @param request the request
     * @param sentAt monotonic time at which its first attempt that may have run was sent, in milliseconds, see
     *     {@link Forwarder#now}
     */
    void requestRan(ForwardRequest request, long sentAt);
}
