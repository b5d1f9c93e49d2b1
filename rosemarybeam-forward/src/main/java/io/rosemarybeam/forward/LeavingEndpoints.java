package io.rosemarybeam.forward;

import java.util.Optional;
import java.util.function.Consumer;

import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;
import io.rosemarybeam.common.wire.EndpointAnnouncement;
import io.rosemarybeam.common.wire.EndpointAnnouncement.State;
import io.rosemarybeam.decision.routing.EndpointDirectory;
import io.rosemarybeam.platform.EndpointAnswer;

/**
 * Takes endpoints out of use whose answers say that they leave.
 *
 * <p>Invariant: from the head of such an answer on, this host sends no further request to the same start of the endpoint, also
 * without contact to any other host. Confined to one event loop.
 */
public final class LeavingEndpoints {
    private static final EventLog LOG = EventLog.of(LeavingEndpoints.class);

    private final EndpointDirectory directory;
    private final Consumer<EndpointAnnouncement> publisher;

    /**
     * Creates an instance.
     *
     * @param directory the known endpoints
     * @param publisher merges an announcement that an endpoint leaves into the directory and sends it to other hosts
     */
    public LeavingEndpoints(EndpointDirectory directory, Consumer<EndpointAnnouncement> publisher) {
        this.directory = directory;
        this.publisher = publisher;
    }

    /**
     * Creates an instance for a host that no other host learns from.
     *
     * @param directory the known endpoints, into which it merges what it reads
     * @return the instance
     */
    public static LeavingEndpoints local(EndpointDirectory directory) {
        return new LeavingEndpoints(directory, leaving -> directory.merge(leaving, Forwarder.now()));
    }

    /**
     * Reads an answer.
     *
     * @param endpoint the endpoint as it was announced when the request was sent, so that the answer of a former start does
     *     not count for the present one
     * @param answer its answer
     */
    public void observe(EndpointAnnouncement endpoint, EndpointAnswer answer) {
        if (!answer.isLeaving()) {
            return;
        }
        Optional<EndpointAnnouncement> known = directory.find(endpoint.id());
        boolean isCurrent = known.filter(current -> current.startedMilliseconds() != endpoint.startedMilliseconds()
                        || current.isLeaving()
                        || current.state() == State.GONE)
                .isEmpty();
        if (isCurrent) {
            EndpointAnnouncement current = known.orElse(endpoint);
            LOG.log(
                    Event.ENDPOINT_LEAVING,
                    "endpoint",
                    current.id(),
                    "service",
                    current.service(),
                    "address",
                    current.address(),
                    "announced",
                    current.state(),
                    "sequence",
                    current.sequence());
            publisher.accept(current.asLeaving());
        }
    }
}
