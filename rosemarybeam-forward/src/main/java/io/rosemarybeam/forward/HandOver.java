package io.rosemarybeam.forward;

import io.netty.channel.EventLoop;
import io.rosemarybeam.decision.routing.EndpointDirectory;
import io.rosemarybeam.platform.EndpointClient;

/**
 * What a forwarder needs to hand requests on to another host while it cannot reach their endpoints. Immutable, apart from the
 * state of its parts; confined to the event loop of the forwarder.
 *
 * @param reach whether the endpoints of a service can be reached from here
 * @param peers the other hosts
 * @param ownName name of this host, for the logs of the other one
 */
public record HandOver(ServiceReach reach, PeerHosts peers, String ownName) {
    /**
     * Returns one for a process that hands no requests on.
     *
     * @param loop the event loop of the forwarder
     * @param client opens connections to endpoints
     * @param directory the known endpoints
     * @return a hand-over without other hosts
     */
    public static HandOver none(EventLoop loop, EndpointClient client, EndpointDirectory directory) {
        return new HandOver(new ServiceReach(loop, client, directory), PeerHosts.none(), "");
    }
}
