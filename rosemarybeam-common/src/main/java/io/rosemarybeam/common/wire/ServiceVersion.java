package io.rosemarybeam.common.wire;

import java.util.Objects;

import io.rosemarybeam.common.id.ServiceName;

/**
 * A software version that endpoints of a service run. Immutable and safe for use by several threads.
 *
 * @param service the service
 * @param softwareVersion the version, as the endpoints announce it; may be empty
 */
public record ServiceVersion(ServiceName service, String softwareVersion) {
    public ServiceVersion {
        Objects.requireNonNull(service, "service");
        softwareVersion = softwareVersion == null ? "" : softwareVersion;
    }

    /**
     * Returns the version that an endpoint runs.
     *
     * @param announcement the endpoint
     * @return its service and version
     */
    public static ServiceVersion of(EndpointAnnouncement announcement) {
        return new ServiceVersion(announcement.service(), announcement.softwareVersion());
    }
}
