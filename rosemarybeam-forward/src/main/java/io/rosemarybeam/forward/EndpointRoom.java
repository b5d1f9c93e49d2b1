package io.rosemarybeam.forward;

import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.wire.EndpointAnnouncement;

/**
 * Restricts the endpoints of a request to those that have room for it. Each attempt is reported, also retries and hedges.
 * Confined to the event loop of the forwarder.
 */
public interface EndpointRoom {
    /** Does not restrict a request. */
    EndpointRoom UNLIMITED = new EndpointRoom() {
        @Override
        public boolean hasRoom(EndpointAnnouncement endpoint) {
            return true;
        }

        @Override
        public void attemptStarted(EndpointId endpoint, long startedAt) {}

        @Override
        public void attemptEnded(EndpointId endpoint, long startedAt, boolean isAnswered) {}
    };

    /** Returns whether one more attempt may be sent to an endpoint now. */
    boolean hasRoom(EndpointAnnouncement endpoint);

    /**
     * Called when an attempt is sent.
     *
     * @param endpoint the endpoint
     * @param startedAt monotonic time, in milliseconds
     */
    void attemptStarted(EndpointId endpoint, long startedAt);

    /**
     * Called once for each attempt that was started.
     *
     * @param endpoint the endpoint
     * @param startedAt the time that was reported at its start
     * @param isAnswered whether the endpoint answered with success
     */
    void attemptEnded(EndpointId endpoint, long startedAt, boolean isAnswered);
}
