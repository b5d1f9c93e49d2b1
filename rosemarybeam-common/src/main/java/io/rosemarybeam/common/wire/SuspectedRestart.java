package io.rosemarybeam.common.wire;

import java.util.Objects;

import io.rosemarybeam.common.id.EndpointId;

/**
 * The suspicion that the process which announced an endpoint has ended, so that another one with other software may answer at
 * its address. Immutable and safe for use by several threads.
 *
 * @param endpoint the endpoint
 * @param startedMilliseconds start time of the process by its own clock; 0 if it is not known
 * @param ageMilliseconds time since the suspicion arose when the message was sent, so that hosts need no common clock
 * @param cutOff whether the sender reached no endpoint of the service, so that the cause may be its own connection; the
 *     receiver does not pass the suspicion on
 * @param disproved whether the process has sent a heartbeat since
 */
public record SuspectedRestart(
        EndpointId endpoint, long startedMilliseconds, long ageMilliseconds, boolean cutOff, boolean disproved) {
    public SuspectedRestart {
        Objects.requireNonNull(endpoint, "endpoint");
    }
}
