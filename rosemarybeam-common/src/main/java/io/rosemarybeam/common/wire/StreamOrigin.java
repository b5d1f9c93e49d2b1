package io.rosemarybeam.common.wire;

import java.util.Objects;

import io.rosemarybeam.common.id.ServiceName;

/**
 * What generated the first event of a stream, and must generate the others too. Immutable and safe for use by several threads.
 *
 * @param request id of the caller's attempt that brought the first event
 * @param service the service
 * @param softwareVersion software version of the endpoint
 */
public record StreamOrigin(String request, ServiceName service, String softwareVersion) {
    public StreamOrigin {
        Objects.requireNonNull(request, "request");
        Objects.requireNonNull(service, "service");
        softwareVersion = softwareVersion == null ? "" : softwareVersion;
    }
}
