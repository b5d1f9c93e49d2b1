package io.rosemarybeam.common.wire;

import java.util.Objects;

import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.Fingerprint;

/**
 * The crash of an endpoint while it ran a request. Immutable and safe for use by several threads.
 *
 * @param fingerprint the request
 * @param endpoint the endpoint that crashed
 * @param startedMilliseconds start time of the endpoint by its own clock; with its id it identifies the incarnation
 * @param ageMilliseconds time since the crash when the message was sent, so that hosts need no common clock
 * @param cleared whether the request was answered in full later, so that the crash had another cause
 */
public record EndpointCrash(
        Fingerprint fingerprint, EndpointId endpoint, long startedMilliseconds, long ageMilliseconds, boolean cleared) {
    public EndpointCrash {
        Objects.requireNonNull(fingerprint, "fingerprint");
        Objects.requireNonNull(endpoint, "endpoint");
    }
}
