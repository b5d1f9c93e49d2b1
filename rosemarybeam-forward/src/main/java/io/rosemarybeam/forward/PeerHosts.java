package io.rosemarybeam.forward;

import java.util.List;

import io.rosemarybeam.common.id.ServiceName;

/** Finds other hosts that forward requests. Called on the event loop of the forwarder. */
@FunctionalInterface
public interface PeerHosts {
    /**
     * Returns the other hosts that do not report the endpoints of a service as out of their reach.
     *
     * @param service the service
     * @return IP addresses and ports for requests that are handed on; empty if there are none
     */
    List<String> reaching(ServiceName service);

    /**
     * Returns the size of another host.
     *
     * @param address its address as returned by {@link #reaching}
     * @return its processor cores; 0 if they are not known
     */
    default double capacity(String address) {
        return 0;
    }

    /** Returns hosts for a process that hands no requests on. */
    static PeerHosts none() {
        return service -> List.of();
    }
}
